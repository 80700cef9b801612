"""Named streams on the platform's store."""

from galenascale.store import OffsetRange, PartitionTrimmed, ReadResult

DEFAULT_READ_LIMIT = 500
# Size of one read in KB; the store's answers are smaller if less is stored.
READ_KB = 4096
# Smallest size of a read: one record.
ONE_RECORD_KB = 1


class LogClient:
    """
    Reads and appends to streams, each a partition of a topic.

    Calls raise StoreUnavailable if the store surely did nothing, and appends
    StoreOutcomeUnknown if that is not known.
    """

    def __init__(self, store):
        self._store = store

    async def append(self, stream, body):
        """Append a body and return its offset."""
        return await self._store.append(*partition_of(stream), [body])

    async def read(self, stream, offset, limit=DEFAULT_READ_LIMIT):
        """
        Return up to `limit` records from an offset on.

        Offsets below the first kept one are skipped; the result tells the
        first offset.
        """
        max_kb = ONE_RECORD_KB if limit == 1 else READ_KB
        result = await self._read_kept(stream, offset, max_kb)
        return ReadResult(
            result.records[:limit], result.first_offset, result.next_offset
        )

    async def bounds(self, stream):
        """Return the bounds of a stream; an empty one has (0, 0)."""
        result = await self._read_kept(stream, 0, ONE_RECORD_KB)
        return OffsetRange(result.first_offset, result.next_offset)

    async def _read_kept(self, stream, offset, max_kb):
        while True:
            try:
                return await self._store.read(
                    *partition_of(stream), offset, max_kb=max_kb
                )
            except PartitionTrimmed as error:
                offset = error.first_kept_offset


def partition_of(stream):
    """Return (topic, partition number) of a stream such as "work.3"."""
    topic, _, number = stream.rpartition(".")
    if topic and number.isdecimal():
        return topic, int(number)
    return stream, 0
