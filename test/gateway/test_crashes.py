"""Requests that crash each server that runs them."""

import asyncio

import attrs

from galenascale.gateway.crashes import MAX_CRASHES, REMEMBERED_S, CrashMemory
from test.gateway.fleet import gateway_fleet


def test_content_on_several_crashed_servers_is_dangerous():
    """Guards servers against a content, and neighbours against one crash."""
    memory = CrashMemory()
    memory.add(1, 10.0)
    memory.add(2, 10.0)
    assert not memory.is_dangerous(1, 10.0)
    memory.learn("a", [1])
    memory.learn("b", [1, 3])
    assert memory.is_dangerous(1, 10.0)
    assert not memory.is_dangerous(2, 10.0)
    # A host that tells the same again has not seen another crash.
    memory.learn("b", [])
    memory.learn("a", [1])
    assert not memory.is_dangerous(1, 10.0)


def test_crashes_are_forgotten():
    """Guards contents against a verdict that outlives its cause."""
    memory = CrashMemory()
    for _ in range(MAX_CRASHES):
        memory.add(1, 10.0)
    assert memory.is_dangerous(1, 11.0)
    assert not memory.is_dangerous(1, 10.1 + REMEMBERED_S)


async def test_request_that_crashes_servers_is_stopped():
    """Guards the fleet against one content that comes again and again."""
    async with gateway_fleet(hosts=2, runners=6) as fleet:
        for runner in fleet.of("app"):
            runner.behaviour = attrs.evolve(runner.behaviour, crash=True)
        for number in range(6):
            host = number % 2 + 1
            reply = await fleet.request(
                "/plain/a", request_id=f"r{number}", host=host, data=b"bad"
            )
            assert reply.status in (502, 503)
            # Hosts tell each other within some tenths of a second.
            await asyncio.sleep(0.4)
        runs = sum(len(runner.requests) for runner in fleet.of("app"))
        assert runs <= MAX_CRASHES + 1
