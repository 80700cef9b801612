"""Blocked prompt parts that hosts learn from the store alone."""

import asyncio
import contextlib
import itertools
import random
from types import SimpleNamespace
from unittest.mock import Mock

import attrs
import pytest

from galenascale.clock import Clock, FakeClock
from galenascale.codec import encode
from galenascale.gateway.block_records import BLOCKS_TOPIC, BlockRecords
from galenascale.gateway.metrics import GatewayMetrics
from galenascale.gateway.suspect_parts import BLOCK_TTL_S, Block, SuspectParts
from galenascale.gateway.unanswered_runs import UnansweredRuns
from galenascale.generated.gateway_messages import BlockRecord
from galenascale.store import (
    KeyedReadResult,
    KeyedRecord,
    PartitionTrimmed,
    StoreUnavailable,
)
from test.gateway.fleet import WAIT_S, gateway_fleet, until
from test.gateway.test_suspect_parts import (
    DEADLY,
    MAX_LATE_REQUESTS,
    STABLE_S,
    send,
    send_beside,
)


def requests_with_part(fleet):
    """Return the requests with the deadly part that reached servers."""
    return [
        request
        for runner in fleet.runners_of("llm")
        for request in runner.requests
        if request.has_part(DEADLY)
    ]


def make_deadly(fleet):
    """Let the servers crash when they begin to answer the deadly part."""
    for runner in fleet.runners_of("llm"):
        runner.behaviour = attrs.evolve(runner.behaviour, crash_part=DEADLY)


async def restart_hosts(fleet):
    """Kill all hosts at once and start them anew."""
    hosts, fleet.hosts = fleet.hosts, []
    await asyncio.gather(*(host.kill() for host in hosts))
    for number, _ in enumerate(hosts, start=1):
        await fleet.add_host(number)
    await until(lambda: all(host.ready for host in fleet.hosts))


def has_record(host):
    """Return True if a host has read the record of a block."""
    return bool(host.context.block_records._record_by_key)


async def send_until_blocked(fleet, numbers, hosts):
    """Send requests to some hosts until the store holds a block."""
    give_up_at = asyncio.get_running_loop().time() + WAIT_S
    while not has_record(fleet.hosts[0]):
        assert asyncio.get_running_loop().time() < give_up_at, "nothing is blocked"
        parts = [(DEADLY,), ("other1",), ("other2",), ("other3",)]
        batch = [
            send(fleet, next(numbers) * len(fleet.hosts) + host, "first", *rest)
            for rest, host in zip(parts, itertools.cycle(hosts))
        ]
        await asyncio.gather(*batch)


async def test_blocked_part_stays_blocked_when_all_hosts_restart():
    """
    Guards servers against hosts that all lost their memory.

    They learned again which part crashes servers, at the cost of as many
    servers as the first time.
    """
    async with gateway_fleet(hosts=3, runners=9) as fleet:
        make_deadly(fleet)
        numbers = itertools.count(1)
        await send_until_blocked(fleet, numbers, range(3))
        before = len(requests_with_part(fleet))
        assert before
        await restart_hosts(fleet)
        sound = await send_beside(fleet, itertools.count(1000), seconds=2.0)
        assert len(requests_with_part(fleet)) - before <= MAX_LATE_REQUESTS
        assert all(reply.status == 200 for reply in sound)


def isolate(host):
    """Cut a host off from the other hosts, but not from the store."""
    protocol = host.discovery.peer_protocol
    protocol._transport = Mock()
    protocol.datagram_received = lambda data, addr: None


async def test_host_that_hears_no_other_learns_what_is_blocked():
    """Guards servers against hosts that are cut off from all others."""
    async with gateway_fleet(hosts=3, runners=9) as fleet:
        make_deadly(fleet)
        numbers = itertools.count(1)
        isolate(fleet.hosts[2])
        await send_until_blocked(fleet, numbers, range(2))
        await until(lambda: has_record(fleet.hosts[2]), STABLE_S)
        before = len(requests_with_part(fleet))
        assert before
        for _ in range(5):
            await send(fleet, 3 * next(numbers) + 2, "first", DEADLY)
        assert len(requests_with_part(fleet)) == before


