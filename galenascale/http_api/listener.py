"""The caller listener with its limits on connections and header lines."""

import asyncio
import contextlib

from aiohttp import web

from galenascale.errors import Refused
from galenascale.gateway.caller_connection import CallerConnection
from galenascale.gateway.caller_memory import DEFAULT_BUDGET_BYTES, CallerMemory
from galenascale.gateway.configuration import CallerLimits
from galenascale.gateway.responses import encode_last_response
from galenascale.http_api.errors import error_body, error_headers
from galenascale.logs import get_logger

log = get_logger("http")

# Callers that read slowly get this long when the listener closes.
SHUTDOWN_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.02
# Time for which the rest of a refused body is read and dropped.
LINGERING_TIME_S = 2.0


class _RefusedConnection(asyncio.Protocol):
    """Answers 503 to a connection beyond the limit and closes it."""

    def connection_made(self, transport):
        error = Refused("too many connections", code="too_many_connections")
        transport.write(_encode_refusal(error))
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
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    memory = CallerMemory(DEFAULT_BUDGET_BYTES)

    def make_protocol():
        if len(runner.server.connections) >= limits.max_connections:
            return _RefusedConnection()
        protocol = CallerConnection(
            runner.server,
            loop=loop,
            limits=_connection_limits(limits),
            memory=memory,
            on_limit=_log_limit,
            encode_refusal=_encode_refusal,
            lingering_time=LINGERING_TIME_S,
        )
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
            await _wait_until_taken(runner.server)
    finally:
        await runner.cleanup()


async def _wait_until_taken(server):
    """Return once callers have taken their answers, or after a timeout."""
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + SHUTDOWN_TIMEOUT_S
    while loop.time() < give_up_at:
        if not any(connection.untaken.total for connection in server.connections):
            return
        await asyncio.sleep(POLL_INTERVAL_S)


def _connection_limits(limits):
    """Return the CallerLimits of a connection by the settings' limits."""
    return CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.body_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )


def _encode_refusal(error):
    headers = error_headers(error) | {"Content-Type": "application/json"}
    return encode_last_response(error.http_status, headers, error_body(error))


def _log_limit(limit, connection):
    log.debug("Caller %s met the limit %s.", connection.peername, limit)
