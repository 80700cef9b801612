"""
Connections of callers, each of which reads one request at a time.

The HTTP library parses whatever arrives and queues the requests, so callers
could make it hold heads without end, and requests whose answers nobody reads.
A connection hands over a head once it is whole, then its body, and reads on
after the answer has been taken.
"""

from aiohttp import hdrs, web
from aiohttp.http import HttpProcessingError

from galenascale.errors import UserError
from galenascale.gateway.bounded_connection import BoundedConnection, memory_full_error
from galenascale.gateway.request_head import (
    HEAD_TOO_LARGE,
    STEP,
    HeadBuffer,
    find_chunk_ends,
    find_ends_by_length,
)

# Memory in bytes of a header field beside its text, in the forms in which the
# parser and the request hold it.
FIELD_OVERHEAD_BYTES = 300
# Characters of a parser's message that a refusal repeats.
MAX_REASON = 200


class CallerConnection(BoundedConnection):
    """
    HTTP connection that closes if a request does not arrive in time.

    The library limits only the time between two requests, neither the time
    before the first one nor the time in which its head arrives.
    """

    __slots__ = (
        "_ahead",
        "_answered",
        "_body_bytes",
        "_find_ends",
        "_framing_bytes",
        "_head",
        "_payload",
        "_unparsed",
    )

    def __init__(self, server, *, limits, **options):
        super().__init__(server, limits=limits, **options)
        self._head = HeadBuffer(limits.header_bytes)
        # Body of the request that is read or answered, or None.
        self._payload = None
        # Finds where it may end.
        self._find_ends = None
        # Bytes of it, and bytes that came since it grew.
        self._body_bytes = self._framing_bytes = 0
        # Received bytes that wait until the reader of the body goes on.
        self._unparsed = b""
        # Whether its answer was taken although it is not whole.
        self._answered = False
        # What followed it.
        self._ahead = b""

    @property
    def is_handling(self):
        """Return True from the end of a head until its answer is taken."""
        return self._payload is not None and not self._answered

    def data_received(self, data):
        if self._force_close or self._close:
            return
        try:
            self._read(data)
        except UserError as error:
            too_large = error.code == HEAD_TOO_LARGE
            self._on_limit("header_bytes" if too_large else "malformed", self)
            self.refuse(error)
        except HttpProcessingError as error:
            self._on_limit("malformed", self)
            self._reject(error.message)

    def _read(self, data):
        if self._payload is None:
            self._read_head(data)
        elif not self._payload.is_eof():
            self._read_body(data)
        else:
            self._keep(data)

    def _read_head(self, data):
        was_empty = not self._head
        whole = self._head.add(data)
        if whole is not None:
            self._begin_request(*whole)
            return
        if not self._head:
            return
        if was_empty:
            self._close_after(self._limits.header_timeout_s)
            self.held.begin_step(self._give_way_in_head, self._loop.time())
        self.hold(len(data))

    def _begin_request(self, head, rest):
        """Hand over a request; `rest` are the bytes after its head."""
        messages, upgraded, _ = self._parser.feed_data(head)
        if upgraded:
            # Upgrades are not supported; the request is one like any other.
            self._parser.set_upgraded(False)
        if not messages:
            raise UserError("head is incomplete", step=STEP)
        ((message, payload),) = messages
        self._head.check(message.path, message.raw_headers)
        if message.method == hdrs.METH_CONNECT:
            raise UserError("method CONNECT is not supported", step=STEP)
        self._stop_timer()
        if not self._hold_request(head, message):
            return
        self._payload = payload
        self._body_bytes = self._framing_bytes = 0
        self._find_ends = _end_finder(message)
        self._enqueue(message, payload)
        if rest:
            self.data_received(rest)

    def _hold_request(self, head, message):
        """Hold a whole head; return False if it is refused."""
        self._memory.release(self.held)
        self.held.begin_step(self._give_way_in_head, self._loop.time())
        if not self.hold(len(head) + FIELD_OVERHEAD_BYTES * len(message.raw_headers)):
            return False
        self.held.on_evict = None
        return True

    def _enqueue(self, message, payload):
        """Let the library's task handle a request."""
        self._request_count += 1
        self._messages.append((message, payload))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _read_body(self, data):
        """Hand over a part of the body, and nothing that follows it."""
        data = self._unparsed + data
        begin = 0
        for end in self._find_ends(data):
            self._parser.feed_data(data[begin:end])
            begin = end
            if self._payload.is_eof() or self._reading_paused:
                break
        rest = data[begin:]
        if not self._payload.is_eof():
            self._unparsed = rest
            self._limit_framing(len(data) - len(rest))
            return
        self._unparsed = b""
        self._keep(rest)
        if self._answered:
            self._begin_next()

    def _limit_framing(self, count):
        """Limit the bytes between two bytes of a body."""
        if self._payload.total_bytes > self._body_bytes:
            self._body_bytes = self._payload.total_bytes
            self._framing_bytes = 0
            return
        self._framing_bytes += count
        if self._framing_bytes > self._limits.header_bytes:
            self._on_limit("framing_bytes", self)
            self._reject("trailers or sizes of chunks are too long")

    def _keep(self, data):
        """Keep what follows a request, and read no further."""
        if not data:
            return
        self._ahead += data
        self._pause_transport_reading()
        if not self.hold(len(data)):
            self._on_limit("caller_memory", self)
            self._ahead = b""
            self.close()

    def _resume_transport_reading(self):
        if not self._ahead:
            super()._resume_transport_reading()

    def _give_way_in_head(self):
        self._on_limit("caller_memory", self)
        self.refuse(memory_full_error())

    def _reject(self, reason):
        """Refuse a malformed request; the reader of its body does so."""
        if self._payload is None:
            self.refuse(UserError(reason[:MAX_REASON], step=STEP))
            return
        self._payload.set_exception(web.RequestPayloadError(reason[:MAX_REASON]))
        self.close()

    async def finish_response(self, request, resp, start_time):
        """Write a response; return once the caller has taken it."""
        self.watch_peer()
        resp, is_lost = await super().finish_response(request, resp, start_time)
        if not is_lost:
            await self._drain_helper()
            self._end_request(resp.keep_alive)
        return resp, is_lost

    def _end_request(self, keep_alive):
        self._memory.release(self.held)
        self.held.begin_step(self.close_now, self._loop.time())
        if self.held.evicted:
            # Others need its place; the library would wait for its body.
            self.close_now()
        elif self._payload is not None and not self._payload.is_eof():
            self._answered = True
        elif keep_alive:
            self._begin_next()
        else:
            self.close_when_taken()

    def _begin_next(self):
        """Go on with what followed the last request."""
        self._payload = None
        self._answered = False
        ahead, self._ahead = self._ahead, b""
        if not self._reading_paused:
            self._resume_transport_reading()
        if ahead:
            self.data_received(ahead)


def _end_finder(message):
    """Return the function that finds where the body of a request may end."""
    if message.chunked:
        return find_chunk_ends
    return find_ends_by_length(int(message.headers.get(hdrs.CONTENT_LENGTH, "0")))
