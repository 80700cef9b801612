"""HTTP responses to callers: errors and responses of backend servers."""

import contextlib
import http
import time

import orjson
from aiohttp import HttpVersion11, web

from galenascale.gateway.execution import caller_status
from galenascale.gateway.http_heads import encode_response_head
from galenascale.gateway.sockets import enable_dead_peer_detection

# Headers that the HTTP library sets itself.
_LIBRARY_HEADERS = frozenset((b"content-length", b"date", b"server"))


def error_response(error):
    """Return the HTTP response for a GalenascaleError."""
    return web.Response(
        status=caller_status(error),
        headers=_error_headers(error),
        body=_error_body(error),
    )


def encode_refusal(error):
    """
    Return the bytes of the response for a GalenascaleError.

    For requests that the HTTP library does not see; the connection closes.
    """
    status = caller_status(error)
    return encode_last_response(status, _error_headers(error), _error_body(error))


def encode_last_response(status, headers, body):
    """Return the bytes of a response after which the connection closes."""
    head = encode_response_head(http.HTTPStatus(status), headers, len(body))
    return head + body


def _error_headers(error):
    headers = {"Content-Type": "application/json"}
    retry_after_s = getattr(error, "retry_after_s", None)
    if retry_after_s is not None:
        headers["Retry-After"] = f"{retry_after_s:.3f}"
    return headers


def _error_body(error):
    body = {
        "error": {
            "code": error.code,
            "message": error.message,
            "execution": str(error.execution),
        }
    }
    return orjson.dumps(body)


def to_web_response(buffered):
    """Return the HTTP response for a BufferedResponse."""
    response = web.Response(status=buffered.head.status, body=buffered.body)
    _copy_headers(buffered.head, response)
    return response


def _copy_headers(head, response):
    response.headers.popall("Content-Type", None)
    for name, value in head.headers:
        if name.lower() not in _LIBRARY_HEADERS:
            response.headers.add(name.decode("latin-1"), value.decode("latin-1"))


class CallerStream:
    """A streamed response to a caller, which is finished or aborted."""

    def __init__(self, request, on_first_part):
        self._request = request
        self._on_first_part = on_first_part
        self._sent_at = None
        # Longest time in seconds between two parts of the response.
        self.longest_gap_s = 0.0
        self.response = None

    async def start(self, head):
        """Send the status and headers of a ResponseHead."""
        self.response = web.StreamResponse(status=head.status)
        _copy_headers(head, self.response)
        if self._request.version >= HttpVersion11:
            self.response.enable_chunked_encoding()
        else:
            self.response.content_length = head.length
        self._on_first_part()
        await self.response.prepare(self._request)

    async def send(self, data):
        """Send complete events or a part of a plain body."""
        now = time.monotonic()
        if self._sent_at is not None:
            self.longest_gap_s = max(self.longest_gap_s, now - self._sent_at)
        self._sent_at = now
        await self.response.write(data)
        self._request.protocol.count_unsent()

    async def finish(self):
        """End the response as complete."""
        await self.response.write_eof()

    def abort(self):
        """Close the connection, so that the response is visibly incomplete."""
        if self._request.transport is not None:
            self._request.protocol.break_off()


def enable_silence_detection(request):
    """Let the kernel close the connection if the caller goes silent."""
    if request.transport is not None:
        with contextlib.suppress(OSError):
            enable_dead_peer_detection(request.transport)
