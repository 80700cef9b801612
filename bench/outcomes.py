"""Recovery, replay and appends of batch jobs, printed as JSON.

Run from the root of the repository: python -m bench.outcomes

Everything runs in memory. Real are Shards, GrantService, BatchWorker,
OutcomeReporter and the fold; the log is the stand-in's LogStore without HTTP,
peers are called directly and backend servers only let time pass. Recovery and
appends use a fake clock, replay the clock of the machine.
"""

import asyncio
import gc
import random
import sys
import time
import tracemalloc
import types

import attrs
import orjson

from galenascale import codec
from galenascale.batch import BatchWorker, GrantService
from galenascale.batch.reporter import OutcomeReporter
from galenascale.batch.runs import ItemRunner
from galenascale.clock import FakeClock
from galenascale.engine_answers import PlainAnswer
from galenascale.errors import PeerError
from galenascale.generated import messages
from galenascale.generated.messages import (
    BackendServerDeclaration,
    ChunkClaim,
    ChunkRef,
    DataChunk,
    ItemOutcome,
    JobCreated,
    LogBatch,
    LogRecord,
    Outcomes,
    Position,
    RecordKind,
)
from galenascale.hashing import rendezvous_rank
from galenascale.job_results import result_line
from galenascale.shards import Shards, make_record
from galenascale.shards.ids import data_stream, work_stream
from galenascale.shards.keeper import ShardKeeper
from galenascale.standins.log_store import LogStore
from galenascale.store import OffsetRange, ReadResult

SEED = 7
CHUNK_ITEMS = 32
SHARDS = 4
HOSTS = 9
ITEMS_PER_S = 440
ITEM_S = 0.4
STEP_S = 0.05
ANSWER = orjson.dumps({"text": "x" * 200})


class MemoryLog:
    """LogStore without HTTP that counts appends."""

    def __init__(self):
        self.store = LogStore(retention_records=10**9)
        self.appends = 0

    async def append(self, stream, body):
        """Append a body and return its offset."""
        self.appends += 1
        return self.store.append(stream, body)

    async def read(self, stream, offset, limit=500):
        """Return records as LogClient.read does."""
        records = self.store.read(stream, offset, limit)
        return ReadResult(records, *self.store.bounds(stream))

    async def bounds(self, stream):
        """Return the bounds of a stream."""
        return OffsetRange(*self.store.bounds(stream))


@attrs.define
class Fleet:
    """Entry hosts in one process, each with servers of its own."""

    log: MemoryLog
    clock: FakeClock
    settings: object
    hosts: list = attrs.field(factory=list)
    dead: dict = attrs.field(factory=dict)

    def live(self):
        """Return the ids of the hosts that are not known to be dead."""
        now = self.clock.monotonic()
        return [
            host.host_id
            for host in self.hosts
            if self.dead.get(host.host_id, float("inf")) > now
        ]

    def owner(self, shard, rank=0):
        """Return the live host of a shard, or the one that follows it."""
        return rendezvous_rank(f"shard\0{shard}", self.live())[rank]

    async def call(self, host_id, method, message, reply_type, timeout_s):
        """Call a peer's handler."""
        host = next(host for host in self.hosts if host.host_id == host_id)
        if host.host_id in self.dead:
            raise PeerError("connection refused", peer=host_id)
        if method == "work":
            return await host.grants.grant(message)
        return await host.shards.handle_submit(message)


class Engine:
    """Backend servers that only let time pass."""

    def __init__(self, clock):
        self.clock = clock
        self.rng = random.Random(SEED)
        self.runs = 0

    async def forward(self, server, method, path, headers, body, timeout_s):
        """Answer after a random time."""
        self.runs += 1
        await self.clock.sleep(self.rng.uniform(0.5, 1.5) * ITEM_S)
        return PlainAnswer(200, "application/json", ANSWER)


