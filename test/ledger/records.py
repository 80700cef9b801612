"""Helpers that build log records for tests."""

import itertools

from galenascale import codec
from galenascale.generated import messages
from galenascale.generated.messages import LogRecord, RecordKind

KINDS_BY_TYPE = {
    messages.FileCreated: RecordKind.FILE_CREATED,
    messages.JobCreated: RecordKind.JOB_CREATED,
    messages.JobCancelled: RecordKind.JOB_CANCELLED,
    messages.TimeMark: RecordKind.TIME_MARK,
    messages.ChunkClaim: RecordKind.CHUNK_CLAIM,
    messages.ChunkRelease: RecordKind.CHUNK_RELEASE,
    messages.Outcomes: RecordKind.OUTCOMES,
    messages.ItemIntent: RecordKind.ITEM_INTENT,
    messages.CallIntent: RecordKind.CALL_INTENT,
    messages.CallOutcome: RecordKind.CALL_OUTCOME,
    messages.ServerClaim: RecordKind.SERVER_CLAIM,
    messages.ServerOrder: RecordKind.SERVER_ORDER,
    messages.PoisonVerdict: RecordKind.POISON_VERDICT,
    messages.Carried: RecordKind.CARRIED,
}

_ids = itertools.count()


def record(message, record_id=None):
    """Return a LogRecord of a message, by default with a new id."""
    kind = KINDS_BY_TYPE[type(message)]
    return LogRecord(record_id or f"r{next(_ids)}", kind, 1, codec.encode(message))


def job(job_id="job", chunks=(2, 2), **kwargs):
    """Return a JobCreated with chunks of the given item counts."""
    refs, first = [], 0
    for number, count in enumerate(chunks):
        position = messages.Position("data.0", number, 0)
        refs.append(messages.ChunkRef(position, first, count))
        first += count
    values = {"tenant": "t", "body_digest": "b", **kwargs}
    return messages.JobCreated(job_id=job_id, chunks=refs, item_count=first, **values)


def outcome(item, status=messages.OutcomeStatus.SUCCEEDED, body=b""):
    """Return an ItemOutcome."""
    return messages.ItemOutcome(item=item, status=status, body=body)
