"""
Records of jobs whose bodies cannot be read.

A body is in other records of the store than the one that names it. A store
that is away is waited for. A body that alone is not returned must not stop the
records of other jobs: progress is given up, as the items begin anew, and a job
whose other records are missing waits for them, while this host cannot be sure
of its state.
"""

import enum

import attrs

from galenascale.codec import decode
from galenascale.errors import DecodeError
from galenascale.gateway.jobs.pieces import PiecesMissing
from galenascale.gateway.store_sizes import MAX_PROGRESS_BODY_BYTES
from galenascale.generated.gateway_messages import JobRecord, JobRecordKind
from galenascale.store import PartitionTrimmed, StoreUnavailable

# Reads of a body that fail although the store returned the record before it,
# until that counts as a fault of the body.
MAX_TRIES = 4
# Seconds between two reads of a body that its job waits for.
RETRY_INTERVAL_S = 2.0


class Verdict(enum.Enum):
    """What becomes of a record whose body was not read."""

    # It is read again before those behind it.
    RETRY = "retry"
    # It is left out for ever.
    SKIP = "skip"
    # It and what follows of its job are read again later.
    SET_ASIDE = "set_aside"


def decide(kind, error, tries):
    """
    Return the Verdict on a record.

    `kind` is its JobRecordKind, `error` that of the last read and `tries` the
    number of reads that failed in a row.
    """
    if isinstance(error, (PartitionTrimmed, PiecesMissing)):
        return Verdict.SKIP
    if tries < MAX_TRIES:
        return Verdict.RETRY
    return Verdict.SKIP if kind == JobRecordKind.PROGRESS else Verdict.SET_ASIDE


def not_returned_error():
    """Return the error of calls about a job that waits for records."""
    return StoreUnavailable("records of the job are not returned")


def is_excess_progress(data, pieces):
    """
    Return True for a record with more progress than is worth the memory.

    `pieces` is the PieceRange of its body.
    """
    if pieces.size <= MAX_PROGRESS_BODY_BYTES:
        return False
    kind, _ = describe(data)
    return kind == JobRecordKind.PROGRESS


def describe(data):
    """Return (kind, job id) of a record, or (None, None) if it is corrupt."""
    try:
        record = decode(JobRecord, data)
    except DecodeError:
        return None, None
    return record.kind, record.job_id


@attrs.define
class UnreadRecords:
    """The records that a partition has read without their bodies."""

    # Offset of the record that failed last, and how often in a row.
    offset: int = -1
    tries: int = 0
    # (offset, bytes) of the records that jobs wait for, in order.
    records_by_job_id: dict = attrs.field(factory=dict)
    # Monotonic time in seconds of the next read while there are some.
    retry_at: float = 0.0

    def judge(self, offset, data, error):
        """Count a failed read of a record; return the Verdict on it."""
        self.tries = self.tries + 1 if offset == self.offset else 1
        self.offset = offset
        kind, _ = describe(data)
        return decide(kind, error, self.tries)

    def set_aside(self, offset, data, now):
        """Let the job of a record wait for it."""
        if not self.records_by_job_id:
            self.retry_at = now + RETRY_INTERVAL_S
        _, job_id = describe(data)
        self.records_by_job_id.setdefault(job_id, []).append((offset, data))

    def concerns(self, data):
        """Return True for a record of a job that waits for an earlier one."""
        if not self.records_by_job_id:
            return False
        _, job_id = describe(data)
        return job_id in self.records_by_job_id

    def take_due(self, now):
        """Return the ids of the jobs whose records are read again now."""
        if not self.records_by_job_id or now < self.retry_at:
            return []
        self.retry_at = now + RETRY_INTERVAL_S
        return list(self.records_by_job_id)

    def first(self, job_id):
        """Return (offset, bytes) of the first record of a job, or None."""
        records = self.records_by_job_id.get(job_id)
        return records[0] if records else None

    def remove_first(self, job_id):
        """Drop the first record of a job, which has been applied."""
        records = self.records_by_job_id[job_id]
        del records[0]
        if not records:
            del self.records_by_job_id[job_id]
