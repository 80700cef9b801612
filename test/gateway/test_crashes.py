"""Requests that crash each server that runs them."""

import asyncio

import attrs

from galenascale.gateway.crashes import CRASH_TTL_S, MAX_CRASHES, CrashHistory
from test.gateway.world import gateway_world


def test_content_on_several_crashed_servers_is_dangerous():
    """Guards servers against a content, and neighbours against one crash."""
    memory = CrashHistory()
    memory.add(1, 10.0)
    memory.add(2, 10.0)
    assert not memory.is_blocked(1, 10.0)
    memory.set_remote_crashes("a", [1])
    memory.set_remote_crashes("b", [1, 3])
    assert memory.is_blocked(1, 10.0)
    assert not memory.is_blocked(2, 10.0)
    # A host that tells the same again has not seen another crash.
    memory.set_remote_crashes("b", [])
    memory.set_remote_crashes("a", [1])
    assert not memory.is_blocked(1, 10.0)


def test_crashes_are_forgotten():
    """Guards contents against a verdict that outlives its cause."""
    memory = CrashHistory()
    for _ in range(MAX_CRASHES):
        memory.add(1, 10.0)
    assert memory.is_blocked(1, 11.0)
    assert not memory.is_blocked(1, 10.1 + CRASH_TTL_S)


async def test_request_that_crashes_servers_is_stopped():
    """Guards the fleet against one content that comes again and again."""
    async with gateway_world(hosts=2, runners=6) as world:
        for runner in world.of("app"):
            runner.behaviour = attrs.evolve(runner.behaviour, crash=True)
        for number in range(6):
            host = number % 2 + 1
            reply = await world.request(
                "/plain/a", request_id=f"r{number}", host=host, data=b"bad"
            )
            assert reply.status in (502, 503)
            # Hosts tell each other within some tenths of a second.
            await asyncio.sleep(0.4)
        runs = sum(len(runner.requests) for runner in world.of("app"))
        assert runs <= MAX_CRASHES + 1