# The records themselves, without a network. Times are seconds.

PART = 7
# A record as the first build that knows it writes it: part 7, decided at
# 1,000 s after a first crash at 999 s.
RECORD_BYTES = bytes.fromhex("1502150e1680897a16b0f97900")


class QuickClock(FakeClock):
    """A clock that a test advances; all waits are short."""

    async def sleep(self, seconds):
        await asyncio.sleep(0.001)


class MemoryStore:
    """A keyed topic in memory; calls fail while it is down."""

    def __init__(self):
        self.records = []
        self.is_down = False
        self.calls = 0
        # Records before it are deleted but for the newest of each key.
        self.first_offset = 0
        self._appended = asyncio.Event()

    def _check(self, topic):
        assert topic == BLOCKS_TOPIC
        self.calls += 1
        if self.is_down:
            raise StoreUnavailable("down")

    async def append_keyed(self, topic, key, value):
        self._check(topic)
        self.records.append(KeyedRecord(key, value, len(self.records)))
        self._appended.set()
        self._appended = asyncio.Event()

    async def read_latest(self, topic):
        self._check(topic)
        latest = {record.key: record for record in self.records}
        kept = [record for record in latest.values() if record.value is not None]
        return kept, len(self.records)

    async def read_keyed(self, topic, offset, *, wait_s):
        self._check(topic)
        if offset == len(self.records):
            # A new topic is read at once, a known one with a wait.
            assert offset
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._appended.wait(), wait_s)
        if offset < self.first_offset:
            raise PartitionTrimmed(self.first_offset)
        return KeyedReadResult(self.records[offset:], len(self.records), True)


class MemoryHost:
    """The suspicions of a host with its records in a MemoryStore."""

    def __init__(self, store, clock, seed=1):
        self.events = []
        self.suspects = SuspectParts()
        self.context = SimpleNamespace(
            clock=clock,
            rng=random.Random(seed),
            store=store,
            suspects=self.suspects,
            unanswered=UnansweredRuns(),
            metrics=GatewayMetrics(),
            log=SimpleNamespace(
                write=lambda event, *_, **__: self.events.append(event)
            ),
        )
        self.records = BlockRecords(self.context)

    @contextlib.asynccontextmanager
    async def running(self):
        """Follow and write in the background."""
        tasks = [
            asyncio.ensure_future(run())
            for run in (self.records.follow, self.records.write)
        ]
        try:
            yield self
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def is_blocked(self):
        """Return True if the part is blocked here."""
        now = self.context.clock.monotonic()
        return self.suspects.blocked_part((PART,), now) is not None


@pytest.mark.parametrize(
    ("age_s", "expected"),
    # A negative age: the clock of the host that wrote it is ahead.
    [(0.0, True), (-5.0, True), (BLOCK_TTL_S - 1, True), (BLOCK_TTL_S + 1, False)],
)
async def test_age_of_a_record_counts(age_s, expected):
    """Guards sound parts against records that outlive their blocks."""
    store, clock = MemoryStore(), QuickClock()
    now = clock.monotonic()
    async with MemoryHost(store, clock).running() as writer:
        writer.records.save(Block(PART, now - age_s, now - age_s - 1))
        await until(lambda: len(store.records) == 2)
    async with MemoryHost(store, clock).running() as host:
        await until(lambda: host.records._position == 2)
        assert host.is_blocked() == expected
        assert host.events == (["part_blocked"] if expected else [])


async def test_removed_record_unblocks():
    """Guards sound callers of hosts that hear of no other host."""
    store, clock = MemoryStore(), QuickClock()
    now = clock.monotonic()
    async with (
        MemoryHost(store, clock).running() as writer,
        MemoryHost(store, clock).running() as reader,
    ):
        writer.records.save(Block(PART, now, now - 1))
        await until(reader.is_blocked)
        writer.records.remove(PART)
        await until(lambda: not reader.is_blocked())
    async with MemoryHost(store, clock).running() as late:
        await until(lambda: late.records._position)
        assert not late.is_blocked()


