"""The caller listener with its limits on connections and header lines."""

import asyncio
import contextlib

from aiohttp import web

from galenascale.errors import Refused
from galenascale.http_api.errors import error_body
from galenascale.logs import get_logger

log = get_logger("http")

# Callers that read slowly get this long when the listener closes.
SHUTDOWN_TIMEOUT_S = 5.0
# Time for which the rest of a refused body is read and dropped.
LINGERING_TIME_S = 2.0


class _RefusedConnection(asyncio.Protocol):
    """Answers 503 to a connection beyond the limit and closes it."""

    def connection_made(self, transport):
        error = Refused("too many connections", code="too_many_connections")
        body = error_body(error)
        transport.write(
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
            b"Retry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%b"
            % (len(body), body)
        )
        transport.close()


@contextlib.asynccontextmanager
async def start_listener(
    app, address, port, limits, tls_context=None, opened=lambda server: None
):
    """
    Listen for callers and yield the port until the block ends.

    A connection is closed if the headers of its first request do not arrive
    within `body_timeout_s`, and later after `idle_timeout_s` without one.
    `opened` is called with the asyncio.Server; its close() refuses further
    connections and leaves the open ones alone.
    """
    without_request = set()

    @web.middleware
    async def note_request(request, handler):
        without_request.discard(request.protocol)
        return await handler(request)

    def close_silent(protocol):
        # aiohttp limits only the time between two requests.
        if protocol in without_request:
            without_request.remove(protocol)
            protocol.force_close()

    app.middlewares.append(note_request)
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        keepalive_timeout=limits.idle_timeout_s,
        max_line_size=limits.max_header_bytes,
        max_field_size=limits.max_header_bytes,
        lingering_time=LINGERING_TIME_S,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()

    def make_protocol():
        if len(runner.server.connections) >= limits.max_connections:
            return _RefusedConnection()
        protocol = runner.server()
        without_request.add(protocol)
        loop.call_later(limits.body_timeout_s, close_silent, protocol)
        return protocol

    loop = asyncio.get_running_loop()
    try:
        server = await loop.create_server(
            make_protocol, address, port, ssl=tls_context, backlog=1024
        )
        opened(server)
        try:
            yield server.sockets[0].getsockname()[1]
        finally:
            server.close()
    finally:
        await runner.cleanup()
