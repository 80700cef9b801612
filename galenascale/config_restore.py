"""Search of the log for the snapshot to restore from."""

from galenascale.config_snapshots import Assembler, parts_of


async def find_snapshot(log_client, stream, first_offset, change_types):
    """
    Return the best whole snapshot in the log, or None, and its first offset.

    Only snapshots that leave no gap to the first kept record are returned;
    the log may have been trimmed further by the time the search ends.
    """
    assembler = Assembler(first_offset - 1, change_types)
    offset = first_offset
    while True:
        result = await log_client.read(stream, offset)
        for position, body in result.records:
            for part in parts_of(body)[0]:
                assembler.add(part)
            offset = position + 1
        if not result.records or offset >= result.next_offset:
            return assembler.complete, result.first_offset