class BenchHost:
    """The batch parts of one entry host."""

    def __init__(self, fleet, number, engine, slots):
        self.host_id, self.incarnation = f"h{number}", "1"
        self.clock, self.log_client, self.peers = fleet.clock, fleet.log, fleet
        self.settings = fleet.settings
        self.shards = Shards(
            fleet.log,
            fleet.clock,
            fleet.settings.log,
            self.host_id,
            fleet.owner,
            fleet,
        )
        self.grants = GrantService(
            self.shards,
            fleet.clock,
            fleet.settings.batch,
            lambda host_id, _: host_id not in fleet.live(),
        )
        self.reporter = OutcomeReporter(
            self.shards, fleet.clock, lambda *args: self.worker.recorded(*args)
        )
        self.server = BackendServerDeclaration(
            name=f"server-{number}", service_name="s", slots=slots
        )
        runner = ItemRunner(engine, self.shards, fleet.clock, fleet.settings.batch)
        self.worker = BatchWorker(self, self.grants, self, self.reporter, runner.run)
        keeper = ShardKeeper(
            self.shards,
            fleet.log,
            fleet.clock,
            fleet.settings.log,
            is_next=lambda shard: fleet.owner(shard, 1) == self.host_id,
        )
        self.tasks = [
            asyncio.create_task(part.run())
            for part in (self.reporter, self.worker, keeper)
        ]

    def services(self):
        """Return the one service."""
        return ["s"]

    def free_slots(self, service):
        """Return the free slots of the host's server."""
        free = self.server.slots - self.worker.running(self.server.name)
        return [(self.server, free)] if free > 0 else []

    def slots(self, service):
        """Return the batch slots of the owned server."""
        return self.server.slots

    def running(self, service):
        """Return the number of items that run."""
        return self.worker.running(self.server.name)

    def started(self, service, server_id):
        """Routing, which counts batch streams, is not part of this."""

    def ended(self, service, server_id):
        """See started()."""

    async def stop(self):
        """End all tasks."""
        for task in self.tasks:
            task.cancel()
        closing = asyncio.gather(*self.tasks, return_exceptions=True)
        while not closing.done():
            await self.clock.advance(STEP_S)
        await self.shards.close()


def add_job(store, number, items, idempotent=True):
    """Append a job's input and record; return its JobCreated."""
    shard, job_id = number % SHARDS, f"batch_{number % SHARDS}_{number}"
    refs = []
    for first in range(0, items, CHUNK_ITEMS):
        count = min(CHUNK_ITEMS, items - first)
        lines = [
            orjson.dumps(
                {
                    "custom_id": f"{number}-{first + index}",
                    "method": "POST",
                    "url": "/services/s/x",
                    "body": {"n": index},
                }
            )
            for index in range(count)
        ]
        body = codec.encode(DataChunk(job_id, len(refs), b"\n".join(lines)))
        record = LogRecord("", RecordKind.DATA_CHUNK, 1, body)
        batch = codec.encode(LogBatch(records=[record]))
        offset = store.append(data_stream(shard), batch)
        position = Position(data_stream(shard), offset, 0)
        refs.append(ChunkRef(position, first, count, 0))
    created = JobCreated(
        job_id=job_id,
        tenant="t",
        service_name="s",
        endpoint="/services/s/x",
        chunks=refs,
        item_count=items,
        idempotent=idempotent,
        created_ms=1,
        due_ms=10**15,
        expires_ms=2 * 10**15,
    )
    append(store, work_stream(shard), [created])
    return created


def append(store, stream, items):
    """Append messages as one batch."""
    records = [make_record(item) for item in items]
    return store.append(stream, codec.encode(LogBatch(records=records)))


def outcome(job_id, number):
    """Return the outcome of one item with an answer of a few hundred bytes."""
    line = result_line(job_id, number, f"item-{number}", 200, orjson.loads(ANSWER))
    return ItemOutcome(number, 1, 200, line, 1)


def make_settings():
    """Return the settings that hosts have by default."""
    return types.SimpleNamespace(
        batch=messages.BatchSettings(),
        log=messages.LogSettings(shards=SHARDS),
    )


async def measure_recovery(idempotent, lost):
    """Return the time from a host's death to the first claim of its chunks."""
    clock, log = FakeClock(), MemoryLog()
    fleet = Fleet(log, clock, make_settings())
    for number in range(SHARDS):
        add_job(log.store, number, 3200, idempotent)
    engine = Engine(clock)
    for number in range(3):
        fleet.hosts.append(BenchHost(fleet, number, engine, 8))
    await clock.advance(2.0)
    victim, died_at = fleet.hosts[lost], clock.now_s
    owned = victim.shards.owned()
    keys = set(victim.worker.holdings._chunks_by_key)
    fleet.dead[victim.host_id] = died_at + messages.MembershipSettings().dead_after_s
    await victim.stop()
    died_at = clock.now_s
    taken_at = {}
    for _ in range(int(60 / STEP_S)):
        await clock.advance(STEP_S)
        for host in fleet.hosts:
            if host is not victim:
                for key in keys & host.worker.holdings._chunks_by_key.keys():
                    taken_at.setdefault(key, clock.now_s - died_at)
        if taken_at.keys() == keys:
            break
    for host in fleet.hosts:
        if host is not victim:
            await host.stop()
    return {
        "owned_shards": len(owned),
        "chunks": len(keys),
        "taken": len(taken_at),
        "first_s": round(min(taken_at.values()), 2),
        "last_s": round(max(taken_at.values()), 2),
    }


