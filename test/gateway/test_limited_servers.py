"""Servers that name a limit on the requests of all hosts together."""

import asyncio
import itertools

import pytest

from test.gateway.fleet import gateway_fleet, until
from test.gateway.test_jobs import submit

# On the pages of the users: from STABLE_S after a limit was first named, each
# window of WINDOW_S may hold OVERSHOOT times the limit, and SLACK requests.
WINDOW_S = 4.0
OVERSHOOT = 1.5
SLACK = 5
STABLE_S = 3.0
LIMIT = 2.0
REQUESTS_PER_S = 30
HOSTS = (1, 2, 3)


def fullest_window(arrivals, since):
    """Return the most arrivals in any WINDOW_S that begins after `since`."""
    arrivals = sorted(at for at in arrivals if at >= since)
    return max(
        (sum(first <= at < first + WINDOW_S for at in arrivals) for first in arrivals),
        default=0,
    )


async def send_steadily(fleet, path, until_at):
    """Send requests through all hosts; return their statuses."""
    now = asyncio.get_running_loop().time
    tasks = []
    for number in itertools.count():
        if now() >= until_at:
            break
        host = HOSTS[number % len(HOSTS)]
        request = fleet.request(
            path, request_id=f"r{number}", host=host, data=b"%d" % number
        )
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return [reply.status for reply in await asyncio.gather(*tasks)]


async def submit_steadily(fleet, until_at):
    """Submit jobs of many short items."""
    now = asyncio.get_running_loop().time
    for number in itertools.count():
        if now() >= until_at:
            break
        assert await submit(fleet, f"job-{number}", items=REQUESTS_PER_S // 2) == 202
        await asyncio.sleep(0.5)


# Guards servers in need against more requests than the limit that they name.
@pytest.mark.parametrize("path", ["/plain/a", "/once/a", "/chat/a", "/talk/a", "jobs"])
async def test_limited_server_gets_no_more_than_it_named(path):
    """One of two servers names a limit; the other one takes the rest."""
    service = "app" if path in ("/plain/a", "/once/a") else "llm"
    async with gateway_fleet(hosts=len(HOSTS)) as fleet:
        limited, other = fleet.runners_of(service)
        limited.behaviour.limits = (str(LIMIT),)
        began_at = asyncio.get_running_loop().time()
        until_at = began_at + STABLE_S + WINDOW_S + 1.0
        if path == "jobs":
            await submit_steadily(fleet, until_at)
        else:
            statuses = await send_steadily(fleet, path, until_at)
            assert statuses.count(200) == len(statuses)
        await until(lambda: limited.running == 0)
        arrivals = [request.received_at for request in limited.requests]
        assert arrivals
        allowed = OVERSHOOT * LIMIT * WINDOW_S + SLACK
        assert fullest_window(arrivals, began_at + STABLE_S) <= allowed
        assert len(other.requests) > len(limited.requests)


# Guards servers that named a limit, then were out of reach, against idling.
async def test_limited_server_is_used_again_after_it_was_out_of_reach():
    """The pool was not in use while its only server came back."""
    async with gateway_fleet(runners=1) as fleet:
        (runner,) = fleet.runners_of("app")
        context = fleet.hosts[0].context
        (entry,) = context.servers.usable("app", 0.0)
        runner.behaviour.limits = (str(LIMIT),)
        assert (await fleet.request("/plain/a", request_id="r1")).status == 200
        context.health.mark_unreachable(entry.incarnation, context.clock.monotonic())
        assert (await fleet.request("/plain/a", request_id="r2")).status == 503
        await until(lambda: not context.health.is_unreachable(entry.incarnation))
        await asyncio.sleep(0.5)
        runner.behaviour.limits = ()
        statuses = []
        for number in range(5):
            reply = await fleet.request("/plain/a", request_id=f"later{number}")
            statuses.append(reply.status)
            await asyncio.sleep(0.3)
        assert 200 in statuses
        assert context.limits.rate_of(entry) is None


# Guards callers against an owner that grants a server which left meanwhile.
async def test_pool_that_was_idle_grants_no_draining_server():
    """The other server is limited, so the host has no choice of its own."""
    async with gateway_fleet() as fleet:
        leaving, limited = fleet.runners_of("app")
        servers = fleet.hosts[0].context.servers
        limited.behaviour.limits = (str(LIMIT),)
        for number in range(12):
            await fleet.request("/plain/a", request_id=f"r{number}")
        assert limited.requests
        await asyncio.sleep(1.0)
        fleet.register(leaving, "draining")
        await until(lambda: len(servers.usable("app", 0.0)) == 1)
        reply = await fleet.request("/plain/a", request_id="later")
        assert reply.status == 200
