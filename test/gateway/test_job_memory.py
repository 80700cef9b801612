"""
Memory of accepted jobs on a host.

Guards a host against jobs that are small in the store and large as objects: it
would end, and end again after each start, as it reads the same jobs.
"""

import tracemalloc

import pytest

from galenascale.gateway.jobs.records import encode_record
from galenascale.gateway.jobs.state import PartitionState
from galenascale.generated.gateway_messages import (
    ItemOutcome,
    ItemState,
    Job,
    JobItem,
    JobOutcomes,
    JobRecordKind,
)

JOBS = 8
# Most items of a job, and as many short headers as one request may have.
ITEMS = 200
FIELDS = 220
# Memory of an item in bytes beside its headers.
MAX_ITEM_BYTES = 1024
# Memory of a header beside its text.
MAX_FIELD_BYTES = 8


def make_headers(item, *, shared):
    """Return short headers, which are the same for all items if `shared`."""
    mark = "" if shared else f"{item:02x}"
    return {f"X-{field:03x}{mark}": f"{field:x}" for field in range(FIELDS)}


def make_record(number, *, shared):
    """Return the record of a job."""
    items = [
        JobItem(
            item_id=f"job{number}item{item}",
            path="/jobs/run",
            headers=make_headers(item, shared=shared),
        )
        for item in range(ITEMS)
    ]
    return encode_record(JobRecordKind.JOB, f"job{number}", Job(items=items))


def finish_all(state):
    """Apply the outcomes of all items of all jobs."""
    outcomes = [
        ItemOutcome(index=index, state=int(ItemState.COMPLETED), text=b"")
        for index in range(ITEMS)
    ]
    for job_id in list(state.jobs_by_id):
        state.apply(
            encode_record(JobRecordKind.OUTCOMES, job_id, JobOutcomes(outcomes))
        )


@pytest.mark.parametrize(
    ("shared", "finished"), [(True, False), (False, False), (False, True)]
)
def test_job_takes_little_more_than_its_text(shared, finished):
    """Short headers took twenty times their text, also of finished items."""
    records = [make_record(number, shared=shared) for number in range(JOBS)]
    state = PartitionState()
    tracemalloc.start()
    try:
        for record in records:
            state.apply(record)
        if finished:
            finish_all(state)
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    fields = make_headers(0, shared=shared).items()
    text_bytes = sum(len(name) + len(value) + MAX_FIELD_BYTES for name, value in fields)
    copies = 0 if finished else 1 if shared else ITEMS
    assert held_bytes <= JOBS * (ITEMS * MAX_ITEM_BYTES + copies * text_bytes)


@pytest.mark.parametrize("headers", [{}, {"X-A": "1"}, {"X-É": "\x85ÿ"}])
def test_headers_of_an_item_come_back_as_they_were(headers):
    """Items run with the headers that the caller sent."""
    state = PartitionState()
    job = Job(items=[JobItem(item_id="a", headers=headers)])
    state.apply(encode_record(JobRecordKind.JOB, "j", job))
    assert state.jobs_by_id["j"].items[0].headers == headers
