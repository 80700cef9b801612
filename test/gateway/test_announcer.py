"""Broadcasts of a host at urgent news."""

import asyncio

import pytest

from galenascale.clock import Clock
from galenascale.gateway import suspect_exchange
from galenascale.gateway.announcer import MIN_INTERVAL_S, Announcer, DelayedCall
from galenascale.gateway.crash_evidence import SuspectRun
from test.gateway.fleet import gateway_fleet, until


@pytest.mark.parametrize(("hosts", "most"), [(9, 4), (300, 2)])
async def test_broadcasts_are_limited(hosts, most):
    """Guards networks in a burst of crashes, with hundreds of hosts too."""
    broadcasts = []

    def broadcast():
        broadcasts.append(hosts)
        return hosts

    announcer = Announcer(Clock(), broadcast)
    for _ in range(30):
        announcer.announce()
        await asyncio.sleep(MIN_INTERVAL_S / 10)
    assert 2 <= len(broadcasts) <= most


async def test_first_news_is_told_at_once():
    """Guards servers, as each request until then costs one."""
    broadcasts = []
    announcer = Announcer(Clock(), lambda: broadcasts.append(1) or 1)
    announcer.announce()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert broadcasts == [1]


async def test_closed_announcer_is_silent():
    """Guards stopping hosts against sends on a closed socket."""
    broadcasts = []
    announcer = Announcer(Clock(), lambda: broadcasts.append(1) or 1)
    announcer.announce()
    announcer.close()
    await asyncio.sleep(0.01)
    assert broadcasts == []


async def test_requests_of_a_call_are_merged():
    """Guards hosts against a decision for each of many messages."""
    calls = []
    call = DelayedCall(lambda: calls.append(1))
    for _ in range(10):
        call.request(0.01)
    await asyncio.sleep(0.05)
    assert calls == [1]
    call.request(0.01)
    call.cancel()
    await asyncio.sleep(0.05)
    assert calls == [1]


async def test_hosts_hear_what_another_one_announces():
    """Guards the way from a crash to the other hosts, through whole hosts."""
    failures = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, details: failures.append(details))
    async with gateway_fleet(hosts=2) as fleet:
        first, second = fleet.hosts
        await until(lambda: second.context.peers.is_alive("host-1", loop.time()))
        run = SuspectRun(1, 2, (3, 4), first.context.clock.monotonic())
        suspect_exchange.record_crash(first.context, run)
        heard = second.context.suspects
        since = run.at - 1.0
        await until(lambda: heard.has_crash_since(since), MIN_INTERVAL_S)
    assert failures == []
