"""
Records of any size, and records that cannot be read.

Guards jobs against a record that one host writes and no host reads: all hosts
stood still at it, for all jobs of its partition.
"""

import aiohttp
import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from galenascale.codec import encode
from galenascale.gateway.jobs.open_items import OpenItem
from galenascale.gateway.jobs.partitions import JOBS_TOPIC, Partition
from galenascale.gateway.jobs.pieces import (
    BODIES_TOPIC,
    PiecesMissing,
    append_bytes,
    encode_pointer,
)
from galenascale.gateway.jobs.recorder import OutcomeRecorder
from galenascale.gateway.jobs.records import encode_body, encode_record
from galenascale.gateway.jobs.relaying_store import answer_store_call
from galenascale.gateway.jobs.state import PartitionState
from galenascale.gateway.jobs.unread_records import (
    MAX_TRIES,
    RETRY_INTERVAL_S,
    Verdict,
    decide,
)
from galenascale.gateway.store_sizes import (
    MAX_CALL_BYTES,
    MAX_PROGRESS_BODY_BYTES,
    MAX_PROGRESS_BYTES,
    MAX_READ_BYTES,
)
from galenascale.generated.gateway_messages import (
    ItemOutcome,
    ItemProgress,
    ItemState,
    Job,
    JobItem,
    JobOutcomes,
    JobProgress,
    JobRecordKind,
    StoreCall,
)
from galenascale.platform.store import StoreClient
from galenascale.store import PartitionTrimmed, StoreUnavailable
from test.gateway.test_long_records import (
    RECORD_BYTES,
    MemoryStore,
    Partitions,
    incompressible,
    make_context,
)

KB = 1 << 10
MB = 1 << 20
# Sizes of the stand-in for the store.
STORE_RECORD_BYTES = 256 * KB
STORE_CALL_BYTES = 2 * MB


class MeasuredStore:
    """The real client, which also measures each call as a relayed one."""

    def __init__(self, client):
        self._client = client
        self.largest_call = 0
        self.largest_answer = 0

    async def append(self, topic, partition, records, *, expected_offset=None):
        """Append records."""
        call = StoreCall(topic=topic, partition=partition, records=list(records))
        self.largest_call = max(self.largest_call, len(encode(call)))
        return await self._client.append(
            topic, partition, records, expected_offset=expected_offset
        )

    async def read(self, topic, partition, offset, *, wait_s=0.0, max_kb=1024):
        """Read records."""
        call = StoreCall(
            topic=topic, partition=partition, read_from=offset, max_kb=max_kb
        )
        answer = await answer_store_call(self._client, encode(call))
        self.largest_answer = max(self.largest_answer, len(answer.body))
        return await self._client.read(topic, partition, offset, max_kb=max_kb)


@pytest.fixture
async def context(store):
    """Yield a context whose jobs are in the stand-in store."""
    async with aiohttp.ClientSession() as session:
        client = StoreClient(f"http://{store.address}", session)
        context = make_context(MeasuredStore(client))
        context.settings.store.record_bytes = STORE_RECORD_BYTES
        context.settings.store.call_bytes = STORE_CALL_BYTES
        yield context


async def write_job(partitions, job_id, items):
    """Write the record of a job."""
    partition = partitions.for_job(job_id)
    job = Job(items=[JobItem(item_id=f"i{number}") for number in range(items)])
    await partition.append(await partition.prepare(JobRecordKind.JOB, job_id, job))


async def read_state(context, job_id):
    """Return the state of a job as another host reads it."""
    partition = Partition(context, JOBS_TOPIC, ord(job_id[0]), PartitionState())
    await partition.refresh()
    return partition.state.jobs_by_id[job_id]


def make_open_items(state, size):
    """Return the items of a job, each with output of a size."""
    items = []
    for index in range(state.total):
        item = OpenItem(state, index, event_data=[incompressible(size)])
        item.held_bytes = size
        item.last_event_id = 9
        items.append(item)
    return items


@pytest.mark.parametrize(
    ("count", "size", "is_recorded"),
    [
        pytest.param(72, 92 * KB, True, id="case 11"),
        pytest.param(3, 2 * MB, True, id="few long ones"),
        pytest.param(1, MAX_PROGRESS_BYTES, True, id="the largest"),
        pytest.param(2, MAX_PROGRESS_BYTES + 4, False, id="larger"),
        pytest.param(200, 40, True, id="short ones"),
    ],
)
async def test_unfinished_output_of_any_size_is_read_by_all(
    context, count, size, is_recorded
):
    """A stop recorded more than 4 MB, and no host read past it any more."""
    partitions = Partitions(context)
    await write_job(partitions, "j", count)
    recorder = OutcomeRecorder(context, partitions)
    items = make_open_items(await read_state(context, "j"), size)
    await recorder.record_progress("j", items)
    recorder.add("j", 0, ItemState.COMPLETED, b"text")
    await recorder.flush()
    state = await read_state(context, "j")
    assert [outcome.text for outcome in state.outcomes] == [b"text"]
    assert len(state.progress_by_index) == (count - 1 if is_recorded else 0)
    assert all(len(each.text) == size for each in state.progress_by_index.values())
    assert context.job_store.largest_call <= MAX_CALL_BYTES
    assert context.job_store.largest_answer <= MAX_READ_BYTES


