"""Rules for files, jobs, chunk claims and item outcomes."""

from galenascale.generated.messages import OutcomeStatus, Position
from galenascale.ledger.results import conflict, duplicate, invalid, valid
from galenascale.ledger.state import Claim, FileEntry, JobEntry

# Outcomes of a non-idempotent item without an intent that the holder of the
# current claim may record.
STATUSES_WITHOUT_DISPATCH = frozenset(
    {OutcomeStatus.FAILED, OutcomeStatus.NOT_RUN, OutcomeStatus.EXPIRED}
)
KNOWN_STATUSES = frozenset(OutcomeStatus)


def file_created(state, position, raw_body, created):
    """Add a file; a later record with the same id is a duplicate."""
    if created.expires_ms and created.expires_ms <= state.time_ms:
        return conflict("file is past its expiry")
    if created.file_id in state.files_by_id:
        return duplicate(entity_id=created.file_id)
    positions = [chunk.position for chunk in created.chunks]
    state.files_by_id[created.file_id] = FileEntry(
        raw_body, position.offset, created, positions
    )
    return valid(created.file_id)


def file_deleted(state, position, raw_body, deleted):
    """Remove a file of the tenant; jobs keep their input positions."""
    entry = state.files_by_id.get(deleted.file_id)
    if entry is None or entry.created.tenant != deleted.tenant:
        return conflict("file does not exist")
    del state.files_by_id[deleted.file_id]
    return valid(deleted.file_id)


def job_created(state, position, raw_body, created):
    """Add a job; a repeated Idempotency-Key returns the first job's id."""
    if created.expires_ms and created.expires_ms <= state.time_ms:
        return conflict("job is past its expiry")
    key = (created.tenant, created.key_digest)
    if created.key_digest and key in state.job_ids_by_key:
        return _repeated_key(state, created, state.job_ids_by_key[key])
    if created.job_id in state.jobs_by_id:
        return duplicate(entity_id=created.job_id)
    if not _chunks_cover_items(created):
        return invalid("chunks do not cover the items")
    state.jobs_by_id[created.job_id] = JobEntry.from_created(
        raw_body, position.offset, created
    )
    if created.key_digest:
        state.job_ids_by_key[key] = created.job_id
    return valid(created.job_id)


def _repeated_key(state, created, first_id):
    first = state.jobs_by_id[first_id].created
    if first.body_digest == created.body_digest:
        return duplicate(entity_id=first_id)
    return conflict("idempotency key was used with another body", first_id)


def _chunks_cover_items(created):
    next_item = 0
    for chunk in created.chunks:
        if chunk.first_item != next_item or chunk.item_count <= 0:
            return False
        next_item += chunk.item_count
    return next_item == created.item_count


def job_cancelled(state, position, raw_body, cancelled):
    """Cancel a job of the tenant unless it has ended."""
    job = state.jobs_by_id.get(cancelled.job_id)
    if job is None or job.created.tenant != cancelled.tenant:
        return conflict("job does not exist")
    if job.cancelled:
        return duplicate(entity_id=cancelled.job_id)
    if job.ended:
        return conflict("job has ended", cancelled.job_id)
    job.cancelled = True
    job.ended_ms = cancelled.at_ms
    job.claims_by_chunk.clear()
    return valid(cancelled.job_id)


def chunk_claim(state, position, raw_body, claim):
    """
    Lease a chunk with an open item to a holder.

    The claim must name the current claim's offset, or -1 if there is none.
    """
    job = state.jobs_by_id.get(claim.job_id)
    if job is None or job.ended:
        return conflict("job is not open")
    if not 0 <= claim.chunk < len(job.open_by_chunk):
        return invalid("chunk does not exist")
    if not job.open_by_chunk[claim.chunk]:
        return conflict("chunk has no open item")
    current = job.claims_by_chunk.get(claim.chunk)
    if claim.supersedes != (current.offset if current else -1):
        return conflict("another claim is current")
    job.claims_by_chunk[claim.chunk] = Claim(
        raw_body, position.offset, claim.holder, claim.incarnation, claim.lease_ms
    )
    return valid(claim.job_id)


def chunk_release(state, position, raw_body, release):
    """End the claim of a chunk before its lease expires."""
    job = state.jobs_by_id.get(release.job_id)
    if not _is_current_claim(job, release.chunk, release.claim_offset):
        return conflict("claim is not current")
    del job.claims_by_chunk[release.chunk]
    return valid(release.job_id)


def _is_current_claim(job, chunk, claim_offset):
    claim = job.claims_by_chunk.get(chunk) if job else None
    return claim is not None and claim.offset == claim_offset


def item_intent(state, position, raw_body, intent):
    """Record the only dispatch of non-idempotent items, of all or none."""
    job = state.jobs_by_id.get(intent.job_id)
    if job is None or job.ended:
        return conflict("job is not open")
    if not _is_current_claim(job, intent.chunk, intent.claim_offset):
        return conflict("claim is not current")
    items = job.items_of(intent.chunk)
    for item in intent.items:
        if item not in items:
            return invalid("item is not in the chunk")
        if job.statuses[item] or item in job.intents_by_item:
            return conflict("item was dispatched before")
    for item in intent.items:
        job.intents_by_item[item] = intent.claim_offset
    return valid(intent.job_id)


def outcomes(state, position, raw_body, record):
    """Record the first outcome of each item; later ones are ignored."""
    job = state.jobs_by_id.get(record.job_id)
    if job is None:
        return conflict("job does not exist")
    if job.ended:
        return conflict("job is not open")
    if not 0 <= record.chunk < len(job.open_by_chunk):
        return invalid("chunk does not exist")
    items = job.items_of(record.chunk)
    accepted = [
        outcome
        for outcome in record.outcomes
        if outcome.item in items and _is_accepted(job, record, outcome)
    ]
    if not accepted:
        return conflict("no item takes this outcome")
    _record_outcomes(job, position, record, accepted)
    return valid(record.job_id)


def _is_accepted(job, record, outcome):
    if job.statuses[outcome.item] or outcome.status not in KNOWN_STATUSES:
        return False
    if job.created.idempotent:
        return True
    intent = job.intents_by_item.get(outcome.item)
    if intent is not None and intent == record.claim_offset:
        return True
    if not _is_current_claim(job, record.chunk, record.claim_offset):
        return False
    if intent is not None:
        return outcome.status == OutcomeStatus.MAY_HAVE_RUN
    return outcome.status in STATUSES_WITHOUT_DISPATCH


def _record_outcomes(job, position, record, accepted):
    outcome_index = len(job.outcome_positions)
    job.outcome_positions.append(
        Position(position.stream, position.offset, position.index)
    )
    for outcome in accepted:
        if job.statuses[outcome.item]:
            continue
        job.statuses[outcome.item] = outcome.status
        job.outcome_indexes[outcome.item] = outcome_index
        job.intents_by_item.pop(outcome.item, None)
        job.open_items -= 1
        job.open_by_chunk[record.chunk] -= 1
    if not job.open_by_chunk[record.chunk]:
        job.claims_by_chunk.pop(record.chunk, None)
    if not job.open_items:
        job.ended_ms = record.at_ms
