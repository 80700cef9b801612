"""State of a quota after records in any order, with lost hosts."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from galenascale.codec import encode
from galenascale.errors import DecodeError
from galenascale.gateway.jobs.quota_reconciler import (
    RELEASE_DELAY_S,
    RESERVATION_TTL_S,
    QuotaReconciler,
)
from galenascale.gateway.jobs.quota_state import QuotaState
from galenascale.gateway.jobs.state import JobState
from galenascale.generated.gateway_messages import (
    Job,
    JobItem,
    QuotaRecord,
    QuotaRecordKind,
)

ROUTE = "jobs"
LIMIT = 100
KINDS = [kind.value for kind in QuotaRecordKind]


def make_record(kind, job_id, tokens, **fields):
    """Return the bytes of a record of the route."""
    values = {"route": ROUTE, "limit": LIMIT, "config_version": 1, **fields}
    record = QuotaRecord(kind=int(kind), job_id=job_id, tokens=tokens, **values)
    return encode(record)


def apply_all(records):
    """Return the state after applying records."""
    state = QuotaState(ROUTE)
    for record in records:
        state.apply(record)
    return state


@attrs.frozen
class Case:
    """Records in the order of the log, and the open tokens after them."""

    name: str
    records: list
    open_tokens: dict


RESERVE, COUNT, RELEASE = QuotaRecordKind


@pytest.mark.parametrize(
    "case",
    [
        Case("fits", [make_record(RESERVE, "a", 60)], {"a": 60}),
        Case(
            "does not fit after the first",
            [make_record(RESERVE, "a", 60), make_record(RESERVE, "b", 41)],
            {"a": 60},
        ),
        Case(
            "the same job twice",
            [make_record(RESERVE, "a", 60), make_record(RESERVE, "a", 60)],
            {"a": 60},
        ),
        Case(
            "fits after a release",
            [
                make_record(RESERVE, "a", 60),
                make_record(RELEASE, "a", 50),
                make_record(RESERVE, "b", 50),
            ],
            {"a": 50, "b": 50},
        ),
        Case(
            "releases out of order",
            [
                make_record(RESERVE, "a", 60),
                make_record(RELEASE, "a", 10),
                make_record(RELEASE, "a", 50),
            ],
            {"a": 10},
        ),
        Case("no limit", [make_record(RESERVE, "a", 500, limit=0)], {"a": 500}),
        Case(
            "a lowered limit takes nothing back",
            [
                make_record(RESERVE, "a", 90),
                make_record(RESERVE, "b", 5, limit=10, config_version=2),
            ],
            {"a": 90},
        ),
        Case(
            "a host with an older configuration",
            [
                make_record(RESERVE, "a", 5, limit=10, config_version=2),
                make_record(RESERVE, "b", 50),
            ],
            {"a": 5},
        ),
        Case(
            "counted beyond the limit",
            [make_record(COUNT, "a", 500), make_record(RESERVE, "b", 1)],
            {"a": 500},
        ),
        Case("another route", [make_record(RESERVE, "a", 5, route="x")], {}),
        Case("newer schema", [make_record(COUNT, "a", 5, schema_version=9)], {}),
        Case("unknown job", [make_record(RELEASE, "a", 5)], {}),
        Case("negative", [make_record(RESERVE, "a", -5)], {}),
    ],
    ids=lambda case: case.name,
)
def test_records_are_applied_in_the_order_of_the_log(case):
    """Guards the limit against the differing knowledge of hosts."""
    state = apply_all(case.records)
    open_tokens = {job_id: job.tokens for job_id, job in state.open_jobs_by_id.items()}
    assert open_tokens == case.open_tokens
    assert state.total == sum(case.open_tokens.values())


@given(
    st.lists(
        st.tuples(
            st.sampled_from(KINDS),
            st.sampled_from("abcd"),
            st.integers(0, 150),
            st.integers(0, 3),
        ),
        max_size=30,
    )
)
def test_sum_is_right_and_reservations_stay_within_the_limit(steps):
    """Guards the sum and the limit in any order of records."""
    state = QuotaState(ROUTE)
    for kind, job_id, tokens, version in steps:
        before = state.total
        state.apply(make_record(kind, job_id, tokens, config_version=version))
        assert state.total == sum(job.tokens for job in state.open_jobs_by_id.values())
        if kind == RESERVE and state.total > before:
            assert state.total <= state.limit


@given(st.binary(max_size=60))
def test_bytes_that_are_no_record_change_nothing(data):
    """Guards the quota against a corrupt record."""
    state = apply_all([make_record(RESERVE, "a", 60)])
    try:
        state.apply(data)
    except DecodeError:
        assert state.total == 60


@pytest.mark.parametrize(
    ("tokens", "released_ms", "expected_s"),
    [(70, 20_000, 4.0), (40, 20_000, 0.0), (101, 20_000, None), (70, 1000, None)],
)
def test_wait_for_free_tokens_is_estimated_from_releases(
    tokens, released_ms, expected_s
):
    """Guards callers against retries that are too early or too late."""
    state = apply_all(
        [
            make_record(RESERVE, "a", 100),
            make_record(RELEASE, "a", 50, written_ms=released_ms),
        ]
    )
    assert state.estimated_wait_s(tokens, LIMIT, 20_000) == expected_s


class FleetQuotaMachine(RuleBasedStateMachine):
    """
    Jobs of several hosts, any of which may be lost between two records.

    The true open tokens are those of the jobs in the store. No host may accept
    a job beyond the limit, and after reconciliation the quota must count
    exactly the true open tokens.
    """

    reserved = Bundle("reserved")
    stored = Bundle("stored")

    def __init__(self):
        super().__init__()
        self.quota = QuotaState(ROUTE)
        self.jobs_by_id = {}
        self.reconciler = QuotaReconciler()
        self.now = 0.0
        self.job_count = 0

    def true_total(self):
        """Return the open tokens of the jobs that are in the store."""
        return sum(job.open_tokens() for job in self.jobs_by_id.values())

    @rule(target=reserved, tokens=st.lists(st.integers(1, 40), min_size=1, max_size=3))
    def reserve(self, tokens):
        """A host reserves tokens; it may be lost before it stores the job."""
        self.job_count += 1
        job_id = f"job-{self.job_count}"
        self.quota.apply(make_record(RESERVE, job_id, sum(tokens)))
        return job_id, tokens

    @rule(target=stored, job=consumes(reserved))
    def store(self, job):
        """The host stores the job if its reservation fits and is valid."""
        job_id, tokens = job
        if job_id in self.quota.open_jobs_by_id:
            items = [JobItem(tokens=count) for count in tokens]
            self.jobs_by_id[job_id] = JobState.from_job(job_id, Job(items=items))
            assert self.true_total() <= LIMIT
        return job_id

    @rule(job_id=stored, released=st.booleans())
    def finish_item(self, job_id, released):
        """An item ends; its host may be lost before it releases tokens."""
        state = self.jobs_by_id.get(job_id)
        if state is None or not state.open_indexes():
            return
        state.outcomes_by_index[state.open_indexes()[0]] = object()
        if released:
            self.quota.apply(make_record(RELEASE, job_id, state.open_tokens()))

    @rule(job_id=stored, released=st.booleans())
    def cancel(self, job_id, released):
        """A caller cancels a job."""
        state = self.jobs_by_id.get(job_id)
        if state is None:
            return
        state.cancelled = True
        if released:
            self.quota.apply(make_record(RELEASE, job_id, 0))

    @rule(
        seconds=st.sampled_from([0.1, RELEASE_DELAY_S + 0.1, RESERVATION_TTL_S + 0.1])
    )
    def reconcile(self, seconds):
        """A host reconciles the quota with the jobs after some seconds."""
        self.now += seconds
        self.apply_corrections()

    def apply_corrections(self):
        """Append the corrections that are due now."""
        corrections = self.reconciler.corrections(
            self.quota.open_jobs_by_id, self.jobs_by_id, lambda _: True, self.now
        )
        for item in corrections:
            self.quota.apply(make_record(item.kind, item.job_id, item.tokens))

    @invariant()
    def counts_all_open_tokens(self):
        """More may be counted for a while; less would exceed the limit."""
        assert self.quota.total >= self.true_total()

    def teardown(self):
        """Reconcile often enough for all differences to be corrected."""
        for _ in range(3):
            self.now += RESERVATION_TTL_S + 0.1
            self.apply_corrections()
        assert self.quota.total == self.true_total()


TestFleetQuota = FleetQuotaMachine.TestCase
TestFleetQuota.settings = settings(max_examples=150, deadline=None)