@pytest.mark.parametrize(
    "size", [0, STORE_RECORD_BYTES, MB, MAX_READ_BYTES + 4, 9 * MB]
)
async def test_outcome_of_any_size_is_read_by_all(context, size):
    """Pages set no length for an output; one above 4 MB stopped all hosts."""
    partitions = Partitions(context)
    await write_job(partitions, "j", 2)
    recorder = OutcomeRecorder(context, partitions)
    recorder.add("j", 0, ItemState.COMPLETED, incompressible(size))
    recorder.add("j", 1, ItemState.COMPLETED, b"text")
    await recorder.flush()
    state = await read_state(context, "j")
    assert [len(outcome.text) for outcome in state.outcomes] == [size, 4]
    assert context.job_store.largest_call <= MAX_CALL_BYTES
    assert context.job_store.largest_answer <= MAX_READ_BYTES


@pytest.mark.parametrize("record_bytes", [STORE_RECORD_BYTES, MB, 8 * MB])
async def test_store_with_larger_records_gets_none_that_hosts_cannot_relay(
    store, context, record_bytes
):
    """Guards hosts that are cut off from a store that allows large records."""
    store.limit_records(record_bytes)
    context.settings.store.record_bytes = record_bytes
    partitions = Partitions(context)
    partition = partitions.for_job("j")
    outcomes = JobOutcomes([ItemOutcome(0, 1, incompressible(3 * MB))])
    record = await partition.prepare(JobRecordKind.OUTCOMES, "j", outcomes)
    assert len(record) <= MAX_CALL_BYTES
    assert context.job_store.largest_call <= MAX_CALL_BYTES


async def test_progress_that_an_earlier_build_left_is_passed(context):
    """Guards an upgrade: the store keeps such records for minutes."""
    partitions = Partitions(context)
    await write_job(partitions, "j", 2)
    partition = partitions.for_job("j")
    text = incompressible(2 * MAX_PROGRESS_BODY_BYTES)
    body = encode_body(JobProgress([ItemProgress(0, 9, text)]))
    pieces = await append_bytes(context, partition.number, body)
    await partition.append(encode_pointer(JobRecordKind.PROGRESS, "j", pieces))
    outcomes = JobOutcomes([ItemOutcome(1, int(ItemState.COMPLETED), b"text")])
    await partition.append(encode_record(JobRecordKind.OUTCOMES, "j", outcomes))
    state = await read_state(context, "j")
    assert len(state.outcomes) == 1
    assert not state.progress_by_index


AWAY = StoreUnavailable("away")


@pytest.mark.parametrize(
    ("kind", "error", "tries", "verdict"),
    [
        # What does not exist any more is not waited for.
        (JobRecordKind.OUTCOMES, PiecesMissing("none"), 1, Verdict.SKIP),
        (JobRecordKind.JOB, PartitionTrimmed(7), 1, Verdict.SKIP),
        # A store that is away is.
        (JobRecordKind.PROGRESS, AWAY, MAX_TRIES - 1, Verdict.RETRY),
        (JobRecordKind.OUTCOMES, AWAY, MAX_TRIES - 1, Verdict.RETRY),
        # Progress is not owed; all else is, but holds up its job alone.
        (JobRecordKind.PROGRESS, AWAY, MAX_TRIES, Verdict.SKIP),
        (JobRecordKind.OUTCOMES, AWAY, MAX_TRIES, Verdict.SET_ASIDE),
        (JobRecordKind.JOB, AWAY, MAX_TRIES, Verdict.SET_ASIDE),
        (None, AWAY, MAX_TRIES, Verdict.SET_ASIDE),
    ],
)
def test_verdict_on_a_record(kind, error, tries, verdict):
    """Guards outcomes against being skipped, and jobs against one record."""
    assert decide(kind, error, tries) is verdict


class PartlyReadableStore(MemoryStore):
    """Store that does not return some records, or none at all."""

    def __init__(self):
        super().__init__()
        self.unreadable = set()
        self.is_away = False

    async def read(self, topic, partition, offset, **kwargs):
        """Return records from an offset on, unless they are unreadable."""
        if self.is_away or (topic == BODIES_TOPIC and offset in self.unreadable):
            raise AWAY
        return await super().read(topic, partition, offset, **kwargs)


