"""Rules for time marks and for copies of bodies within the log."""

from galenascale.generated.messages import Position, RecordKind
from galenascale.ledger.results import conflict, valid

# Milliseconds by which a mark may advance the time. A mark further ahead is
# rejected, so that one host with a wrong clock cannot expire everything. After
# a longer outage the current time is reached in steps.
MAX_TIME_MARK_STEP_MS = 24 * 3600 * 1000


def time_mark(state, position, raw_body, mark):
    """Advance the time; end the jobs due and remove what has expired."""
    if mark.at_ms <= state.time_ms:
        return conflict("time has passed the mark")
    if state.time_ms and mark.at_ms > state.time_ms + MAX_TIME_MARK_STEP_MS:
        return conflict("mark is too far ahead")
    state.time_ms = mark.at_ms
    for job in state.jobs_by_id.values():
        due = job.created.due_ms
        if due and due <= mark.at_ms and not job.ended:
            job.due_passed = True
            job.ended_ms = mark.at_ms
            job.claims_by_chunk.clear()
    _remove_expired(state, mark.at_ms)
    return valid("")


def _remove_expired(state, at_ms):
    for job_id, job in list(state.jobs_by_id.items()):
        if _is_expired(job.created.expires_ms, at_ms):
            del state.jobs_by_id[job_id]
            state.job_ids_by_key.pop((job.created.tenant, job.created.key_digest), None)
    for file_id, entry in list(state.files_by_id.items()):
        if _is_expired(entry.created.expires_ms, at_ms):
            del state.files_by_id[file_id]
    for call_id, entry in list(state.calls_by_id.items()):
        if _is_expired(entry.intent.expires_ms, at_ms):
            del state.calls_by_id[call_id]
    for fingerprint, (_, verdict) in list(state.poison_by_fingerprint.items()):
        if _is_expired(verdict.expires_ms, at_ms):
            del state.poison_by_fingerprint[fingerprint]


def _is_expired(expires_ms, at_ms):
    return bool(expires_ms) and expires_ms <= at_ms


def carried(state, position, raw_body, record):
    """Move a body's position to its copy; the entity itself is unchanged."""
    current = record.current
    if record.body:
        current = Position(position.stream, position.offset, position.index)
    if record.kind == RecordKind.CALL_OUTCOME:
        return _move_call_outcome(state, record, current)
    for positions in _position_lists(state, record):
        if record.original in positions:
            positions[positions.index(record.original)] = current
            return valid(record.entity_id)
    return conflict("body is not in use at that position")


def _move_call_outcome(state, record, current):
    entry = state.calls_by_id.get(record.entity_id)
    if entry is None or entry.outcome_position != record.original:
        return conflict("body is not in use at that position")
    entry.outcome_position = current
    return valid(record.entity_id)


def _position_lists(state, record):
    job = state.jobs_by_id.get(record.entity_id)
    if record.kind == RecordKind.OUTCOMES:
        return [job.outcome_positions] if job else []
    if record.kind != RecordKind.DATA_CHUNK:
        return []
    entry = job or state.files_by_id.get(record.entity_id)
    return [entry.chunk_positions] if entry else []
