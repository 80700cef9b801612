"""Containment verdicts in the fleet stream."""

import asyncio

from galenascale.clock import FakeClock
from galenascale.fleet import LOG_WAIT_S, FleetVerdicts
from galenascale.generated.messages import LogSettings, PoisonVerdict
from galenascale.shards import FLEET, Shards
from galenascale.shards.keeper import ShardKeeper
from test.fakes import FakeLog, run_with_clock

SETTINGS = LogSettings(shards=1, linger_s=0.1, snapshot_records=2, retention_records=9)


class Host:
    def __init__(self, log, clock, host_id, known=("svc",)):
        self.known, self.merged = set(known), []
        self.shards = Shards(log, clock, SETTINGS, host_id)
        self.verdicts = FleetVerdicts(self.shards, clock, 5.0, self.merge)
        self.keeper = ShardKeeper(self.shards, log, clock, SETTINGS)

    def merge(self, verdict):
        if verdict.service_name not in self.known:
            return False
        self.merged.append(verdict.fingerprint)
        return True


def verdict(name, clock, contained=True, service="svc"):
    expires_ms = clock.wall_ms() + 3_600_000
    return PoisonVerdict(name, service, ["s1", "s2"], 0, expires_ms, contained)


async def test_verdicts_outlive_the_hosts_that_found_them():
    """Guards the write, its retry, trimming and the read of a later host."""
    log, clock = FakeLog(), FakeClock()
    first = Host(log, clock, "h1")
    log.append_faults = ["down"] * 120 + ["lost_answer"]
    for name, contained in (("a", True), ("suspect", False), ("b", True)):
        first.verdicts.add(verdict(name, clock, contained))
    first.verdicts.add(verdict("c", clock, service="later"))
    await clock.advance(60.0)
    await run_with_clock(clock, first.keeper.keep(FLEET))
    for _ in range(2):
        first.verdicts.add(verdict("a", clock))
        await clock.advance(1.0)
    await run_with_clock(clock, first.keeper.keep(FLEET))
    await run_with_clock(clock, first.shards.close())
    stream = log.store.streams_by_name["fleet"]
    while len(stream.records) > 1:
        stream.records.pop(0)
        stream.first_offset += 1
    second = Host(log, clock, "h2")
    await second.verdicts.refresh()
    await second.verdicts.refresh()
    assert sorted(second.merged) == ["a", "b"] and second.verdicts.is_settled()
    # A verdict waits for the declaration of its service.
    second.known.add("later")
    await second.verdicts.refresh()
    assert sorted(second.merged) == ["a", "b", "c"]
    await second.shards.close()


async def test_a_start_without_the_log_is_not_held_up():
    """Guards readiness and a planned stop while the log is away."""
    log, clock = FakeLog(), FakeClock()
    log.read_down, log.append_faults = True, ["down"] * 1000
    host = Host(log, clock, "h1")
    task = asyncio.create_task(host.verdicts.run())
    await clock.advance(LOG_WAIT_S - 0.1)
    assert not host.verdicts.is_settled()
    await clock.advance(0.2)
    assert host.verdicts.is_settled() and not host.verdicts.loaded
    host.verdicts.add(verdict("a", clock))
    await run_with_clock(clock, host.verdicts.close())
    log.read_down = False
    await clock.advance(5.0)
    assert host.verdicts.loaded
    task.cancel()
    await host.shards.close()
