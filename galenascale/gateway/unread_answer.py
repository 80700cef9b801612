"""The part of an answer that a caller has not taken yet."""

from galenascale.gateway.answer_delivery import ReadProgress
from galenascale.gateway.send_queue import untaken_bytes

# Seconds between two checks whether an answer is being taken.
CHECK_INTERVAL_S = 1.0


class UnreadAnswer:
    """
    Counts the unsent bytes of a connection, and gives up on idle readers.

    `on_timeout` is called if the caller takes too little, by ReadProgress.
    """

    def __init__(self, loop, memory, held, on_timeout):
        self._loop = loop
        self._memory = memory
        self._held = held
        self._on_timeout = on_timeout
        self._transport = None
        self._timer = None
        self._progress = None
        # Bytes that the process holds, and those with what the kernel holds.
        self._unsent_bytes = 0
        self._untaken_bytes = 0

    @property
    def unsent_bytes(self):
        """Return the bytes that the process held at the last count."""
        return self._unsent_bytes

    def begin(self, transport, on_evict):
        """Begin to watch a transport that holds unsent bytes."""
        self._transport = transport
        self._untaken_bytes = untaken_bytes(transport)
        now = self._loop.time()
        self._progress = ReadProgress(now)
        self._held.begin_step(on_evict, now)
        self._check_later()

    def count(self, limit_bytes):
        """Hold the bytes that are unsent now."""
        if self._transport is None:
            return
        self._untaken_bytes = max(self._untaken_bytes, untaken_bytes(self._transport))
        unsent = self._transport.get_write_buffer_size()
        grown = unsent - self._unsent_bytes
        if grown <= 0:
            self._release_sent()
            return
        self._unsent_bytes = unsent
        # An answer fits beside another one of its size.
        limit_bytes = max(limit_bytes, unsent)
        now = self._loop.time()
        self._memory.add_unmoved(self._held, grown, limit_bytes, now)

    def _check(self):
        now = self._loop.time()
        self._release_sent()
        taken = self._take_progress()
        if taken:
            self._held.record_progress(taken, now)
        if self._progress.is_stalled(taken, now):
            self._on_timeout()
        else:
            self._check_later()

    def _release_sent(self):
        unsent = self._transport.get_write_buffer_size()
        if unsent < self._unsent_bytes:
            self._memory.release(self._held, self._unsent_bytes - unsent)
            self._unsent_bytes = unsent

    def _take_progress(self):
        """Return the bytes that were taken since the last check."""
        untaken = untaken_bytes(self._transport)
        taken = max(0, self._untaken_bytes - untaken)
        self._untaken_bytes = untaken
        return taken

    def _check_later(self):
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def end(self):
        """Stop to watch, as all is taken or the connection is lost."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._memory.release(self._held, self._unsent_bytes)
        self._unsent_bytes = 0
        self._transport = None
