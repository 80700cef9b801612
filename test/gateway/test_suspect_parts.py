"""Prompt parts that crash each server which begins to answer them."""

import asyncio
import itertools
import tracemalloc

import attrs
import pytest

from galenascale.gateway.crash_evidence import SuspectRun
from galenascale.gateway.load import hash_key
from galenascale.gateway.suspect_parts import (
    BLOCK_TTL_S,
    MIN_OTHER_STARTS,
    RELAY_MARGIN_S,
    SuspectParts,
)
from test.gateway.fleet import gateway_fleet

DEADLY = "dead1"
# The users' bound: from this many seconds after the fifth crash, at most three
# requests with the part reach servers.
STABLE_S = 3.0
MAX_LATE_REQUESTS = 3
# A hundredth of the memory of the smallest host.
MAX_MEMORY_BYTES = 1_300_000
SETTLE_S = 1.5


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


# The decision itself, without a network. Times are seconds.


def crash(suspects, server, content, parts, at):
    """Record a run that ended with the crash of its server."""
    suspects.record_crash(SuspectRun(server, content, parts, at))


def start_others(suspects, at):
    """Record as many answers to other prompts as a decision needs."""
    for _ in range(MIN_OTHER_STARTS):
        suspects.record_start((FIRST, 901), at)


FIRST, RARE, BAD, SOUND = 1, 2, 3, 4


def blocked_by(runs, *, starts=(), others_at=3.0, now=4.0):
    """Return the parts that are blocked after runs and begun answers."""
    suspects = SuspectParts()
    for part, at in starts:
        suspects.record_start((part,), at)
    for run in runs:
        crash(suspects, *run)
    if others_at is not None:
        start_others(suspects, others_at)
    return [block.part_key for block in suspects.decide(now, SETTLE_S)]


CHAIN = (FIRST, RARE, BAD)


@pytest.mark.parametrize(
    "case, runs, options, expected",
    [
        (
            "three servers, two contents",
            [(1, 10, CHAIN, 1.0), (2, 10, CHAIN, 1.2), (3, 11, CHAIN, 2.0)],
            {},
            [BAD],
        ),
        (
            "one sound request that is retried in a burst of crashes",
            [(1, 10, CHAIN, 1.0), (2, 10, CHAIN, 1.2), (3, 10, CHAIN, 2.0)],
            {},
            [],
        ),
        (
            "two hosts tell of the same crash",
            [(1, 10, CHAIN, 1.0), (1, 11, CHAIN, 1.3), (2, 12, CHAIN, 1.5)],
            {},
            [],
        ),
        (
            "the part before it is in different prompts",
            [
                (1, 10, (FIRST, RARE, 31), 1.0),
                (2, 11, (FIRST, RARE, 32), 1.2),
                (3, 12, (FIRST, RARE, 33), 2.0),
            ],
            {},
            [RARE],
        ),
        (
            "no other answer begins: the servers are broken",
            [(1, 10, CHAIN, 1.0), (2, 10, CHAIN, 1.2), (3, 11, CHAIN, 2.0)],
            {"others_at": None},
            [],
        ),
        (
            "servers lose power together under a usual part",
            [(n, 10 + n, (SOUND,), 1.0 + n / 10) for n in range(5)],
            {"starts": [(SOUND, 0.5)]},
            [],
        ),
        (
            "a part that answered until a change of weights",
            [(n, 10 + n, (FIRST, BAD), 1.0 + n) for n in range(5)],
            {"starts": [(BAD, 0.5)], "others_at": 5.5, "now": 6.0},
            [BAD],
        ),
        (
            "an answer began after the crashes",
            [(n, 10 + n, (SOUND,), 1.0 + n / 10) for n in range(5)],
            {"starts": [(SOUND, 2.5)]},
            [],
        ),
        (
            "other hosts may still tell of answers",
            [(1, 10, CHAIN, 3.0), (2, 10, CHAIN, 3.2), (3, 11, CHAIN, 3.5)],
            {"others_at": 3.9},
            [],
        ),
        (
            "crashes long ago",
            [(1, 10, CHAIN, 1.0), (2, 10, CHAIN, 1.2), (3, 11, CHAIN, 2.0)],
            {"others_at": 80.0, "now": 81.0},
            [],
        ),
    ],
)
def test_evidence_decides(case, runs, options, expected):
    """Guards servers against deadly parts, and sound parts against blocks."""
    assert blocked_by(runs, **options) == expected


def test_parts_near_a_blocked_one_stay_free():
    """Guards rare sound parts that are in the prompts of deadly requests."""
    suspects = SuspectParts()
    for n in range(8):
        crash(suspects, n, n, CHAIN, 1.0 + n / 10)
        # Another request on the same server.
        crash(suspects, n, 100 + n, (FIRST, SOUND), 1.0 + n / 10)
    start_others(suspects, 2.0)
    assert [block.part_key for block in suspects.decide(4.0, SETTLE_S)] == [BAD]
    # One sound request with the rare part is hit by a later, foreign crash.
    crash(suspects, 50, 50, (FIRST, RARE), 5.0)
    start_others(suspects, 5.5)
    assert suspects.decide(8.0, SETTLE_S) == []
    assert suspects.blocked_part((FIRST, RARE), 8.0) is None
    assert suspects.blocked_part(CHAIN, 8.0) == BAD


