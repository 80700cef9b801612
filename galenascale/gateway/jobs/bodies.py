"""Reads the bodies of items from the store."""

from galenascale.gateway.jobs.pieces import PieceRange, read_pieces
from galenascale.gateway.jobs.records import decompress


class BodyReader:
    """Reads and decompresses bodies; caches the most recent ones."""

    # Size of the cache in bytes.
    MAX_CACHED_BYTES = 16 << 20

    def __init__(self, context, partitions, loader):
        self._context = context
        self._partitions = partitions
        self._loader = loader
        self._cached = {}
        self._cached_bytes = 0

    def cache(self, job_id, bodies):
        """Cache the bodies of a job that was submitted to this host."""
        for index, body in enumerate(bodies):
            self._put((job_id, index), body)

    def _put(self, key, body):
        if key in self._cached:
            return
        self._cached[key] = body
        self._cached_bytes += len(body)
        while self._cached_bytes > self.MAX_CACHED_BYTES:
            oldest = next(iter(self._cached))
            self._cached_bytes -= len(self._cached.pop(oldest))

    def discard(self, job_id, total):
        """Remove the bodies of a job with `total` items from the cache."""
        for index in range(total):
            body = self._cached.pop((job_id, index), b"")
            self._cached_bytes -= len(body)

    async def read(self, state, index):
        """
        Return the body of an item.

        Raise StoreUnavailable or StoreOutcomeUnknown if the store does not
        return it, and ValueError if it is corrupt.
        """
        key = (state.job_id, index)
        if key in self._cached:
            return self._cached[key]
        item = (await self._loader.items(state))[index]
        number = self._partitions.for_job(state.job_id).number
        pieces = PieceRange(
            state.job.bodies_offset + item.first_record, item.records, item.body_bytes
        )
        body = decompress(await read_pieces(self._context, number, pieces))
        self._put(key, body)
        return body
