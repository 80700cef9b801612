"""
Results and jobs that are larger than a record of the store.

Guards the results of all other jobs of a host against one record that the
store refuses, and readers against a part of a long one.
"""

import asyncio
import random
import types

import pytest

from galenascale.codec import decode
from galenascale.errors import DecodeError
from galenascale.gateway.jobs.partitions import JOBS_TOPIC, Partition
from galenascale.gateway.jobs.pieces import (
    BODIES_TOPIC,
    PieceRange,
    encode_pointer,
    find_pieces,
)
from galenascale.gateway.jobs.recorder import OutcomeRecorder
from galenascale.gateway.jobs.records import encode_record
from galenascale.gateway.jobs.state import PartitionState
from galenascale.generated.gateway_messages import (
    ItemOutcome,
    ItemState,
    Job,
    JobItem,
    JobOutcomes,
    JobRecord,
    JobRecordKind,
)
from galenascale.hashing import shard_of
from galenascale.store import StoreRefused, StoreUnavailable
from test.gateway.fleet import gateway_fleet
from test.gateway.test_jobs import (
    TOKENS,
    make_job,
    output_of,
    submit,
    wait_for_results,
)

# Largest record in bytes, in the tests with a whole fleet.
RECORD_BYTES = 2000
LONG_EVENTS = 3000


def limit_records(fleet):
    """Lower the largest record of the store and of all hosts."""
    fleet.store.limit_records(RECORD_BYTES)
    for host in fleet.hosts:
        host.context.settings.store.record_bytes = RECORD_BYTES


async def test_result_larger_than_a_record_is_listed_and_keeps_none_back():
    """It was appended for ever, and no other result of its host after it."""
    async with gateway_fleet(hosts=2) as fleet:
        limit_records(fleet)
        for runner in fleet.runners_of("llm"):
            runner.behaviour.events = LONG_EVENTS
            runner.behaviour.event_interval_s = 0.0
        tokens = {"X-Galenascale-Model": "m", "X-Galenascale-Token-Usage": "9,9000"}
        reply = await fleet.request(
            "/jobs/x", request_id="long", data=make_job(1, headers=tokens)
        )
        assert reply.status == 202
        (result,) = await wait_for_results(fleet, "long", 1, host=1)
        for runner in fleet.runners_of("llm"):
            runner.behaviour.events = 5
        assert await submit(fleet, "short") == 202
        for host in (1, 2):
            assert len(await wait_for_results(fleet, "short", 3, host=host)) == 3
            (again,) = await wait_for_results(fleet, "long", 1, host=host)
            assert again == result
        assert result["Text"] == output_of(LONG_EVENTS)


async def test_job_larger_than_a_record_is_accepted_and_run():
    """A job within the limits was refused as if the store were away."""
    async with gateway_fleet(hosts=2) as fleet:
        limit_records(fleet)
        headers = TOKENS | {f"X-{number}": f"{number**9}" for number in range(300)}
        reply = await fleet.request(
            "/jobs/x", request_id="large", data=make_job(2, headers=headers)
        )
        assert reply.status == 202
        results = await wait_for_results(fleet, "large", 2, host=2)
        assert [result["State"] for result in results] == ["completed"] * 2
        requests = [request for runner in fleet.runners for request in runner.requests]
        assert {request.header("X-299") for request in requests} == {f"{299**9}"}


class MemoryStore:
    """Store of job topics in memory; `refuse` is asked for each append."""

    def __init__(self, refuse=lambda topic, records: None):
        self.records_by_log = {}
        self._refuse = refuse
        self._rng = random.Random(7)

    async def append(self, topic, partition, records, *, expected_offset=None):
        """Append records, or raise what `refuse` returns."""
        for _ in range(self._rng.randrange(1, 6)):
            await asyncio.sleep(0)
        error = self._refuse(topic, records)
        if error is not None:
            raise error
        log = self.records_by_log.setdefault((topic, partition), [])
        log.extend(records)
        return len(log) - len(records)

    async def read(self, topic, partition, offset, *, wait_s=0.0, max_kb=1024):
        """Return two records at most from an offset on."""
        await asyncio.sleep(0)
        log = self.records_by_log.get((topic, partition), [])
        records = list(enumerate(log[offset : offset + 2], offset))
        return types.SimpleNamespace(records=records, next_offset=len(log))


def make_context(store):
    """Return what partitions and recorders use of a host's context."""
    clock = types.SimpleNamespace(monotonic=lambda: 5.0, wall_ms=lambda: 5000)
    lines = []
    return types.SimpleNamespace(
        job_store=store,
        clock=clock,
        lines=lines,
        log=types.SimpleNamespace(write=lambda *args, **_: lines.append(args[0])),
        quotas=types.SimpleNamespace(release=lambda *_: None),
        settings=types.SimpleNamespace(
            store=types.SimpleNamespace(record_bytes=RECORD_BYTES, call_bytes=6000),
            bounds=types.SimpleNamespace(job_retention_s=100.0),
        ),
    )


class Partitions:
    """Partitions of jobs; jobs whose ids begin alike share one."""

    def __init__(self, context):
        self._context = context
        self.by_number = {}

    def for_job(self, job_id):
        """Return the partition of a job."""
        number = ord(job_id[0])
        if number not in self.by_number:
            self.by_number[number] = Partition(
                self._context, JOBS_TOPIC, number, PartitionState()
            )
        return self.by_number[number]


