"""One HTTP/1.1 connection to a backend server.

A client library reads the next answer on a connection as that of the next
request. Backend servers may send a second answer late, so here each answer is
matched by its id, and bytes that arrive while nothing is asked for end the
connection.
"""

import asyncio
import collections

import httptools

from galenascale.errors import BackendError, Execution
from galenascale.gateway.response_limits import ResponseLimits
from galenascale.gateway.sockets import guard_against_silence

# Unread bytes of an answer at which reading from the socket pauses.
PAUSE_BYTES = 1 << 16
MAX_HEADERS = 256
# Received bytes are parsed before the next ones come, on any connection, so
# that all of them share one buffer. A parser makes objects of many times the
# size of what it reads; so it reads a part at a time.
_RECEIVE_BUFFER = memoryview(bytearray(1 << 16))
PARSE_BYTES = 1 << 13
_END = object()
# Statuses of final answers without a body (RFC 9110, section 6.4.1).
_NO_BODY = frozenset((204, 304))


class BackendConnection(asyncio.BufferedProtocol):
    """Sends one request at a time and reads the answer to it."""

    def __init__(self, read_head):
        self._read_head = read_head
        self._transport = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter = None
        self._events = collections.deque()
        self._buffered = 0
        self._request_id = None
        self._method = ""
        self._headers = []
        self._bounds = ResponseLimits()
        # Pieces of the body in the bytes that are being parsed.
        self._pieces = []
        self._has_length = False
        self._skipping = False
        self._head_seen = False
        self.closed = False
        # Requests that were sent on this connection.
        self.requests = 0
        # The answer was complete and another request may follow.
        self.reusable = False
        self.keep_alive_s = None
        # Loop time in seconds of the end of the last answer.
        self.idle_since = 0.0
        # Loop time of the last request or of the last bytes that came.
        self.active_at = 0.0

    # Transport callbacks.

    def connection_made(self, transport):
        self._transport = transport
        guard_against_silence(transport)

    def get_buffer(self, sizehint):
        return _RECEIVE_BUFFER

    def buffer_updated(self, size):
        if self._request_id is None:
            # Nothing was asked for: such bytes belong to no request.
            self.abort()
            return
        self.active_at = asyncio.get_running_loop().time()
        try:
            for start in range(0, size, PARSE_BYTES):
                self._parse(_RECEIVE_BUFFER[start : min(size, start + PARSE_BYTES)])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"answer cannot be parsed: {error}")
        except BackendError as error:
            self._fail(error.message)

    def _parse(self, data):
        self._bounds.add_received(len(data))
        try:
            self._parser.feed_data(data)
        finally:
            # What came before bytes that are no answer is a part of it.
            self._push_body()
        self._bounds.check()

    def eof_received(self):
        self._end_of_input(None)
        return False

    def connection_lost(self, error):
        self._end_of_input(error)
        self.closed = True

    def _end_of_input(self, error):
        if self._request_id is None:
            self.closed = True
            return
        without_length = self._head_seen and not self._has_length
        if error is None and without_length and not self._skipping:
            # Such an answer ends with its connection.
            self.reusable = False
            self._finish()
            return
        self._fail("connection closed before the end of the answer")

    # Parser callbacks.

    def on_message_begin(self):
        if self._request_id is None:
            # A second answer follows in the same bytes.
            self.reusable = False
            self._skipping = True
            return
        self._head_seen = False
        self._skipping = False
        self._has_length = False
        self._headers = []

    def on_header(self, name, value):
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._has_length = True
        self._headers.append((name, value))
        if len(self._headers) > MAX_HEADERS:
            raise ValueError("answer has too many headers")

    def on_headers_complete(self):
        if self._request_id is None:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._skipping = True
            return
        head = self._read_head(status, tuple(self._headers))
        if not self._is_answer(head):
            self._skipping = True
            self.reusable = False
            return
        self._head_seen = True
        self.reusable = self._parser.should_keep_alive()
        self.keep_alive_s = head.keep_alive_s
        self._push(head)
        if self._method == "HEAD" or status in _NO_BODY:
            self.reusable = self.reusable and self._method != "HEAD"
            self._finish()

    def _is_answer(self, head):
        if head.request_id:
            return head.request_id == self._request_id
        # Refusals may come without an id. On a used connection such an answer
        # may be a late one to another request.
        return self.requests == 1 or not self._request_id

    def on_body(self, body):
        if self._request_id is None:
            return
        if self._skipping:
            self._bounds.add_skipped(len(body))
        else:
            self._bounds.add_body(len(body))
            self._pieces.append(body)

    def _push_body(self):
        """Hand the pieces of the body on as one: chunks may be tiny."""
        if not self._pieces:
            return
        body = b"".join(self._pieces)
        self._pieces.clear()
        self._buffered += len(body)
        self._push(body)
        if self._buffered > PAUSE_BYTES:
            self._transport.pause_reading()

    def on_message_complete(self):
        if self._request_id is None:
            return
        if self._skipping:
            return
        if self._head_seen:
            self._finish()

    def _finish(self):
        if self._request_id is None:
            return
        self._request_id = None
        self._push_body()
        self._push(_END)

    def _fail(self, message):
        self.reusable = False
        if self._request_id is not None:
            self._request_id = None
            self._push(
                BackendError(
                    message, code="connection_broken", execution=Execution.MAY_HAVE_RUN
                )
            )
        self.abort()

    def _push(self, event):
        self._events.append(event)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # Use by the owner of the connection.

    def send(self, method, head, body, request_id):
        """Send a request; the answer is read with `read`."""
        self._request_id = request_id
        self._method = method
        self._events.clear()
        self._pieces.clear()
        self._bounds.reset()
        self._buffered = 0
        self.requests += 1
        self.reusable = False
        self.active_at = asyncio.get_running_loop().time()
        self._transport.write(head + body if len(body) < PAUSE_BYTES else head)
        if len(body) >= PAUSE_BYTES:
            self._transport.write(body)

    async def read(self):
        """
        Return the ResponseHead, then pieces of the body, then None.

        Raise BackendError if the answer breaks off.
        """
        while not self._events:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        event = self._events.popleft()
        if event is _END:
            self.idle_since = asyncio.get_running_loop().time()
            return None
        if isinstance(event, BackendError):
            raise event
        if isinstance(event, bytes):
            self._buffered -= len(event)
            if self._buffered <= PAUSE_BYTES and not self.closed:
                self._transport.resume_reading()
        return event

    def can_be_reused(self):
        """Return True if another request may be sent."""
        return (
            self.reusable
            and not self.closed
            and self._request_id is None
            # A body that is still being sent would precede the next request.
            and self._transport.get_write_buffer_size() == 0
            and not self._transport.is_closing()
        )

    def give_up(self, message):
        """End the request on this connection with an error."""
        self._fail(message)

    def abort(self):
        """Close the connection at once; unsent bytes are dropped."""
        self.closed = True
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()
