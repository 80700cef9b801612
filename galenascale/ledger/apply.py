"""Application of one log record to the state of a shard stream."""

import attrs

from galenascale import codec
from galenascale.errors import DecodeError
from galenascale.generated import messages
from galenascale.generated.messages import KeptRecord, RecordKind
from galenascale.ledger import calls, expiry, jobs
from galenascale.ledger.results import Result, invalid
from galenascale.ledger.state import Verdict, VerdictStatus

# Highest schema version of the records that this release applies.
READS_SCHEMA_VERSION = 1

# Number of verdicts kept to recognize second copies of records. Hosts repeat
# an append within seconds, and a shard gets a few dozen records a second.
# Snapshots hold all of them: hosts that kept different verdicts could judge a
# late copy differently.
MAX_RECENT_VERDICTS = 2_000

# Message type and rule of each record kind.
RULES = {
    RecordKind.FILE_CREATED: (messages.FileCreated, jobs.file_created),
    RecordKind.FILE_DELETED: (messages.FileDeleted, jobs.file_deleted),
    RecordKind.JOB_CREATED: (messages.JobCreated, jobs.job_created),
    RecordKind.JOB_CANCELLED: (messages.JobCancelled, jobs.job_cancelled),
    RecordKind.TIME_MARK: (messages.TimeMark, expiry.time_mark),
    RecordKind.CHUNK_CLAIM: (messages.ChunkClaim, jobs.chunk_claim),
    RecordKind.CHUNK_RELEASE: (messages.ChunkRelease, jobs.chunk_release),
    RecordKind.OUTCOMES: (messages.Outcomes, jobs.outcomes),
    RecordKind.ITEM_INTENT: (messages.ItemIntent, jobs.item_intent),
    RecordKind.CALL_INTENT: (messages.CallIntent, calls.call_intent),
    RecordKind.CALL_OUTCOME: (messages.CallOutcome, calls.call_outcome),
    RecordKind.SERVER_CLAIM: (messages.ServerClaim, calls.server_claim),
    RecordKind.SERVER_RELEASE: (messages.ServerRelease, calls.server_release),
    RecordKind.SERVER_ORDER: (messages.ServerOrder, calls.server_order),
    RecordKind.POISON_VERDICT: (messages.PoisonVerdict, calls.poison_verdict),
    RecordKind.CARRIED: (messages.Carried, expiry.carried),
}


@attrs.frozen
class RecordPosition:
    """Stream of a record, offset of its append and index in its batch."""

    stream: str
    offset: int
    index: int


def apply(state, stream, offset, index, record):
    """
    Apply the LogRecord at a position of the log and return its Verdict.

    A second copy of a record changes nothing and gets the verdict of the
    first. Records of unknown kinds or newer schema versions are stored
    unchanged.
    """
    if record.kind == RecordKind.SNAPSHOT_PART:
        return Verdict(record.record_id, offset, index, VerdictStatus.VALID)
    earlier = state.recent_verdicts.get(record.record_id)
    if earlier is not None:
        return earlier
    result = _apply_rule(state, RecordPosition(stream, offset, index), record)
    verdict = Verdict(
        record.record_id,
        offset,
        index,
        result.status,
        result.reason,
        result.entity_id,
    )
    _store_verdict(state, verdict)
    return verdict


def _apply_rule(state, position, record):
    rule = RULES.get(record.kind)
    if rule is None or record.schema_version > READS_SCHEMA_VERSION:
        state.unknown_records.append(
            KeptRecord(position.offset, position.index, record)
        )
        return Result(VerdictStatus.UNKNOWN_KIND, "kind or version is not known")
    message_type, function = rule
    try:
        message = codec.decode(message_type, record.body)
    except DecodeError:
        return invalid("body cannot be decoded")
    return function(state, position, record.body, message)


def _store_verdict(state, verdict):
    if not verdict.record_id:
        return
    state.recent_verdicts[verdict.record_id] = verdict
    if len(state.recent_verdicts) > MAX_RECENT_VERDICTS:
        state.recent_verdicts.pop(next(iter(state.recent_verdicts)))
