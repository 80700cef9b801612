"""Prompt parts that crash each server which begins to answer them."""

import asyncio
import itertools

import attrs

from test.gateway.fleet import gateway_fleet

DEADLY = "dead1"
# The users' bound: from this many seconds after the fifth crash, at most three
# requests with the part reach servers.
STABLE_S = 3.0
MAX_LATE_REQUESTS = 3


def prompt(number, *parts):
    """Return the headers of a prompt with shared parts and one of its own."""
    entries = [f"{part}:100" for part in (*parts, f"own{number}")]
    return {"X-Galenascale-Prompt-Prefix": ",".join(entries)}


async def send(fleet, number, *parts, path="/chat/a"):
    """Send a request that is like no other; return the Reply."""
    return await fleet.request(
        path,
        request_id=f"r{number}",
        host=number % len(fleet.hosts) + 1,
        headers=prompt(number, *parts),
        data=b"content %d" % number,
    )


async def send_beside(fleet, numbers, *, seconds):
    """
    Send requests with the deadly part and sound ones for some seconds.

    Return the replies to the sound ones, which share their first part with
    those that crash servers.
    """
    end = asyncio.get_running_loop().time() + seconds
    sound = []
    deadly = []
    while asyncio.get_running_loop().time() < end:
        number = next(numbers)
        deadly.append(asyncio.ensure_future(send(fleet, number, "first", DEADLY)))
        sound += [
            asyncio.ensure_future(send(fleet, next(numbers), "first", f"other{i}"))
            for i in range(3)
        ]
        await asyncio.sleep(0.2)
    await asyncio.gather(*deadly)
    return await asyncio.gather(*sound)


async def test_part_that_crashes_servers_reaches_few_of_them():
    """
    Guards servers against different requests with one part in common.

    Each request with the part crashes the servers that begin to answer it; no
    two such requests are alike, and sound ones share their first part.
    """
    async with gateway_fleet(hosts=3, runners=9) as fleet:
        runners = fleet.runners_of("llm")
        for runner in runners:
            runner.behaviour = attrs.evolve(runner.behaviour, crash_part=DEADLY)
        numbers = itertools.count(1)
        await send_beside(fleet, numbers, seconds=2 * STABLE_S)
        late_sound = await send_beside(fleet, numbers, seconds=2.0)
        crashes = sorted(at for runner in runners for at in runner.crashed_at)
        bound_at = crashes[min(4, len(crashes) - 1)] + STABLE_S
        late = [
            request
            for runner in runners
            for request in runner.requests
            if request.has_part(DEADLY) and request.received_at > bound_at
        ]
        assert len(late) <= MAX_LATE_REQUESTS
        assert all(reply.status == 200 for reply in late_sound)
