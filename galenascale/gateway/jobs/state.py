"""Jobs of a partition, computed from its records in the order of the log.

Every host computes the same state from the same records: the first record of a
job, the first outcome of an item and the last claim of a job are valid. The
position of a result is the index of its outcome in the order of the log.
"""

import attrs

from galenascale.codec import decode
from galenascale.errors import DecodeError
from galenascale.gateway.jobs.records import decode_body
from galenascale.gateway.jobs.stored_items import StoredItem, pack_items
from galenascale.generated.gateway_messages import (
    ItemState,
    Job,
    JobClaim,
    JobOutcomes,
    JobProgress,
    JobRecord,
    JobRecordKind,
)

# Newest version of the record schema that is understood.
SCHEMA_VERSION = 2


@attrs.define
class JobState:
    """One job with everything recorded about it."""

    job_id: str
    # The job without its items.
    job: Job
    items: tuple[StoredItem, ...]
    runner: str
    runner_started_ms: int
    # Outcomes in the order of the positions of their results.
    outcomes: list = attrs.field(factory=list)
    outcomes_by_index: dict = attrs.field(factory=dict)
    progress_by_index: dict = attrs.field(factory=dict)
    # Whether the caller has cancelled the job.
    cancelled: bool = False

    @property
    def total(self):
        """Return the number of items."""
        return len(self.items)

    def open_tokens(self, finished=()):
        """
        Return the sum of the tokens of the unfinished items.

        `finished` are indexes of items whose outcomes have been written, but
        not read back yet.
        """
        if self.cancelled:
            return 0
        return sum(
            item.tokens
            for index, item in enumerate(self.items)
            if index not in self.outcomes_by_index and index not in finished
        )

    @property
    def finished(self):
        """Return True if every item has an outcome."""
        return len(self.outcomes) == self.total

    def is_run_by(self, host_id, started_ms):
        """Return True if a host process with this start time runs the job."""
        return self.runner == host_id and self.runner_started_ms == started_ms

    def open_indexes(self):
        """Return the indexes of the items that have no outcome."""
        return [
            index for index in range(self.total) if index not in self.outcomes_by_index
        ]

    def index_of(self, item_id):
        """Return the index of an item, or None if the job has no such item."""
        for index, item in enumerate(self.items):
            if item.item_id == item_id:
                return index
        return None


class PartitionState:
    """The jobs of one partition."""

    def __init__(self):
        self.jobs_by_id = {}

    def apply(self, data):
        """
        Apply the bytes of one record.

        Records of a newer schema are ignored. Raise DecodeError, with the
        state unchanged, for bytes that are no record.
        """
        record = decode(JobRecord, data)
        if record.schema_version > SCHEMA_VERSION:
            return
        state = self.jobs_by_id.get(record.job_id)
        if record.kind == JobRecordKind.JOB:
            if state is None:
                self._add(record)
        elif state is not None and record.kind in _APPLY_BY_KIND:
            _APPLY_BY_KIND[record.kind](state, record.body)

    def _add(self, record):
        job = decode_body(Job, record.body)
        if not job.items:
            raise DecodeError("job has no items", step="apply")
        items = pack_items(job.items)
        job.items = []
        self.jobs_by_id[record.job_id] = JobState(
            record.job_id, job, items, job.runner, job.runner_started_ms
        )

    def drop_older(self, accepted_before_ms):
        """Drop closed jobs that were accepted before a wall time in ms."""
        for job_id, state in list(self.jobs_by_id.items()):
            closed = state.cancelled or state.finished
            if closed and state.job.accepted_ms < accepted_before_ms:
                del self.jobs_by_id[job_id]


def _apply_claim(state, body):
    claim = decode_body(JobClaim, body)
    state.runner = claim.runner
    state.runner_started_ms = claim.runner_started_ms


def _apply_outcomes(state, body):
    for outcome in decode_body(JobOutcomes, body).outcomes:
        valid = 0 <= outcome.index < state.total
        known = outcome.state in (ItemState.COMPLETED, ItemState.GIVEN_UP)
        if valid and known and outcome.index not in state.outcomes_by_index:
            state.outcomes_by_index[outcome.index] = outcome
            state.outcomes.append(outcome)
            state.items[outcome.index].drop_headers()
            state.progress_by_index.pop(outcome.index, None)


def _apply_progress(state, body):
    for progress in decode_body(JobProgress, body).items:
        if progress.index in state.outcomes_by_index:
            continue
        known = state.progress_by_index.get(progress.index)
        if known is None or known.last_event_id < progress.last_event_id:
            state.progress_by_index[progress.index] = progress


def _apply_cancellation(state, _):
    state.cancelled = True


_APPLY_BY_KIND = {
    JobRecordKind.CLAIM: _apply_claim,
    JobRecordKind.OUTCOMES: _apply_outcomes,
    JobRecordKind.PROGRESS: _apply_progress,
    JobRecordKind.ENDED: _apply_cancellation,
}
