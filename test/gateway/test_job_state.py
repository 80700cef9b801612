"""State of jobs computed from records, and reasons to give items up."""

import contextlib

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale.errors import DecodeError
from galenascale.gateway.jobs.item_runs import MAX_CLOCK_SKEW_MS, give_up_reason
from galenascale.gateway.jobs.records import (
    compress,
    decompress,
    encode_record,
    split_bytes,
)
from galenascale.gateway.jobs.state import PartitionState
from galenascale.generated.gateway_messages import (
    ItemOutcome,
    ItemState,
    Job,
    JobClaim,
    JobItem,
    JobOutcomes,
    JobRecordKind,
)

ITEMS = 3


def job_record(runner="a"):
    """Return the record of a job."""
    items = [JobItem(item_id=f"i{number}") for number in range(ITEMS)]
    job = Job(items=items, runner=runner, accepted_ms=1000)
    return encode_record(JobRecordKind.JOB, "j", job)


def outcome_record(index, text):
    """Return the record of one outcome."""
    outcome = ItemOutcome(index=index, state=int(ItemState.COMPLETED), text=text)
    return encode_record(JobRecordKind.OUTCOMES, "j", JobOutcomes([outcome]))


def claim_record(runner):
    """Return the record of a claim by a host."""
    return encode_record(JobRecordKind.CLAIM, "j", JobClaim(runner))


def apply_all(records):
    """Return the state of the job after applying records."""
    state = PartitionState()
    for record in records:
        state.apply(record)
    return state.jobs_by_id.get("j")


@given(
    st.lists(
        st.tuples(st.integers(0, ITEMS - 1), st.binary(max_size=4)),
        max_size=12,
    )
)
def test_first_outcome_of_an_item_is_its_only_one(outcomes):
    """Guards positions of results if two hosts run the same item."""
    state = apply_all(
        [job_record(), *(outcome_record(*outcome) for outcome in outcomes)]
    )
    first = {}
    for index, text in outcomes:
        first.setdefault(index, text)
    assert [(o.index, o.text) for o in state.outcomes] == list(first.items())
    assert state.finished is (len(first) == ITEMS)


def test_first_job_and_last_claim_are_valid():
    """Guards jobs that are submitted or taken over more than once."""
    state = apply_all(
        [job_record("a"), job_record("b"), claim_record("c"), claim_record("d")]
    )
    assert (state.job.runner, state.runner) == ("a", "d")


@pytest.mark.parametrize("record", [outcome_record(7, b""), claim_record("x")])
def test_records_without_their_job_or_item_are_ignored(record):
    """Guards against records for jobs or items that do not exist."""
    assert apply_all([record]) is None
    assert apply_all([job_record(), outcome_record(7, b"")]).outcomes == []


@given(st.binary(max_size=80))
def test_corrupt_records_change_nothing(data):
    """Guards the jobs of a partition against a corrupt record."""
    state = PartitionState()
    state.apply(job_record())
    with contextlib.suppress(DecodeError):
        state.apply(data)
    assert list(state.jobs_by_id) == ["j"]


def test_unfinished_jobs_are_never_dropped():
    """Guards unfinished jobs against removal after the retention time."""
    state = PartitionState()
    state.apply(job_record())
    state.drop_older(10_000)
    assert list(state.jobs_by_id) == ["j"]
    state.apply(encode_record(JobRecordKind.ENDED, "j"))
    state.drop_older(10_000)
    assert not state.jobs_by_id


@given(st.binary(max_size=5000), st.integers(1, 700))
def test_bodies_survive_compression_and_splitting(data, size):
    """Guards bodies that are larger than one record of the store."""
    pieces = split_bytes(compress(data), size)
    assert all(len(piece) <= size for piece in pieces)
    assert decompress(b"".join(pieces)) == data


@attrs.frozen
class Case:
    """What a host knows about a job, and the expected reason."""

    has_route: bool
    config_version: int
    age_ms: int
    reason: str | None


@pytest.mark.parametrize(
    "case",
    [
        Case(True, 7, 60_000, None),
        Case(True, 7, 60_001 + MAX_CLOCK_SKEW_MS, "too old"),
        # This host may not have read the configuration that added the route.
        Case(False, 6, 0, None),
        # Jobs are accepted only with routes for all items.
        Case(False, 7, 0, "no route"),
        Case(False, 8, 0, "no route"),
    ],
    ids=str,
)
def test_items_are_given_up_only_when_their_time_or_route_is_over(case):
    """Guards items against an outdated configuration or a wrong clock."""
    job = Job(accepted_ms=1000, give_up_ms=60_000, config_version=7)
    route = object() if case.has_route else None
    now_ms = 1000 + case.age_ms
    assert give_up_reason(job, route, case.config_version, now_ms) == case.reason
