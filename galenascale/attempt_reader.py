"""Reader of one attempt's stream from an engine."""

import asyncio
import inspect
from collections import deque

from galenascale.errors import BackendError, Execution
from galenascale.logs import get_logger

log = get_logger("online")

# Tokens kept for a caller that reads slowly before the engine is held back.
MAX_BUFFERED_CHUNKS = 256


class AttemptReader:
    """
    Chunks of one attempt, read by a task of its own.

    Each attempt has its own reader, so late answers of older attempts cannot
    mix with those of the current one. A time limit ends the wait for a chunk
    by `post` from outside, at no cost for the chunks that arrive in time.
    """

    def __init__(self, stream):
        self._events = deque()
        # Future of the one consumer while it waits for an event.
        self._waiter = None
        self._drained = asyncio.Event()
        self._is_full = False
        self._loop = asyncio.get_running_loop()
        # True once the server broke the stream off, read already or not.
        self.is_broken = False
        self._task = asyncio.ensure_future(self._read(stream))

    @property
    def is_empty(self):
        """True when the engine has sent nothing that is not read yet."""
        return not self._events

    def post(self, event):
        """Add a Chunk, an error, or None for the end of the stream."""
        self._events.append(event)
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def next(self):
        """Return the next event."""
        while not self._events:
            self._waiter = self._loop.create_future()
            await self._waiter
        if self._is_full:
            self._drained.set()
        return self._events.popleft()

    def cancel(self):
        """Stop reading, which closes the connection to the engine."""
        self._task.cancel()

    async def _read(self, stream):
        try:
            if inspect.isawaitable(stream):
                stream = await stream
            async for chunk in stream:
                self.post(chunk)
                while len(self._events) >= MAX_BUFFERED_CHUNKS:
                    self._drained.clear()
                    self._is_full = True
                    await self._drained.wait()
                    self._is_full = False
            self.post(None)
        except BackendError as error:
            self.is_broken = error.code == "stream_broken"
            self.post(error)
        except Exception as error:
            log.exception("Reading an engine's stream failed.")
            self.post(broken(f"engine client failed: {error!r}", "internal_error"))


def broken(message, code="stream_broken"):
    """Return the error of an attempt that may have run."""
    return BackendError(
        message, code=code, step="online", execution=Execution.MAY_HAVE_RUN
    )
