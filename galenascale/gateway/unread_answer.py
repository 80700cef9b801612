"""The part of an answer that a caller has not taken yet."""

# Seconds between two checks whether an answer is being taken, and without a
# byte taken after which it is given up.
CHECK_INTERVAL_S = 1.0
UNREAD_TIMEOUT_S = 10.0


class UnreadAnswer:
    """
    Counts the unsent bytes of a connection, and gives up on idle readers.

    `on_timeout` is called if the caller takes nothing for UNREAD_TIMEOUT_S.
    """

    def __init__(self, loop, memory, held, on_timeout):
        self._loop = loop
        self._memory = memory
        self._held = held
        self._on_timeout = on_timeout
        self._transport = None
        self._timer = None
        # Loop time in seconds at which bytes were taken last.
        self._taken_at = 0.0
        self._unsent_bytes = 0

    def begin(self, transport, on_evict):
        """Begin to watch a transport that holds unsent bytes."""
        self._transport = transport
        self._taken_at = self._loop.time()
        self._held.begin_step(on_evict, self._taken_at)
        self._check_later()

    def count(self, limit_bytes):
        """Hold the bytes that are unsent now."""
        if self._transport is None:
            return
        unsent = self._transport.get_write_buffer_size()
        grown = unsent - self._unsent_bytes
        self._unsent_bytes = unsent
        if grown > 0:
            # An answer fits beside another one of its size.
            limit_bytes = max(limit_bytes, unsent)
            now = self._loop.time()
            self._memory.add_unmoved(self._held, grown, limit_bytes, now)
        else:
            self._memory.release(self._held, -grown)

    def _check(self):
        before = self._unsent_bytes
        now = self._loop.time()
        unsent = self._transport.get_write_buffer_size()
        if unsent < before:
            self._memory.release(self._held, before - unsent)
            self._unsent_bytes = unsent
            self._taken_at = now
            self._held.record_progress(before - unsent, now)
        elif now - self._taken_at >= UNREAD_TIMEOUT_S:
            self._on_timeout()
            return
        self._check_later()

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
