"""The listeners of a host: callers, readiness, other hosts and metrics."""

import asyncio
import logging

from aiohttp import web

from galenascale.gateway.configuration import CallerLimits
from galenascale.gateway.sockets import split_address

BACKLOG = 1024
# Headers of one request; their size has a limit of its own.
MAX_HEADERS = 256

# The library's own lines about broken requests say nothing of the caller.
_SILENT = logging.getLogger("galenascale.gateway.http")
_SILENT.addHandler(logging.NullHandler())
_SILENT.propagate = False


class CallerServer(web.Server):
    """HTTP server whose limits follow the operator's configuration."""

    def __init__(self, handler, limits):
        super().__init__(self._handle, handler_cancellation=True)
        self._answer = handler
        self._busy = set()
        self._handler_loop = asyncio.get_running_loop()
        self._limits = limits

    def __call__(self):
        limits = self._limits()
        return web.RequestHandler(
            self,
            loop=self._handler_loop,
            keepalive_timeout=limits.idle_timeout_s,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            max_headers=MAX_HEADERS,
            auto_decompress=False,
            access_log=None,
            logger=_SILENT,
        )

    async def _handle(self, request):
        self._busy.add(request.protocol)
        try:
            return await self._answer(request)
        finally:
            self._busy.discard(request.protocol)

    def close_idle(self):
        """
        Close the connections on which no request is being answered.

        The library's own close ignores a request that arrives afterwards, but
        leaves the connection open, so the caller would wait for nothing.
        """
        for connection in self.connections:
            if connection not in self._busy:
                connection.force_close()


async def listen(stack, server, address):
    """Listen on "host:port" until the stack closes; return the listener."""
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, host, port, backlog=BACKLOG)
    stack.callback(listener.close)
    return listener


def make_plain_server(handler):
    """Return a server for calls with small answers."""
    return CallerServer(handler, CallerLimits)
