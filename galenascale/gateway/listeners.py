"""HTTP listeners of a host for callers, readiness, peers and metrics."""

import asyncio
import logging

from aiohttp import web

from galenascale.gateway.configuration import CallerLimits
from galenascale.gateway.sockets import RECEIVE_BYTES, split_address

# Connections that the kernel queues until they are accepted.
BACKLOG = 1024
# Most headers of a request; CallerLimits bounds their size.
MAX_HEADERS = 256
# Requests of one connection that may wait for their turn. Callers that send
# more ahead, without waiting for answers, are disconnected.
MAX_REQUESTS_AHEAD = 32
# Bytes of a body that are buffered before reading pauses, at most twice as
# many; also bounds the chunks of a body that nobody has taken yet.
READ_BUFFER_BYTES = 8 << 10

# aiohttp's log lines about malformed requests do not identify the caller.
_MUTED_LOGGER = logging.getLogger("galenascale.gateway.http")
_MUTED_LOGGER.addHandler(logging.NullHandler())
_MUTED_LOGGER.propagate = False


class _CallerConnection(web.RequestHandler):
    """
    Connection that closes if a request does not arrive in time.

    aiohttp limits only the time between two requests, neither the time before
    the first one nor the time in which its headers arrive.
    """

    __slots__ = ("_header_timeout_s", "_idle_timeout_s", "_is_idle", "_timer")

    def __init__(self, server, *, header_timeout_s, idle_timeout_s, **options):
        super().__init__(server, keepalive_timeout=idle_timeout_s, **options)
        self._header_timeout_s = header_timeout_s
        self._idle_timeout_s = idle_timeout_s
        # Whether no byte of the next request has arrived.
        self._is_idle = True
        self._timer = None

    def connection_made(self, transport):
        super().connection_made(transport)
        transport.max_size = RECEIVE_BYTES
        self._close_after(self._idle_timeout_s)

    def connection_lost(self, exc):
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data):
        if self._is_idle:
            self._is_idle = False
            self._close_after(self._header_timeout_s)
        super().data_received(data)
        if len(self._messages) > MAX_REQUESTS_AHEAD:
            self._messages.clear()
            self.force_close()

    def request_started(self):
        """Stop the timer, as the headers of a request are complete."""
        self._is_idle = False
        self._stop_timer()

    def request_ended(self):
        """Wait for the first byte of the next request."""
        self._is_idle = True

    def _close_after(self, delay_s):
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self.force_close)

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class CallerServer(web.Server):
    """
    HTTP server whose limits follow the operator's configuration.

    `limits` returns the current CallerLimits; each connection keeps those in
    force when it was opened.
    """

    def __init__(self, handler, limits):
        super().__init__(self._handle, handler_cancellation=True)
        self._request_callback = handler
        self._active_connections = set()
        self._handler_loop = asyncio.get_running_loop()
        self._limits = limits

    def __call__(self):
        limits = self._limits()
        return _CallerConnection(
            self,
            loop=self._handler_loop,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            max_headers=MAX_HEADERS,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            access_log=None,
            logger=_MUTED_LOGGER,
        )

    async def _handle(self, request):
        connection = request.protocol
        connection.request_started()
        self._active_connections.add(connection)
        try:
            return await self._request_callback(request)
        finally:
            self._active_connections.discard(connection)
            connection.request_ended()

    def close_idle(self):
        """
        Close the connections on which no request is being handled.

        aiohttp's own close ignores a request that arrives afterwards but
        leaves the connection open, so the caller would wait in vain.
        """
        for connection in self.connections:
            if connection not in self._active_connections:
                connection.force_close()


async def listen(stack, server, address):
    """Listen on "host:port" until the stack closes; return the listener."""
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, host, port, backlog=BACKLOG)
    stack.callback(listener.close)
    return listener


def make_internal_server(handler):
    """Return a server with default limits, for calls with small responses."""
    return CallerServer(handler, CallerLimits)
