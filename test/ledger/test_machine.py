"""The ledger under duplicated, delayed and racing records."""

import copy

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from galenascale import ledger
from galenascale.generated import messages
from galenascale.generated.messages import OutcomeStatus
from galenascale.ledger.state import VerdictStatus
from test.ledger.records import job, outcome, record

JOBS = ("idempotent", "once")
CHUNKS = st.integers(0, 1)
ITEMS = st.integers(0, 3)
HOLDERS = st.sampled_from(["a", "b", "c"])
JOB_IDS = st.sampled_from(JOBS)
STATUSES = st.sampled_from(list(OutcomeStatus))


class LedgerMachine(RuleBasedStateMachine):
    """Guards the ledger's invariants; hosts append with outdated claims."""

    def __init__(self):
        super().__init__()
        self.state = ledger.ShardState()
        self.log = []
        self.claim_offsets = [-1]
        self.first_outcomes = {}
        self.final_statuses_by_job = {}
        self.valid_intents = {}
        self.snapshot = None

    def append(self, message, original=None):
        """Append a record and apply it; return the verdict."""
        item = original or record(message)
        offset = len(self.log)
        self.log.append(item)
        verdict = ledger.apply(self.state, "work.0", offset, 0, item)
        self.state.through_offset = offset
        return verdict

    @rule(job_id=JOB_IDS, digest=st.sampled_from(["b", "other"]))
    def create(self, job_id, digest):
        """A repeated submission returns the first job or conflicts."""
        existing = self.state.jobs_by_id.get(job_id)
        verdict = self.append(
            job(
                job_id,
                key_digest=job_id,
                body_digest=digest,
                idempotent=job_id == "idempotent",
                due_ms=5000,
            )
        )
        if existing is None:
            assert verdict.valid
        elif existing.created.body_digest == digest:
            assert verdict.status == VerdictStatus.DUPLICATE
            assert verdict.entity_id == job_id
        else:
            assert verdict.status == VerdictStatus.CONFLICT

    @rule(job_id=JOB_IDS, chunk=CHUNKS, holder=HOLDERS, data=st.data())
    def claim(self, job_id, chunk, holder, data):
        """Only a claim that names the current one replaces it."""
        supersedes = data.draw(st.sampled_from(self.claim_offsets))
        entry = self.state.jobs_by_id.get(job_id)
        current = entry.claims_by_chunk.get(chunk) if entry else None
        verdict = self.append(
            messages.ChunkClaim(job_id, chunk, holder, "i", 1000, supersedes)
        )
        if verdict.valid:
            assert supersedes == (current.offset if current else -1)
            assert current is None or verdict.offset > current.offset
            self.claim_offsets.append(verdict.offset)

    @rule(job_id=JOB_IDS, chunk=CHUNKS, data=st.data())
    def release(self, job_id, chunk, data):
        """A host releases a claim that may be outdated."""
        offset = data.draw(st.sampled_from(self.claim_offsets))
        self.append(messages.ChunkRelease(job_id, chunk, offset))

    @rule(job_id=JOB_IDS, item=ITEMS, data=st.data())
    def intent(self, job_id, item, data):
        """At most one intent of each item is valid."""
        offset = data.draw(st.sampled_from(self.claim_offsets))
        message = messages.ItemIntent(job_id, item // 2, offset, [item])
        if self.append(message).valid:
            assert (job_id, item) not in self.valid_intents
            self.valid_intents[job_id, item] = offset

    @rule(
        job_id=JOB_IDS,
        chunk=CHUNKS,
        items=st.lists(st.tuples(ITEMS, STATUSES), min_size=1, max_size=4),
        data=st.data(),
    )
    def report(self, job_id, chunk, items, data):
        """Any holder reports outcomes, also one whose lease has expired."""
        offset = data.draw(st.sampled_from(self.claim_offsets))
        before = copy.deepcopy(self.state.jobs_by_id.get(job_id))
        self.append(
            messages.Outcomes(
                job_id, chunk, offset, [outcome(*pair) for pair in items], 7
            )
        )
        if before is None:
            return
        after = self.state.jobs_by_id[job_id]
        for item in range(4):
            if after.statuses[item] == before.statuses[item]:
                continue
            assert not before.ended
            assert (job_id, item) not in self.first_outcomes
            self.first_outcomes[job_id, item] = after.statuses[item]
            self.check_dispatch(before, item, offset, after.statuses[item])

    def check_dispatch(self, job_before, item, claim_offset, status):
        """A result of a non-idempotent item comes from its one dispatch."""
        if job_before.created.idempotent or status in (
            OutcomeStatus.NOT_RUN,
            OutcomeStatus.FAILED,
            OutcomeStatus.EXPIRED,
            OutcomeStatus.MAY_HAVE_RUN,
        ):
            return
        assert job_before.intents_by_item[item] == claim_offset

    @rule(job_id=JOB_IDS, tenant=st.sampled_from(["t", "other"]))
    def cancel(self, job_id, tenant):
        """Only the owning tenant cancels a job, and only an open one."""
        entry = self.state.jobs_by_id.get(job_id)
        was_open = entry is not None and not entry.ended
        verdict = self.append(messages.JobCancelled(job_id, tenant, 3))
        assert verdict.valid == (was_open and tenant == "t")

    @rule(at_ms=st.sampled_from([1000, 4000, 5000, 6000]))
    def mark_time(self, at_ms):
        """Hosts with different clocks append time marks."""
        before = self.state.time_ms
        verdict = self.append(messages.TimeMark(at_ms))
        assert verdict.valid == (at_ms > before)

    @rule(data=st.data())
    def duplicate_record(self, data):
        """A second copy of any record changes nothing."""
        if not self.log:
            return
        original = data.draw(st.sampled_from(self.log))
        before = ledger.to_snapshot(self.state)
        self.append(None, original)
        after = ledger.to_snapshot(self.state)
        after.through_offset = before.through_offset
        assert after == before

    @rule()
    def take_snapshot(self):
        """Take a snapshot, which restored_state_agrees restores."""
        self.snapshot = ledger.to_snapshot(self.state)

    @invariant()
    def restored_state_agrees(self):
        """A host that starts from a snapshot reaches the same state."""
        if self.snapshot is None:
            return
        state = ledger.from_snapshot(self.snapshot)
        for offset in range(state.through_offset + 1, len(self.log)):
            ledger.apply(state, "work.0", offset, 0, self.log[offset])
            state.through_offset = offset
        assert ledger.to_snapshot(state) == ledger.to_snapshot(self.state)

    @invariant()
    def ended_jobs_do_not_change(self):
        """No outcome and no claim is recorded after the end of a job."""
        for job_id, entry in self.state.jobs_by_id.items():
            if not entry.ended:
                continue
            assert not entry.claims_by_chunk
            statuses = [entry.final_status(item) for item in range(4)]
            assert None not in statuses
            assert self.final_statuses_by_job.setdefault(job_id, statuses) == statuses

    @invariant()
    def counts_agree(self):
        """Counters and outcome indexes agree with the statuses."""
        for entry in self.state.jobs_by_id.values():
            assert entry.open_items == entry.statuses.count(0)
            assert entry.open_items == sum(entry.open_by_chunk)
            for item, index in enumerate(entry.outcome_indexes):
                assert (index >= 0) == bool(entry.statuses[item])


TestLedgerMachine = LedgerMachine.TestCase
