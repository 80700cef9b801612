"""Rules for non-idempotent calls, leases on servers and poison verdicts."""

from galenascale.generated.messages import OutcomeStatus, Position
from galenascale.ledger.results import conflict, duplicate, valid
from galenascale.ledger.state import CallEntry, Claim


def call_intent(state, position, raw_body, intent):
    """Allow one dispatch; a later intent needs a NOT_RUN outcome."""
    if intent.expires_ms and intent.expires_ms <= state.time_ms:
        return conflict("call is past its expiry")
    entry = state.calls_by_id.get(intent.call_id)
    if entry is not None:
        if entry.intent.request_digest != intent.request_digest:
            return conflict("idempotency key was used with another body")
        if entry.status != OutcomeStatus.NOT_RUN:
            return duplicate(entity_id=intent.call_id)
    state.calls_by_id[intent.call_id] = CallEntry(raw_body, position.offset, intent)
    return valid(intent.call_id)


def call_outcome(state, position, raw_body, outcome):
    """Record the first outcome of the current intent."""
    entry = state.calls_by_id.get(outcome.call_id)
    if entry is None or entry.offset != outcome.intent_offset:
        return conflict("intent is not current")
    if entry.status:
        return conflict("call has an outcome", outcome.call_id)
    if outcome.status not in set(OutcomeStatus):
        return conflict("outcome status does not exist")
    entry.status = outcome.status
    entry.outcome_position = Position(position.stream, position.offset, position.index)
    return valid(outcome.call_id)


def server_claim(state, position, raw_body, claim):
    """
    Lease a backend server for orders; the offset fences earlier holders.

    The claim must name the current claim's offset, or -1 if there is none.
    """
    current = state.leases_by_server.get(claim.server_id)
    if claim.supersedes != (current.offset if current else -1):
        return conflict("another claim is current")
    state.leases_by_server[claim.server_id] = Claim(
        raw_body, position.offset, claim.holder, claim.incarnation, claim.lease_ms
    )
    return valid(claim.server_id)


def server_release(state, position, raw_body, release):
    """End the lease of a backend server before it expires."""
    current = state.leases_by_server.get(release.server_id)
    if current is None or current.offset != release.claim_offset:
        return conflict("claim is not current")
    del state.leases_by_server[release.server_id]
    return valid(release.server_id)


def server_order(state, position, raw_body, order):
    """Accept an order only under the current lease."""
    current = state.leases_by_server.get(order.server_id)
    if current is None or current.offset != order.claim_offset:
        return conflict("claim is not current")
    return valid(order.server_id)


def poison_verdict(state, position, raw_body, verdict):
    """Store a verdict on a content fingerprint; a contained one is final."""
    if verdict.expires_ms and verdict.expires_ms <= state.time_ms:
        return conflict("verdict is past its expiry")
    known = state.poison_by_fingerprint.get(verdict.fingerprint)
    if known is not None and known[1].contained:
        return duplicate(entity_id=verdict.fingerprint)
    state.poison_by_fingerprint[verdict.fingerprint] = (raw_body, verdict)
    return valid(verdict.fingerprint)
