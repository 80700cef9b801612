"""Jobs of a partition, computed from its records in the order of the log.

Every host computes the same state from the same records: the first record of a
job, the first outcome of an item and the last claim of a job are valid. The
position of a result is the index of its outcome in the order of the log.
"""

import array

import attrs

from galenascale.codec import decode
from galenascale.errors import DecodeError
from galenascale.gateway.jobs.records import decode_body
from galenascale.gateway.jobs.stored_items import StoredItem, pack_items, packed_size
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


# Memory in bytes of a JobState without items and results, and of each outcome
# beside its text.
STATE_BYTES = 2048
OUTCOME_BYTES = 160


@attrs.define
class Outcome:
    """The outcome of an item."""

    index: int
    state: int
    # Data of the result; None if it is not loaded.
    text: bytes | None = attrs.field(repr=False)
    # Offset of its record.
    offset: int


@attrs.define(eq=False)
class JobState:
    """One job with everything recorded about it."""

    job_id: str
    # The job without its items.
    job: Job
    # Tokens by index of the item.
    tokens: array.array
    # Its StoredItems; None if they are not loaded.
    items: tuple[StoredItem, ...] | None
    runner: str
    runner_started_ms: int
    # Offset of its record.
    offset: int = 0
    # Outcomes in the order of the positions of their results.
    outcomes: list = attrs.field(factory=list)
    outcomes_by_index: dict = attrs.field(factory=dict)
    progress_by_index: dict = attrs.field(factory=dict)
    # Whether the caller has cancelled the job.
    cancelled: bool = False
    # Size in bytes of the items when they are loaded, and of all texts.
    items_bytes: int = 0
    text_bytes: int = 0

    @classmethod
    def from_job(cls, job_id, job, offset=0):
        """Return the state of a Job."""
        items = pack_items(job.items)
        return cls(
            job_id,
            attrs.evolve(job, items=[]),
            array.array("q", [item.tokens for item in items]),
            items,
            job.runner,
            job.runner_started_ms,
            offset,
            items_bytes=packed_size(items),
        )

    @property
    def total(self):
        """Return the number of items."""
        return len(self.tokens)

    def open_tokens(self, finished=()):
        """
        Return the sum of the tokens of the unfinished items.

        `finished` are indexes of items whose outcomes have been written, but
        not read back yet.
        """
        if self.cancelled:
            return 0
        return sum(
            tokens
            for index, tokens in enumerate(self.tokens)
            if index not in self.outcomes_by_index and index not in finished
        )

    @property
    def finished(self):
        """Return True if every item has an outcome."""
        return len(self.outcomes) == self.total

    @property
    def is_open(self):
        """Return True if items of the job are still to be run."""
        return not self.cancelled and not self.finished

    @property
    def open_count(self):
        """Return the number of items without an outcome."""
        return self.total - len(self.outcomes)

    def is_run_by(self, host_id, started_ms):
        """Return True if a host process with this start time runs the job."""
        return self.runner == host_id and self.runner_started_ms == started_ms

    def open_indexes(self):
        """Return the indexes of the items that have no outcome."""
        return [
            index for index in range(self.total) if index not in self.outcomes_by_index
        ]

    # Memory.

    @property
    def is_loaded(self):
        """Return True if items or texts of results are in memory."""
        return self.items is not None or self.text_bytes > 0

    def size(self):
        """Return the memory that the state takes, in bytes."""
        size = STATE_BYTES + len(self.outcomes) * OUTCOME_BYTES + self.text_bytes
        if self.items is not None:
            size += self.items_bytes
        return size

    def loaded_size(self):
        """Return the memory that the state takes with its items, in bytes."""
        return self.size() + (self.items_bytes if self.items is None else 0)

    def load(self, items):
        """Set the StoredItems, read again from the job's record."""
        self.items = items
        for index in self.outcomes_by_index:
            items[index].drop_headers()

    def unload(self):
        """Drop the items and the texts of the results."""
        self.items = None
        self.text_bytes = 0
        for outcome in self.outcomes:
            outcome.text = None

    def add_outcome(self, outcome, offset):
        """Add the ItemOutcome of an item that has none, from a record."""
        known = Outcome(outcome.index, outcome.state, outcome.text, offset)
        self.outcomes_by_index[outcome.index] = known
        self.outcomes.append(known)
        self.text_bytes += len(outcome.text)
        self.progress_by_index.pop(outcome.index, None)
        if self.items is not None:
            self.items[outcome.index].drop_headers()


class PartitionState:
    """The jobs of one partition."""

    def __init__(self, memory=None):
        self.jobs_by_id = {}
        # JobMemory of the host, or None.
        self._memory = memory

    def apply(self, data, offset=0):
        """
        Apply the bytes of the record at an offset.

        Records of a newer schema are ignored. Raise DecodeError, with the
        state unchanged, for bytes that are no record.
        """
        record = decode(JobRecord, data)
        if record.schema_version > SCHEMA_VERSION:
            return
        state = self.jobs_by_id.get(record.job_id)
        if record.kind == JobRecordKind.JOB:
            if state is not None:
                return
            state = self._add(record, offset)
        elif state is not None and record.kind in _APPLY_BY_KIND:
            _APPLY_BY_KIND[record.kind](state, record.body, offset)
        else:
            return
        if self._memory is not None:
            self._memory.update(state)

    def _add(self, record, offset):
        job = decode_body(Job, record.body)
        if not job.items:
            raise DecodeError("job has no items", step="apply")
        state = JobState.from_job(record.job_id, job, offset)
        self.jobs_by_id[record.job_id] = state
        return state

    def drop_older(self, accepted_before_ms):
        """Drop closed jobs that were accepted before a wall time in ms."""
        for job_id, state in list(self.jobs_by_id.items()):
            if not state.is_open and state.job.accepted_ms < accepted_before_ms:
                del self.jobs_by_id[job_id]
                if self._memory is not None:
                    self._memory.remove(state)


def _apply_claim(state, body, _):
    claim = decode_body(JobClaim, body)
    state.runner = claim.runner
    state.runner_started_ms = claim.runner_started_ms


def _apply_outcomes(state, body, offset):
    for outcome in decode_body(JobOutcomes, body).outcomes:
        valid = 0 <= outcome.index < state.total
        known = outcome.state in (ItemState.COMPLETED, ItemState.GIVEN_UP)
        if valid and known and outcome.index not in state.outcomes_by_index:
            state.add_outcome(outcome, offset)


def _apply_progress(state, body, _):
    for progress in decode_body(JobProgress, body).items:
        valid = 0 <= progress.index < state.total
        if not valid or progress.index in state.outcomes_by_index:
            continue
        known = state.progress_by_index.get(progress.index)
        if known is None or known.last_event_id < progress.last_event_id:
            state.progress_by_index[progress.index] = progress


def _apply_cancellation(state, *_):
    state.cancelled = True


_APPLY_BY_KIND = {
    JobRecordKind.CLAIM: _apply_claim,
    JobRecordKind.OUTCOMES: _apply_outcomes,
    JobRecordKind.PROGRESS: _apply_progress,
    JobRecordKind.ENDED: _apply_cancellation,
}
