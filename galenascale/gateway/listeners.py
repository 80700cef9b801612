"""HTTP listeners of a host for callers, readiness, peers and metrics."""

import asyncio
import logging

import attrs
from aiohttp import web

from galenascale.gateway.caller_connection import CallerConnection
from galenascale.gateway.configuration import CallerLimits
from galenascale.gateway.sockets import split_address

# Connections that the kernel queues until they are accepted.
BACKLOG = 1024

# aiohttp's log lines about malformed requests do not identify the caller.
_MUTED_LOGGER = logging.getLogger("galenascale.gateway.http")
_MUTED_LOGGER.addHandler(logging.NullHandler())
_MUTED_LOGGER.propagate = False


@attrs.frozen
class ListenerLimits:
    """What the callers of one listener may make the host hold."""

    # CallerMemory, shared with other listeners.
    memory: object
    # Called with the name of a limit that a caller met, and its connection.
    on_limit: object


class CallerServer(web.Server):
    """
    HTTP server whose limits follow the operator's configuration.

    `limits` returns the current CallerLimits; each connection keeps those in
    force when it was opened. `own_limits` are the ListenerLimits.
    """

    def __init__(self, handler, limits, own_limits):
        super().__init__(handler, handler_cancellation=True)
        self._handler_loop = asyncio.get_running_loop()
        self._limits = limits
        self._own_limits = own_limits

    def __call__(self):
        return CallerConnection(
            self,
            loop=self._handler_loop,
            limits=self._limits(),
            memory=self._own_limits.memory,
            on_limit=self._own_limits.on_limit,
            logger=_MUTED_LOGGER,
        )

    def close_idle(self):
        """
        Close the connections on which no request is being handled.

        aiohttp's own close ignores a request that arrives afterwards but
        leaves the connection open, so the caller would wait in vain.
        """
        for connection in self.connections:
            if not connection.is_handling:
                connection.force_close()


async def listen(stack, server, address):
    """Listen on "host:port" until the stack closes; return the listener."""
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, host, port, backlog=BACKLOG)
    stack.callback(listener.close)
    return listener


def make_internal_server(handler, own_limits, body_bytes):
    """Return a server with default limits, for calls of small bodies."""
    limits = CallerLimits(body_bytes=body_bytes)
    return CallerServer(handler, lambda: limits, own_limits)
