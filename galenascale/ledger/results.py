"""Results of the rules, without the record's position in the log."""

import attrs

from galenascale.ledger.state import VerdictStatus


@attrs.frozen
class Result:
    """Status, reason and entity id that a rule returns."""

    status: VerdictStatus
    reason: str = ""
    entity_id: str = ""


def valid(entity_id):
    """Return the result of a record that took effect."""
    return Result(VerdictStatus.VALID, "", entity_id)


def duplicate(entity_id):
    """Return the result of a repetition, with the first entity's id."""
    return Result(VerdictStatus.DUPLICATE, "repeated", entity_id)


def conflict(reason, entity_id=""):
    """Return the result of a record that the current state rules out."""
    return Result(VerdictStatus.CONFLICT, reason, entity_id)


def invalid(reason):
    """Return the result of a record that is invalid in itself."""
    return Result(VerdictStatus.INVALID, reason)
