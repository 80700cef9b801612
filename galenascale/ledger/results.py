"""What the rules return: a status with a reason, without a position."""

import attrs

from galenascale.ledger.state import VerdictStatus


@attrs.frozen
class Result:
    """Result of one rule."""

    status: VerdictStatus
    reason: str = ""
    entity_id: str = ""


def valid(entity_id):
    """Return the result of a record that took effect."""
    return Result(VerdictStatus.VALID, "", entity_id)


def duplicate(entity_id):
    """Return the result of a repetition, which yields the first entity."""
    return Result(VerdictStatus.DUPLICATE, "repeated", entity_id)


def conflict(reason, entity_id=""):
    """Return the result of a record that lost against the state."""
    return Result(VerdictStatus.CONFLICT, reason, entity_id)


def invalid(reason):
    """Return the result of a record that contradicts itself."""
    return Result(VerdictStatus.INVALID, reason)
