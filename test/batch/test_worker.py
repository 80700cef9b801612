"""Batch worker: no item lost, work asked for in time, cheap resumption."""

import asyncio
import types

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale.batch.asking import WorkAsker
from galenascale.batch.held import RESUME_WAIT_S, HeldChunk, Item, ReadyItems
from galenascale.batch.worker import BatchWorker
from galenascale.clock import FakeClock
from galenascale.generated.messages import (
    HostSettings,
    ItemOutcome,
    WorkGrant,
    WorkReply,
)
from test.fakes import FakeHost, FakeLog

SERVER = types.SimpleNamespace(name="s0")


class Capacity:
    """One server whose batch slots a test sets."""

    def __init__(self):
        self.slots = self.streams = 0

    def services(self):
        return ["svc"]

    def running(self, _):
        return self.streams

    def free_slots(self, _):
        return [(SERVER, self.slots - self.worker.running("s0"))]

    def started(self, *_):
        self.streams += 1

    def ended(self, *_):
        self.streams -= 1


class Reporter:
    """Keeps the outcomes."""

    unrecorded = 0

    def __init__(self):
        self.items = []

    def add(self, shard, job_id, chunk, claim, outcome):
        self.items.append(outcome.item)


class Grants:
    """Shard owner with a fixed number of items on some shards."""

    def __init__(self):
        self.asked = []
        self.shards = set()

    async def grant(self, request):
        self.asked.append((request.shard, request.max_items))
        found = request.shard in self.shards
        return WorkReply([WorkGrant("job")] if found else [])


def make_host(clock):
    return FakeHost("h", FakeLog(), clock, HostSettings(host_id="h"))


def make_items(count):
    chunk = HeldChunk(0, WorkGrant("job"), 0.0, 0, set(range(count)))
    return [Item(chunk, number, "", "", {}) for number in range(count)]


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["slots", "give_way", "finish", "pass"]), st.integers(0, 4)
    ),
    max_size=40,
)


@given(operations=OPERATIONS)
def test_interrupted_items_are_neither_lost_nor_run_twice(operations):
    """
    Guards items whose run is cancelled before its first step or twice.

    Each item has one outcome at the end and all slots are free.
    """

    async def run():
        clock, capacity, reporter = FakeClock(), Capacity(), Reporter()
        gates, broken = {}, []

        async def run_item(server, item):
            gate = gates[item] = asyncio.Event()
            try:
                await gate.wait()
            except asyncio.CancelledError:
                try:
                    for _ in range(4):
                        await asyncio.sleep(0)
                except asyncio.CancelledError:
                    broken.append(item)
                raise
            return ItemOutcome(item.number)

        worker = BatchWorker(make_host(clock), Grants(), capacity, reporter, run_item)
        capacity.worker = worker
        worker.holdings.ready.add("svc", make_items(6))
        task = asyncio.create_task(worker.run())

        async def settle():
            for _ in range(12):
                await asyncio.sleep(0)

        for operation, count in operations:
            if operation == "slots":
                capacity.slots = count
                worker.wake()
                # One step, so that a run may be cancelled before it begins.
                await asyncio.sleep(0)
            elif operation == "give_way":
                worker.give_way("s0", worker.running_items("s0")[:count])
                await asyncio.sleep(0)
            elif operation == "finish":
                for gate in list(gates.values())[:count]:
                    gate.set()
            else:
                await settle()
        capacity.slots = 6
        for _ in range(10):
            worker.wake()
            await settle()
            for gate in gates.values():
                gate.set()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert sorted(reporter.items) == list(range(6))
        assert capacity.streams == 0 and not broken

    asyncio.run(run())


@pytest.mark.parametrize(
    ("server", "now", "fresh", "expected"),
    [
        ("own", 1.0, True, "interrupted"),
        ("other", 1.0, True, "fresh"),
        ("other", 1.0, False, "interrupted"),
        ("other", 1.0 + RESUME_WAIT_S, True, "interrupted"),
    ],
)
def test_interrupted_items_wait_for_the_server_with_their_cache(
    server, now, fresh, expected
):
    """Guards against needless prefill, and against waiting for ever."""
    interrupted, other = make_items(2)
    ready = ReadyItems()
    ready.put_back("svc", interrupted, "own", 1.0)
    if fresh:
        ready.add("svc", [other])
    taken = ready.take("svc", server, now)
    assert taken is (interrupted if expected == "interrupted" else other)


async def test_shards_are_asked_together_and_a_notice_ends_the_pause():
    """Guards against idle slots while an accepted job waits for a poll."""
    clock, grants, held = FakeClock(), Grants(), []

    async def hold(shard, service, grant, leased_at):
        held.append(shard)
        return 8

    asker = WorkAsker(make_host(clock), grants, types.SimpleNamespace(hold=hold))
    task = asyncio.create_task(asker.ask("svc", 8))
    for _ in range(10):
        await asyncio.sleep(0)
    assert sorted(grants.asked) == [(shard, 2) for shard in range(4)]
    assert asker.is_asking("svc") and not task.done()
    grants.shards.add(3)
    asker.notice("svc", 3)
    await asyncio.wait_for(task, 5)
    grants.asked.clear()
    await asker.ask("svc", 8)
    # The shard that is known to have work is asked alone.
    assert (grants.asked, held) == ([(3, 8)], [3])


@pytest.mark.parametrize(
    ("started_at", "tokens", "done", "stuck"),
    [
        (None, 0, False, True),
        # Runs that began in this lease may all have failed to connect.
        (11.0, 0, False, True),
        (9.0, 0, False, False),
        (11.0, 3, False, False),
        (None, 0, True, False),
    ],
)
def test_chunk_without_progress_is_stuck(started_at, tokens, done, stuck):
    """Guards against a host that keeps chunks whose server is dead."""
    lines = [
        {"custom_id": name, "method": "POST", "url": "/services/s/x", "body": {}}
        for name in "ab"
    ]
    grant = WorkGrant(job_id="j", lease_ms=1000, remaining=[0, 1])
    held = HeldChunk.from_grant(0, grant, 8.0)
    items = held.items(b"\n".join(orjson.dumps(line) for line in lines))
    held.renewed(10.0, 5)
    if started_at is not None:
        held.started(items[0], started_at)
    items[0].tokens += tokens
    if done:
        held.open_items.discard(1)
    assert held.is_stuck() is stuck
