"""
Records of any size, and records that cannot be read.

Guards jobs against a record that one host writes and no host reads: all hosts
stood still at it, for all jobs of its partition.
"""

import aiohttp
import pytest

from galenascale.codec import encode
from galenascale.gateway.jobs.open_items import OpenItem
from galenascale.gateway.jobs.partitions import JOBS_TOPIC, Partition
from galenascale.gateway.jobs.recorder import OutcomeRecorder
from galenascale.gateway.jobs.relaying_store import answer_store_call
from galenascale.gateway.jobs.state import PartitionState
from galenascale.gateway.store_sizes import (
    MAX_CALL_BYTES,
    MAX_PROGRESS_BYTES,
    MAX_READ_BYTES,
)
from galenascale.generated.gateway_messages import (
    ItemOutcome,
    ItemState,
    Job,
    JobItem,
    JobOutcomes,
    JobRecordKind,
    StoreCall,
)
from galenascale.platform.store import StoreClient
from test.gateway.test_long_records import (
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
