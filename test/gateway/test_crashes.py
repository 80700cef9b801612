"""Blocking of requests that crash each server that runs them."""

import asyncio

import attrs

from galenascale.gateway.crashes import CRASH_TTL_S, MAX_CRASHES, CrashHistory
from test.gateway.fleet import gateway_fleet


def test_content_is_blocked_after_several_crashes():
    """Guards servers, and requests that were on a crashed server by chance."""
    history = CrashHistory()
    history.add(1, 10.0)
    history.add(2, 10.0)
    assert not history.is_blocked(1, 10.0)
    history.set_remote_crashes("a", [1], 10.0)
    history.set_remote_crashes("b", [1, 3], 10.0)
    assert history.is_blocked(1, 10.0)
    assert not history.is_blocked(2, 10.0)
    # A host that repeats its report has not seen another crash.
    history.set_remote_crashes("b", [], 10.0)
    history.set_remote_crashes("a", [1], 10.0)
    assert not history.is_blocked(1, 10.0)


def test_crashes_expire():
    """Guards callers against content that stays blocked forever."""
    history = CrashHistory()
    for _ in range(MAX_CRASHES):
        history.add(1, 10.0)
    assert history.is_blocked(1, 11.0)
    assert not history.is_blocked(1, 10.1 + CRASH_TTL_S)


def test_crashes_of_a_lost_host_expire():
    """Guards callers against reports of a host that tells nothing more."""
    history = CrashHistory()
    history.set_remote_crashes("lost", [1] * MAX_CRASHES, 10.0)
    assert history.is_blocked(1, 11.0)
    assert not history.is_blocked(1, 10.1 + CRASH_TTL_S)


async def test_request_that_crashes_servers_is_stopped():
    """Guards servers against retries of a request that crashes them."""
    async with gateway_fleet(hosts=2, runners=6) as fleet:
        for runner in fleet.runners_of("app"):
            runner.behaviour = attrs.evolve(runner.behaviour, crash=True)
        for number in range(6):
            host = number % 2 + 1
            reply = await fleet.request(
                "/plain/a", request_id=f"r{number}", host=host, data=b"bad"
            )
            assert reply.status in (502, 503)
            # Hosts report crashes to each other in some tenths of a second.
            await asyncio.sleep(0.4)
        runs = sum(len(runner.requests) for runner in fleet.runners_of("app"))
        assert runs <= MAX_CRASHES + 1