async def test_removal_that_the_store_deleted_unblocks():
    """Guards sound callers when the store forgets its history."""
    store, clock = MemoryStore(), QuickClock()
    now = clock.monotonic()
    async with MemoryHost(store, clock).running() as host:
        host.records.save(Block(PART, now, now - 1))
        await until(host.is_blocked)
        await store.append_keyed(BLOCKS_TOPIC, str(PART), None)
        store.first_offset = len(store.records)
        await until(lambda: not host.is_blocked())


async def test_decision_is_written_once_the_store_is_back():
    """Guards decisions that are made while the store is away."""
    store, clock = MemoryStore(), QuickClock()
    store.is_down = True
    now = clock.monotonic()
    async with MemoryHost(store, clock).running() as host:
        host.records.save(Block(PART, now, now - 1))
        await until(lambda: store.calls > 2)
        store.is_down = False
        await until(lambda: [r.key for r in store.records if r.value] == [str(PART)])


async def test_expired_records_leave_the_store():
    """Guards the store against a record for each part there ever was."""
    store, clock = MemoryStore(), QuickClock()
    async with MemoryHost(store, clock).running() as host:
        for number in range(20):
            now = clock.monotonic()
            host.records.save(Block(number, now, now - 1))
            await until(lambda: not host.records._unwritten_by_key)
            await until(lambda: host.records._position == len(store.records))
            await clock.advance(BLOCK_TTL_S / 4)
    records, _ = await store.read_latest(BLOCKS_TOPIC)
    assert len(records) <= 6


async def test_hosts_that_decide_together_write_few_records():
    """
    Guards the store of a large fleet: each record ends the reads of all hosts.

    All hosts decide within a few milliseconds.
    """
    store, clock = MemoryStore(), Clock()
    hosts = [MemoryHost(store, clock, seed) for seed in range(84)]
    async with contextlib.AsyncExitStack() as stack:
        for host in hosts:
            await stack.enter_async_context(host.running())
        await until(lambda: all(host.records._position for host in hosts))
        before, store.calls = len(store.records), 0
        now = clock.monotonic()
        for host in hosts:
            host.records.save(Block(PART, now, now - 1))
        await until(lambda: not any(host.records._unwritten_by_key for host in hosts))
        await until(lambda: all(host.is_blocked() for host in hosts))
        assert 1 <= len(store.records) - before < len(hosts) / 8
        # A read each READ_INTERVAL_S, whatever is written.
        assert store.calls < 10 * len(hosts)


@pytest.mark.parametrize(
    "value", [b"\xff\xff", b"?", encode(BlockRecord(schema_version=2, part=PART))]
)
async def test_record_that_cannot_be_read_does_no_harm(value):
    """Guards hosts against damaged records and those of a later build."""
    store, clock = MemoryStore(), QuickClock()
    now = clock.monotonic()
    await store.append_keyed(BLOCKS_TOPIC, "8", value)
    async with MemoryHost(store, clock).running() as host:
        host.records.save(Block(PART, now, now - 1))
        await until(host.is_blocked)


async def test_record_of_the_first_build_is_read():
    """Guards upgrades: records outlive the build that wrote them."""
    store, clock = MemoryStore(), QuickClock(start_s=1010.0)
    await store.append_keyed(BLOCKS_TOPIC, str(PART), RECORD_BYTES)
    async with MemoryHost(store, clock).running() as host:
        await until(host.is_blocked)
        (block,) = host.suspects.blocks(clock.monotonic())
        assert (block.decided_at, block.evidence_from) == (1000.0, 999.0)
    async with MemoryHost(MemoryStore(), clock).running() as writer:
        writer.records.save(block)
        records = writer.context.store.records
        await until(lambda: [r.value for r in records if r.value] == [RECORD_BYTES])