def test_begun_answer_acquits():
    """Guards sound parts that were blocked by chance."""
    suspects = SuspectParts()
    for n in range(3):
        crash(suspects, n, n, (FIRST, BAD), 1.0)
    start_others(suspects, 2.0)
    (block,) = suspects.decide(3.0, SETTLE_S)
    assert suspects.record_start((BAD,), 3.5) == [BAD]
    assert suspects.blocked_part((BAD,), 3.5) is None
    # Another host repeats the block that it has not heard to be void.
    assert suspects.merge_blocks([block], 3.6) == []


def test_answers_to_others_at_other_hosts_count():
    """
    Guards small fleets in which each host sees few answers begin.

    All servers were down before one host had seen three of them, and the next
    requests with the part crashed servers as these came back.
    """
    suspects = SuspectParts()
    for n in range(3):
        crash(suspects, n, n, CHAIN, 1.0 + n / 10)
    suspects.record_start((FIRST,), 1.25)
    suspects.merge_starts({FIRST: 1.3})
    # The same answer, told again.
    suspects.merge_starts({FIRST: 1.3001})
    assert suspects.decide(3.0, SETTLE_S) == []
    suspects.merge_starts({FIRST: 1.5})
    assert [block.part_key for block in suspects.decide(4.0, SETTLE_S)] == [BAD]


def test_answers_before_the_news_of_a_crash_count():
    """
    Guards large fleets, whose hosts hear of most crashes a second later.

    All servers were down by then, so no answer began after the news.
    """
    suspects = SuspectParts()
    for n in range(MIN_OTHER_STARTS):
        suspects.record_start((FIRST, 901), 1.1 + n / 10)
    suspects.merge_runs(SuspectRun(n, n, CHAIN, 1.0 + n / 10) for n in range(3))
    assert [block.part_key for block in suspects.decide(3.0, SETTLE_S)] == [BAD]


def test_answers_of_another_service_prove_nothing():
    """
    Guards a service whose servers are all broken for a while.

    The answers of a plain service, and those to parts that were on none of the
    crashed servers, do not show that its servers are sound.
    """
    suspects = SuspectParts()
    for n in range(6):
        crash(suspects, n, n, (FIRST, 100 + n), 1.0 + n)
        suspects.record_start((), 1.5 + n)
        suspects.record_start((901,), 1.5 + n)
    assert suspects.decide(8.0, SETTLE_S) == []


def test_answer_at_another_host_acquits():
    """Guards a host that sees few requests against its own small sample."""
    suspects = SuspectParts()
    for n in range(3):
        crash(suspects, n, n, (FIRST, SOUND), 1.0)
    start_others(suspects, 2.0)
    assert suspects.merge_starts({SOUND: 1.5}) == []
    assert suspects.decide(3.0, SETTLE_S) == []


def test_block_expires_though_hosts_repeat_it():
    """Guards parts against blocks that hosts tell each other for ever."""
    hosts = [SuspectParts() for _ in range(3)]
    for n in range(3):
        crash(hosts[0], n, n, (FIRST, BAD), 1.0)
    start_others(hosts[0], 2.0)
    hosts[0].decide(3.0, SETTLE_S)
    now = 3.0
    while now < 3.0 + 2 * BLOCK_TTL_S:
        now += 0.5
        for host, other in itertools.permutations(hosts, 2):
            told = [
                attrs.evolve(
                    block,
                    # Half a second on the way, not known to the receiver.
                    decided_at=block.decided_at + 0.5 - RELAY_MARGIN_S,
                    evidence_from=block.evidence_from + 0.5 - RELAY_MARGIN_S,
                )
                for block in host.blocks(now)
            ]
            other.merge_blocks(told, now)
        is_blocked = [host.blocked_part((BAD,), now) is not None for host in hosts]
        if now < BLOCK_TTL_S - 5:
            assert all(is_blocked)
    assert not any(is_blocked)


def test_memory_is_bounded():
    """Guards hosts against a flood of crashes and parts."""

    def feed(suspects, first):
        for n in range(first, first + 20_000):
            suspects.record_start((n,), n / 1000)
            suspects.merge_starts({-n: n / 1000})
            crash(suspects, n, n, tuple(range(n, n + 9)), n / 1000)
            suspects.decide(n / 1000, SETTLE_S)

    suspects = SuspectParts()
    feed(suspects, 0)
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        feed(suspects, 20_000)
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert after - before < MAX_MEMORY_BYTES


async def test_rejected_request_acquits_nothing():
    """Guards the evidence: a server that rejects a prompt began no answer."""
    async with gateway_fleet(hosts=1, runners=1) as fleet:
        host = fleet.hosts[0]
        (runner,) = fleet.runners_of("llm")
        keys = tuple(map(hash_key, ("first", "second")))
        crash(host.context.suspects, 1, 1, keys, host.context.clock.monotonic())
        runner.behaviour.status = 400
        assert (await send(fleet, 1, "first", "second")).status == 400
        assert host.context.suspects.suspected_starts(10) == {}
        runner.behaviour.status = 200
        assert (await send(fleet, 2, "first", "second")).status == 200
        assert set(host.context.suspects.suspected_starts(10)) == set(keys)