async def measure_appends(seconds=30):
    """Return appends for each item at the target rate through nine hosts."""
    clock, log = FakeClock(), MemoryLog()
    fleet = Fleet(log, clock, make_settings())
    slots = round(ITEMS_PER_S * ITEM_S / HOSTS)
    total = ITEMS_PER_S * (seconds + 5)
    for number in range(20):
        add_job(log.store, number, total // 20)
    engine = Engine(clock)
    for number in range(HOSTS):
        fleet.hosts.append(BenchHost(fleet, number, engine, slots))
    started = time.perf_counter()
    for _ in range(int(seconds / STEP_S)):
        await clock.advance(STEP_S)
    items = engine.runs
    result = {
        "items": items,
        "items_per_s": round(items / seconds, 1),
        "appends": log.appends,
        "appends_per_item": round(log.appends / items, 4),
        "appends_per_s": round(log.appends / seconds, 1),
        "wall_s": round(time.perf_counter() - started, 1),
    }
    for host in fleet.hosts:
        await host.stop()
    return result


def fill(store, jobs, items):
    """Append jobs with claims and outcomes of three quarters of the items."""
    for number in range(jobs):
        created = add_job(store, number, items // jobs)
        stream = work_stream(number % SHARDS)
        for chunk, ref in enumerate(created.chunks):
            if chunk % 4 == 3:
                continue
            claim = ChunkClaim(created.job_id, chunk, "h", "1", 15000, -1)
            append(store, stream, [claim])
            numbers = range(ref.first_item, ref.first_item + ref.item_count)
            found = [outcome(created.job_id, item) for item in numbers]
            append(store, stream, [Outcomes(created.job_id, chunk, -1, found, 1)])


async def measure_restart(log, clock):
    """Return the time and memory that reading all shards takes."""
    gc.collect()
    tracemalloc.start()
    started = time.perf_counter()
    shards = Shards(log, clock, messages.LogSettings(shards=SHARDS), "fresh")
    states = [await shards.view(shard) for shard in range(SHARDS)]
    traced_s = time.perf_counter() - started
    current, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    again = Shards(log, clock, messages.LogSettings(shards=SHARDS), "fresh")
    started = time.perf_counter()
    for shard in range(SHARDS):
        await again.view(shard)
    return {
        "jobs": sum(len(state.jobs_by_id) for state in states),
        "items": sum(
            job.created.item_count
            for state in states
            for job in state.jobs_by_id.values()
        ),
        "replay_s": round(time.perf_counter() - started, 2),
        "replay_traced_s": round(traced_s, 2),
        "state_mb": round(current / 1e6, 1),
        "peak_mb": round(peak / 1e6, 1),
    }


async def measure_replay(jobs=100, items=380_000):
    """Return the cost of a restart without and with snapshots."""
    clock, log = FakeClock(), MemoryLog()
    fill(log.store, jobs, items)
    without = await measure_restart(log, clock)
    settings = messages.LogSettings(shards=SHARDS)
    shards = Shards(log, clock, settings, "keeper")
    keeper = ShardKeeper(shards, log, clock, settings)
    for shard in range(SHARDS):
        await keeper.keep(shard)
    return {
        "without_snapshot": without,
        "with_snapshot": await measure_restart(log, clock),
    }


async def main():
    """Measure everything and print one JSON object."""
    result = {
        "seed": SEED,
        "recovery": {
            "idempotent": await measure_recovery(True, 2),
            "idempotent_other_lost": await measure_recovery(True, 1),
            "idempotent_third_lost": await measure_recovery(True, 0),
            "intents": await measure_recovery(False, 2),
            "intents_other_lost": await measure_recovery(False, 1),
            "intents_third_lost": await measure_recovery(False, 0),
            "lease_s": messages.BatchSettings().lease_ms / 1000,
        },
        "appends": await measure_appends(),
        "restart": await measure_replay(),
    }
    sys.stdout.write(orjson.dumps(result, option=orjson.OPT_INDENT_2).decode() + "\n")


if __name__ == "__main__":
    asyncio.run(main())
