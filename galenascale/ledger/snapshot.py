"""Conversion of the state of a shard to and from ShardSnapshot messages.

Jobs, files, call intents, claims and poison verdicts keep the raw bytes of
their records, which preserves the fields that a newer release added.
"""

import array
import sys

from galenascale import codec
from galenascale.generated import messages
from galenascale.ledger.state import (
    NO_OUTCOME,
    CallEntry,
    Claim,
    FileEntry,
    JobEntry,
    ShardState,
    Verdict,
    VerdictStatus,
)


def to_snapshot(state):
    """Return the ShardSnapshot message of a ShardState."""
    return messages.ShardSnapshot(
        through_offset=state.through_offset,
        files=[
            messages.FileState(
                entry.raw_body, entry.offset, list(entry.chunk_positions)
            )
            for entry in state.files_by_id.values()
        ],
        jobs=[_job_message(job) for job in state.jobs_by_id.values()],
        calls=[_call_message(entry) for entry in state.calls_by_id.values()],
        server_leases=[
            messages.ServerLeaseState(claim.raw_body, claim.offset)
            for claim in state.leases_by_server.values()
        ],
        poison_verdicts=[
            raw_body for raw_body, _ in state.poison_by_fingerprint.values()
        ],
        unknown_records=list(state.unknown_records),
        recent_verdicts=[
            messages.VerdictMessage(
                verdict.record_id,
                verdict.offset,
                verdict.index,
                verdict.status.value,
                verdict.reason,
                verdict.entity_id,
            )
            for verdict in state.recent_verdicts.values()
        ],
        time_ms=state.time_ms,
    )


def _job_message(job):
    return messages.JobState(
        created=job.raw_body,
        offset=job.offset,
        cancelled=job.cancelled,
        due_passed=job.due_passed,
        ended_ms=job.ended_ms,
        claims=[
            messages.ClaimState(chunk, claim.raw_body, claim.offset)
            for chunk, claim in job.claims_by_chunk.items()
        ],
        intents=[
            messages.IntentState(item, claim_offset)
            for item, claim_offset in job.intents_by_item.items()
        ],
        outcome_positions=list(job.outcome_positions),
        statuses=bytes(job.statuses),
        winners=_little_endian(job.outcome_indexes).tobytes(),
        chunk_positions=list(job.chunk_positions),
    )


def _little_endian(values):
    if sys.byteorder == "little":
        return values
    swapped = array.array("i", values)
    swapped.byteswap()
    return swapped


def _call_message(entry):
    position = entry.outcome_position
    return messages.CallState(
        entry.raw_body, entry.offset, entry.status, position or messages.Position()
    )


def from_snapshot(snapshot):
    """Return the ShardState of a ShardSnapshot message."""
    state = ShardState(snapshot.through_offset, snapshot.time_ms)
    for item in snapshot.files:
        created = codec.decode(messages.FileCreated, item.created)
        state.files_by_id[created.file_id] = FileEntry(
            item.created, item.offset, created, list(item.chunk_positions)
        )
    for item in snapshot.jobs:
        _restore_job(state, item)
    for item in snapshot.calls:
        _restore_call(state, item)
    for item in snapshot.server_leases:
        record = codec.decode(messages.ServerClaim, item.claim)
        state.leases_by_server[record.server_id] = _restore_claim(item, record)
    for raw_body in snapshot.poison_verdicts:
        verdict = codec.decode(messages.PoisonVerdict, raw_body)
        state.poison_by_fingerprint[verdict.fingerprint] = (raw_body, verdict)
    state.unknown_records = list(snapshot.unknown_records)
    for item in snapshot.recent_verdicts:
        state.recent_verdicts[item.record_id] = Verdict(
            item.record_id,
            item.offset,
            item.index,
            VerdictStatus(item.status),
            item.reason,
            item.entity_id,
        )
    return state


def _restore_claim(item, record):
    return Claim(
        item.claim, item.offset, record.holder, record.incarnation, record.lease_ms
    )


def _restore_job(state, item):
    created = codec.decode(messages.JobCreated, item.created)
    job = JobEntry.from_created(item.created, item.offset, created)
    job.cancelled = item.cancelled
    job.due_passed = item.due_passed
    job.ended_ms = item.ended_ms
    job.statuses = bytearray(item.statuses)
    outcome_indexes = array.array("i")
    outcome_indexes.frombytes(item.winners)
    job.outcome_indexes = _little_endian(outcome_indexes)
    job.outcome_positions = list(item.outcome_positions)
    job.chunk_positions = list(item.chunk_positions)
    job.intents_by_item = {intent.item: intent.claim_offset for intent in item.intents}
    for claim in item.claims:
        record = codec.decode(messages.ChunkClaim, claim.claim)
        job.claims_by_chunk[claim.chunk] = _restore_claim(claim, record)
    job.open_items = job.statuses.count(NO_OUTCOME)
    job.open_by_chunk = [
        len(job.open_items_of(chunk)) for chunk in range(len(created.chunks))
    ]
    state.jobs_by_id[created.job_id] = job
    if created.key_digest:
        state.job_ids_by_key[created.tenant, created.key_digest] = created.job_id


def _restore_call(state, item):
    intent = codec.decode(messages.CallIntent, item.intent)
    position = item.outcome_position if item.status else None
    state.calls_by_id[intent.call_id] = CallEntry(
        item.intent, item.offset, intent, item.status, position
    )
