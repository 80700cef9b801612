"""One HTTP/1.1 connection to a backend server.

An HTTP client library takes the next response on a connection as the response
to the next request. Backend servers may send a second response late, so this
module matches each response to its request by id, and closes the connection if
bytes arrive while no request is in flight.
"""

import asyncio
import collections
import functools

import httptools

from galenascale.errors import BackendError, Execution
from galenascale.gateway.peer_watch import PeerWatch
from galenascale.gateway.receive_buffer import RECEIVE_BUFFER, received_parts
from galenascale.gateway.request_sending import SendingWait, SendState
from galenascale.gateway.response_limits import ResponseLimits
from galenascale.gateway.response_match import (
    STATUSES_WITHOUT_BODY,
    ResponseMatch,
    match_response,
)
from galenascale.gateway.response_state import ResponseState
from galenascale.gateway.sockets import enable_dead_peer_detection

# Size of buffered response bytes above which reading from the socket pauses,
# and of a request body from which it is written apart from the head.
BUFFER_LIMIT_BYTES = 1 << 16
# Requests answered with a refusal or an error, after which a connection is not
# used again: it remembers their ids.
MAX_FAILED_IDS = 32
STATUS_ERROR = 400
_END_OF_RESPONSE = object()


class BackendConnection(asyncio.BufferedProtocol):
    """Sends one request at a time and reads its response."""

    def __init__(self, parse_head):
        self._parse_head = parse_head
        self._transport = None
        self._peer_watch = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter = None
        self._events = collections.deque()
        self._buffered_bytes = 0
        self._request_id = None
        self._method = ""
        self._response = ResponseState()
        self._byte_limits = ResponseLimits()
        # Chunks of the body found in the bytes that are being parsed.
        self._body_chunks = []
        self.closed = False
        # Ids of requests that got a refusal or an error. They go to other
        # connections, as a second copy would be taken for the next answer.
        self._failed_ids = set()
        # Whether the server may answer before the kernel has sent all.
        self._is_long_request = False
        # SendingWait of a response that ended with the connection, or None.
        self._sending = None
        # Number of requests sent on this connection.
        self.requests = 0
        # The last response was complete and allows another request.
        self.reusable = False
        # Idle timeout in seconds that the server announced, or None.
        self.keep_alive_s = None
        # Loop time in seconds at which the last response ended.
        self.idle_since = 0.0
        # Loop time in seconds of the last request sent or bytes received.
        self.active_at = 0.0

    # Transport callbacks.

    def connection_made(self, transport):
        self._transport = transport
        enable_dead_peer_detection(transport)
        on_gone = functools.partial(self.fail, "server acknowledges nothing")
        self._peer_watch = PeerWatch(asyncio.get_running_loop(), on_gone)

    def get_buffer(self, sizehint):
        return RECEIVE_BUFFER

    def buffer_updated(self, size):
        if self._request_id is None:
            # No request is in flight, so these bytes belong to none.
            self.abort()
            return
        self.active_at = asyncio.get_running_loop().time()
        try:
            for part in received_parts(size):
                self._parse(part)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fail(f"response cannot be parsed: {error}")
        except BackendError as error:
            self.fail(error.message)

    def _parse(self, data):
        self._byte_limits.add_received(len(data))
        try:
            self._parser.feed_data(data)
        finally:
            # Body bytes ahead of a parse error are still part of the response.
            self._enqueue_body()
        self._byte_limits.check()

    def eof_received(self):
        """Return True to send on although the server sends nothing more."""
        self._end_of_input(None)
        return self._sending is not None and self._request_id is not None

    def connection_lost(self, error):
        self._peer_watch.end()
        if self._sending is not None:
            self._sending.cancel()
            self._end_sending(SendState.BROKEN)
        self._end_of_input(error)
        self.closed = True

    def _end_of_input(self, error):
        if self._request_id is None:
            self.closed = True
            return
        response = self._response
        without_length = response.has_head and not response.has_length
        if error is None and without_length and not response.is_skipped:
            # The end of the connection marks the end of such a response.
            self.reusable = False
            if self._is_long_request:
                self._sending = SendingWait(self._transport, self._end_sending)
            else:
                self._finish()
            return
        self.fail("connection closed before the end of the response")

    def _end_sending(self, state):
        """End a response without a length, once its request is not sent on."""
        if state is SendState.TAKEN:
            self._finish()
        else:
            self.fail("connection was reset while the request was sent")

    # Parser callbacks.

    def on_message_begin(self):
        if self._request_id is None:
            # The same bytes hold a second response.
            self.reusable = False
            self._response.is_skipped = True
            return
        self._response = ResponseState()

    def on_header(self, name, value):
        self._response.add_header(name, value)

    def on_headers_complete(self):
        if self._request_id is None:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._response.is_skipped = True
            return
        head = self._parse_head(status, tuple(self._response.headers))
        match = match_response(head, self._request_id, first=self.requests == 1)
        if match is ResponseMatch.SPOILED:
            self.fail(
                f"response with status {status} has no id or no signature",
                code="spoiled_answer",
            )
            return
        if match is ResponseMatch.OTHER:
            self._response.is_skipped = True
            self.reusable = False
            return
        self._response.has_head = True
        if head.not_run or status >= STATUS_ERROR:
            self._failed_ids.add(self._request_id)
        self.reusable = self._parser.should_keep_alive()
        self.keep_alive_s = head.keep_alive_s
        self._enqueue(head)
        if self._method == "HEAD" or status in STATUSES_WITHOUT_BODY:
            self.reusable = self.reusable and self._method != "HEAD"
            self._finish()

    def on_body(self, body):
        if self._request_id is None:
            return
        if self._response.is_skipped:
            self._byte_limits.add_skipped(len(body))
        else:
            self._byte_limits.add_body(len(body))
            self._body_chunks.append(body)

    def _enqueue_body(self):
        """Enqueue the parsed chunks as one, as single chunks may be tiny."""
        if not self._body_chunks:
            return
        body = b"".join(self._body_chunks)
        self._body_chunks.clear()
        self._buffered_bytes += len(body)
        self._enqueue(body)
        if self._buffered_bytes > BUFFER_LIMIT_BYTES:
            self._transport.pause_reading()

    def on_message_complete(self):
        if self._request_id is None or self._response.is_skipped:
            return
        if self._response.has_head:
            self._finish()

    def _finish(self):
        if self._request_id is None:
            return
        self._request_id = None
        self._enqueue_body()
        self._enqueue(_END_OF_RESPONSE)

    def fail(self, message, *, code="connection_broken"):
        """Fail the request on this connection and close the connection."""
        self.reusable = False
        if self._request_id is not None:
            self._request_id = None
            self._enqueue(
                BackendError(message, code=code, execution=Execution.MAY_HAVE_RUN)
            )
        self.abort()

    def _enqueue(self, event):
        self._events.append(event)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # Methods for the owner of the connection.

    def send(self, method, head, body, request_id):
        """Send a request; `read` returns its response."""
        self._request_id = request_id
        self._method = method
        self._is_long_request = len(body) >= BUFFER_LIMIT_BYTES
        # Nothing known of the last response may describe the next one.
        self._response = ResponseState()
        self._events.clear()
        self._body_chunks.clear()
        self._byte_limits.reset()
        self._buffered_bytes = 0
        self.requests += 1
        self.reusable = False
        self.active_at = asyncio.get_running_loop().time()
        self._transport.write(head if self._is_long_request else head + body)
        if self._is_long_request:
            self._transport.write(body)
            self._peer_watch.begin(self._transport)

    async def read(self):
        """
        Return the ResponseHead, then chunks of the body, then None.

        Raise BackendError if the response is cut off or malformed.
        """
        while not self._events:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        event = self._events.popleft()
        if event is _END_OF_RESPONSE:
            self.idle_since = asyncio.get_running_loop().time()
            return None
        if isinstance(event, BackendError):
            raise event
        if isinstance(event, bytes):
            self._buffered_bytes -= len(event)
            if self._buffered_bytes <= BUFFER_LIMIT_BYTES and not self.closed:
                self._transport.resume_reading()
        return event

    def has_failed(self, request_id):
        """Return True if a request with this id got an error or a refusal."""
        return request_id in self._failed_ids

    def can_be_reused(self):
        """Return True if another request may be sent on this connection."""
        return (
            self.reusable
            and not self.closed
            and self._request_id is None
            and len(self._failed_ids) < MAX_FAILED_IDS
            # The rest of an unsent body would precede the next request.
            and self._transport.get_write_buffer_size() == 0
            and not self._transport.is_closing()
        )

    def abort(self):
        """Close the connection at once, dropping unsent bytes."""
        self.closed = True
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()
