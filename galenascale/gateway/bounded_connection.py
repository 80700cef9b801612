"""HTTP connections whose unread answers are bounded in memory and time."""

from aiohttp import web

from galenascale.gateway import responses
from galenascale.gateway.attempts import not_run_error
from galenascale.gateway.caller_memory import HeldMemory
from galenascale.gateway.limit_log import CutAnswer, CutReason
from galenascale.gateway.lingering_close import LingeringClose
from galenascale.gateway.peer_watch import PeerWatch, let_drain
from galenascale.gateway.send_queue import (
    UntakenBytes,
    grow_send_buffer,
    read_untaken,
)
from galenascale.gateway.unread_answer import UnreadAnswer

# Most bytes of one receive call, and so of what follows a request before
# reading pauses.
CALLER_RECEIVE_BYTES = 1 << 14
# Most header fields of a request; CallerLimits bounds their size.
MAX_HEADERS = 256
# Bytes of a body that are buffered before reading pauses, at most twice as
# many; also bounds the chunks of a body that nobody has taken yet.
READ_BUFFER_BYTES = 8 << 10
# Retry-After in seconds while the memory or the connections are used up.
OVERLOAD_RETRY_S = 0.5
# Seconds for which a refused caller may take its refusal.
REFUSAL_TIMEOUT_S = 2.0