@attrs.frozen
class Written:
    """A record to write: of which job, how long, and whether it is read."""

    job: int
    kind: str
    long: bool
    readable: bool


written = st.builds(
    Written,
    job=st.integers(0, 2),
    kind=st.sampled_from(["progress", "outcome"]),
    long=st.booleans(),
    readable=st.booleans(),
)


async def write(context, partitions, entry, index):
    """Write a record; return True if it has a body that is not returned."""
    partition = partitions.for_job("j")
    size = 2 * RECORD_BYTES if entry.long else 8
    if entry.kind == "progress":
        kind = JobRecordKind.PROGRESS
        message = JobProgress([ItemProgress(index, 5, incompressible(size))])
    else:
        kind = JobRecordKind.OUTCOMES
        message = JobOutcomes([ItemOutcome(index, 1, incompressible(size))])
    store = context.job_store
    log = store.records_by_log.setdefault((BODIES_TOPIC, partition.number), [])
    first = len(log)
    await partition.append(await partition.prepare(kind, f"j{entry.job}", message))
    if len(log) == first or entry.readable:
        return False
    store.unreadable.add(first)
    return True


async def read_all(partition, clock, rounds):
    """Read a partition again and again."""
    for _ in range(rounds):
        clock.now += RETRY_INTERVAL_S
        try:
            await partition.poll(0.0)
        except StoreUnavailable:
            continue


@attrs.define
class Clock:
    """Clock that tests set."""

    now: float = 5.0

    def monotonic(self):
        """Return the time in seconds."""
        return self.now

    def wall_ms(self):
        """Return the time in milliseconds."""
        return 5000


@given(entries=st.lists(written, min_size=1, max_size=12), away=st.integers(0, 9))
@settings(max_examples=60, deadline=None)
async def test_unreadable_bodies_hold_up_their_own_jobs_alone(entries, away):
    """
    Guards all jobs of a partition, whatever a store does not return.

    Once it returns everything, the state is that of a host that read it all,
    but for progress that was given up.
    """
    context = make_context(PartlyReadableStore())
    context.clock = clock = Clock()
    partitions = Partitions(context)
    for job in range(3):
        await write_job(partitions, f"j{job}", 12)
    late_jobs = set()
    expected = {f"j{job}": [] for job in range(3)}
    for index, entry in enumerate(entries):
        job_id = f"j{entry.job}"
        unreadable = await write(context, partitions, entry, index)
        if unreadable and entry.kind == "outcome":
            late_jobs.add(job_id)
        if entry.kind == "outcome":
            expected[job_id].append(index)
    partition = Partition(context, JOBS_TOPIC, ord("j"), PartitionState())
    context.job_store.is_away = True
    await read_all(partition, clock, away)
    assert partition.position == 0
    context.job_store.is_away = False
    await read_all(partition, clock, (MAX_TRIES + 1) * (len(entries) + 3) + 9)

    def outcomes(job_id):
        return [each.index for each in partition.state.jobs_by_id[job_id].outcomes]

    for job_id in expected.keys() - late_jobs:
        assert outcomes(job_id) == expected[job_id]
        assert not partition.is_unsure_of(job_id)
    for job_id in late_jobs:
        assert partition.is_unsure_of(job_id)
    context.job_store.unreadable.clear()
    await read_all(partition, clock, 2)
    for job_id in expected:
        assert outcomes(job_id) == expected[job_id]
        assert not partition.is_unsure_of(job_id)


async def test_progress_set_aside_keeps_no_outcome_back():
    """Its job waited for it for as long as the store did not return it."""
    context = make_context(PartlyReadableStore())
    context.clock = clock = Clock()
    partitions = Partitions(context)
    await write_job(partitions, "j0", 3)
    entries = [
        Written(0, "outcome", long=True, readable=False),
        Written(0, "progress", long=True, readable=False),
        Written(0, "outcome", long=False, readable=True),
    ]
    for index, entry in enumerate(entries):
        await write(context, partitions, entry, index)
    partition = Partition(context, JOBS_TOPIC, ord("j"), PartitionState())
    await read_all(partition, clock, 2 * MAX_TRIES)
    assert partition.is_unsure_of("j0")
    context.job_store.unreadable.remove(min(context.job_store.unreadable))
    await read_all(partition, clock, 2)
    outcomes = partition.state.jobs_by_id["j0"].outcomes
    assert [outcome.index for outcome in outcomes] == [0, 2]
    assert not partition.is_unsure_of("j0")
