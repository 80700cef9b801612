"""Search of the log for the state to restore from."""

from galenascale.config_snapshots import Assembler, parts_of
from galenascale.config_state import ConfigState, apply_body


async def find_snapshot(log_client, stream, first_offset, change_types):
    """
    Return the state to go on from, or None, and the log's first offset.

    That is the best whole snapshot in the log or the last change that starts
    the stream over, whichever is later.

    Only snapshots that leave no gap to the first kept record are returned;
    the log may have been trimmed further by the time the search ends.
    """
    assembler = Assembler(first_offset - 1, change_types)
    restarted = None
    offset = first_offset
    while True:
        result = await log_client.read(stream, offset)
        for position, body in result.records:
            for part in parts_of(body)[0]:
                assembler.add(part)
            restarted = _restarted(position, body, change_types) or restarted
            offset = position + 1
        if not result.records or offset >= result.next_offset:
            found = assembler.complete
            if found is None or (
                restarted and restarted.version > found.through_offset
            ):
                found = restarted
            return found, result.first_offset


def _restarted(offset, body, change_types):
    """Return the state after a change that starts the stream over, or None."""
    state = ConfigState(through_offset=offset - 1)
    apply_body(state, offset, body, change_types)
    return state if state.restarted_at == offset else None