class BoundedConnection(web.RequestHandler):
    """
    HTTP connection whose caller holds a counted part of the memory.

    `on_limit` is called with the name of a limit that the caller met, and
    this connection; `on_cut` with the CutAnswer of a caller that did not take
    all, and this connection. `encode_refusal` returns the bytes of the
    response for a GalenascaleError.
    """

    __slots__ = (
        "held",
        "_cut",
        "_encode_refusal",
        "_limits",
        "_lingering",
        "_memory",
        "_on_cut",
        "_on_limit",
        "_open_transport",
        "_peer_watch",
        "_timer",
        "_unread",
    )

    def __init__(
        self,
        server,
        *,
        limits,
        memory,
        on_limit,
        on_cut=lambda cut, connection: None,
        encode_refusal=responses.encode_refusal,
        **options,
    ):
        super().__init__(
            server,
            keepalive_timeout=limits.idle_timeout_s,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            max_headers=MAX_HEADERS,
            read_bufsize=READ_BUFFER_BYTES,
            access_log=None,
            **options,
        )
        self._limits = limits
        self._memory = memory
        self._on_limit = on_limit
        self._on_cut = on_cut
        self._encode_refusal = encode_refusal
        now = self._loop.time()
        self.held = HeldMemory(now, now, self.close_now)
        self._unread = UnreadAnswer(
            self._loop, memory, self.held, self._abort_unread_answer
        )
        self._peer_watch = PeerWatch(self._loop, lambda: self._abort(CutReason.SILENT))
        self._lingering = LingeringClose(
            self._loop, lambda: self._abort(CutReason.UNREAD)
        )
        # The transport, also after the library has closed it.
        self._open_transport = None
        # CutAnswer of a connection that drops the rest of an answer, or None.
        self._cut = None
        self._timer = None

    @property
    def is_closing(self):
        """Return True if the connection waits for nothing but its end."""
        return self._open_transport.is_closing()

    def connection_made(self, transport):
        super().connection_made(transport)
        self._open_transport = transport
        transport.max_size = CALLER_RECEIVE_BYTES
        # Writing pauses as soon as the kernel does not take all bytes. With 0
        # a TLS transport would pause with an empty buffer, and not resume.
        transport.set_write_buffer_limits(high=1)
        self._close_after(self._limits.idle_timeout_s)

    def connection_lost(self, exc):
        self._stop_timer()
        self._peer_watch.end()
        self._lingering.end()
        if self._cut is None:
            self._find_cut()
        if self._cut is not None and self._cut.untaken.total:
            self._on_cut(self._cut, self)
        if self._cut is None and exc is None:
            let_drain(self._open_transport)
        self._unread.end()
        self.held.evicted = True
        self._memory.release(self.held)
        super().connection_lost(exc)

    def _find_cut(self):
        """Note the rest of an answer that the transport has dropped."""
        unsent = self._unread.unsent_bytes
        if unsent:
            kernel = read_untaken(self._open_transport).kernel
            self._cut = CutAnswer(CutReason.LOST, UntakenBytes(unsent, kernel))

    # Memory.

    def hold(self, count):
        """Hold more bytes; return False if there is no memory for them."""
        return self._memory.add(
            self.held, count, self._limits.body_bytes, self._loop.time()
        )

    def give_way(self):
        """Close the connection, as others make more progress."""
        self.held.evicted = True
        self.held.on_evict()

    # Answers.

    def pause_writing(self):
        """Count what the caller does not take, and wait until it does."""
        super().pause_writing()
        self._unread.begin(self._open_transport, self._give_way_unread)
        self.count_unsent()

    def resume_writing(self):
        """Go on, as the caller has taken all."""
        super().resume_writing()
        self._unread.end()
        self.held.on_evict = None

    def count_unsent(self):
        """Hold the bytes of the answer that the caller has not taken yet."""
        self._unread.count(self._limits.body_bytes)
        self.watch_peer()

    def watch_peer(self):
        """Notice a caller that is gone, and not one that reads slowly."""
        if self.transport is not None:
            self._peer_watch.begin(self.transport)

    def _give_way_unread(self):
        self._on_limit("caller_memory", self)
        self._abort(CutReason.MEMORY)

    def _abort_unread_answer(self):
        self._on_limit("unread_answer", self)
        self._abort(CutReason.UNREAD)

    # Closing.

    def refuse(self, error):
        """Answer with an error before a request is handled, and close."""
        if self.transport is not None:
            self.transport.write(self._encode_refusal(error))
        self.close_when_taken(REFUSAL_TIMEOUT_S)

    def force_close(self):
        """Read no more, and close; wait for a caller that is still reading."""
        transport = self.transport
        if transport is None or transport.is_closing() or not self.untaken.total:
            super().force_close()
        else:
            self.close_when_taken()

    def close_when_taken(self, limit_s=None):
        """
        Read no more, and close once the caller has taken what was written.

        `limit_s` bounds the seconds for a caller that takes it slowly.
        """
        transport, self.transport = self.transport, None
        # This marks the connection, and closes nothing without a transport.
        super().force_close()
        if transport is None or transport.is_closing():
            return
        if not transport.get_write_buffer_size():
            self.held.on_evict = self.close_now
        self._peer_watch.begin(transport)
        self._lingering.begin(transport, limit_s)

    def break_off(self):
        """Drop an answer that cannot be completed."""
        self._abort(CutReason.BROKEN)

    def close_now(self):
        """Close, and leave to the kernel what the caller has not taken."""
        super().force_close()
        self._open_transport.close()

    def leave_to_kernel(self):
        """Let the kernel deliver what it takes after the process has ended."""
        let_drain(self._open_transport)
        if self.untaken.process:
            grow_send_buffer(self._open_transport)

    def drop_unsent(self):
        """Record what the process still holds, as it ends."""
        untaken = self.untaken
        if untaken.process:
            self._on_cut(CutAnswer(CutReason.STOPPED, untaken), self)

    def _abort(self, reason):
        """Drop what the caller has not taken."""
        if self._cut is None:
            self._cut = CutAnswer(reason, self.untaken)
        self._open_transport.abort()

    @property
    def untaken(self):
        """Return the UntakenBytes of the connection."""
        return read_untaken(self._open_transport)

    def _close_after(self, delay_s):
        self._stop_timer()
        self._timer = self._loop.call_later(delay_s, self.force_close)

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def memory_full_error():
    """Return the RequestFailed of a caller that has to give way."""
    return not_run_error(
        "memory for callers is used up, and others make more progress",
        code="caller_memory_full",
        retry_after_s=OVERLOAD_RETRY_S,
    )