def incompressible(size):
    """Return bytes that stay as long when they are compressed."""
    return b"".join(shard_of(str(n), 1 << 30).to_bytes(4) for n in range(size // 4))


async def write_job(partitions, job_id):
    """Write the record of a job of one item."""
    partition = partitions.for_job(job_id)
    job = Job(items=[JobItem(item_id="i")])
    await partition.append(await partition.prepare(JobRecordKind.JOB, job_id, job))


async def read_outcomes(partitions, job_id):
    """Return the outcomes of a job in the store."""
    partition = Partition(
        partitions._context, JOBS_TOPIC, ord(job_id[0]), PartitionState()
    )
    await partition.refresh()
    return partition.state.jobs_by_id[job_id].outcomes


@pytest.mark.parametrize("size", [0, 100, 1900, 2000, 4000, 50_000])
async def test_outcome_of_any_size_comes_back_whole(size):
    """Guards the limit between one record and several."""
    context = make_context(MemoryStore())
    partitions = Partitions(context)
    await write_job(partitions, "j")
    recorder = OutcomeRecorder(context, partitions)
    text = incompressible(size)
    recorder.add("j", 0, ItemState.COMPLETED, text)
    await recorder.flush()
    records = context.job_store.records_by_log
    assert all(
        len(record) <= RECORD_BYTES for log in records.values() for record in log
    )
    (outcome,) = await read_outcomes(partitions, "j")
    assert outcome.text == text


async def test_part_of_a_long_result_is_never_listed():
    """A host may end between the pieces and the record that names them."""
    context = make_context(MemoryStore())
    partitions = Partitions(context)
    await write_job(partitions, "j")
    context.job_store._refuse = lambda topic, _: (
        StoreUnavailable("away") if topic == JOBS_TOPIC else None
    )
    recorder = OutcomeRecorder(context, partitions)
    recorder.add("j", 0, ItemState.COMPLETED, incompressible(9000))
    with pytest.raises(StoreUnavailable):
        await recorder.flush()
    assert len(context.job_store.records_by_log[BODIES_TOPIC, ord("j")]) > 1
    assert await read_outcomes(partitions, "j") == []
    context.job_store._refuse = lambda *_: None
    await recorder.flush()
    assert len(await read_outcomes(partitions, "j")) == 1


def refuse_job(job_id, error):
    """Return a function that refuses the outcomes of one job."""

    def refuse(_, records):
        for record in records:
            decoded = decode(JobRecord, record)
            if decoded.job_id == job_id and decoded.kind == JobRecordKind.OUTCOMES:
                return error
        return None

    return refuse


@pytest.mark.parametrize(
    ("job_ids", "error"),
    [
        # One partition; the refusal concerns the job alone.
        (("ja", "jb", "jc"), StoreRefused("status 413")),
        # Three partitions, one of which does not answer.
        (("a", "b", "c"), StoreUnavailable("away")),
    ],
)
async def test_job_whose_outcomes_are_not_written_keeps_no_other_back(job_ids, error):
    """The first failure ended the round, in the same order each time."""
    context = make_context(MemoryStore())
    partitions = Partitions(context)
    for job_id in job_ids:
        await write_job(partitions, job_id)
    context.job_store._refuse = refuse_job(job_ids[0], error)
    recorder = OutcomeRecorder(context, partitions)
    for job_id in job_ids:
        recorder.add(job_id, 0, ItemState.COMPLETED, b"text")
    with pytest.raises(type(error)):
        await recorder.flush()
    counts = [len(await read_outcomes(partitions, job_id)) for job_id in job_ids]
    assert counts == [0, 1, 1]


async def test_flushes_at_once_neither_fail_nor_lose_an_outcome():
    """A stopping host flushes while its recorder does."""
    context = make_context(MemoryStore())
    partitions = Partitions(context)
    recorder = OutcomeRecorder(context, partitions)
    job_ids = [f"j{number}" for number in range(20)]
    for job_id in job_ids:
        await write_job(partitions, job_id)
        recorder.add(job_id, 0, ItemState.COMPLETED, b"text")

    async def flush_later(steps):
        for _ in range(steps):
            await asyncio.sleep(0)
        await recorder.flush()

    await asyncio.gather(*map(flush_later, range(8)))
    for job_id in job_ids:
        assert len(await read_outcomes(partitions, job_id)) == 1


@pytest.mark.parametrize(
    "pieces",
    [
        PieceRange(0, 1, 10),
        PieceRange(7, 3, 10),
        PieceRange(-5, 3, -10),
        PieceRange(0, -1, 10),
        PieceRange(0, 1 << 30, 1 << 30),
    ],
)
async def test_record_that_names_no_pieces_holds_nobody_up(pieces):
    """The records after it would never be read."""
    context = make_context(MemoryStore())
    partitions = Partitions(context)
    await write_job(partitions, "j")
    partition = partitions.for_job("j")
    await partition.append(encode_pointer(JobRecordKind.OUTCOMES, "j", pieces))
    outcomes = JobOutcomes([ItemOutcome(0, int(ItemState.COMPLETED), b"text")])
    await partition.append(encode_record(JobRecordKind.OUTCOMES, "j", outcomes))
    (outcome,) = await read_outcomes(partitions, "j")
    assert outcome.text == b"text"
    assert "job_record_broken" in context.lines


def test_bytes_that_are_no_record_name_no_pieces():
    """Corrupt records are reported where they are applied."""
    assert find_pieces(b"\xff\xff") is None
    with pytest.raises(DecodeError):
        PartitionState().apply(b"\xff\xff")
