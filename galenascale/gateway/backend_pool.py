"""Connections to backend servers, kept for reuse."""

import asyncio

from galenascale.errors import BackendError, Execution
from galenascale.gateway.backend_connection import BackendConnection
from galenascale.gateway.sockets import split_address

# Servers accept within some milliseconds; a dark one does not answer at all. A
# request tries another server soon, as it surely has not run; a check decides
# whether the server is out of reach.
REQUEST_CONNECT_TIMEOUT_S = 0.12
CHECK_CONNECT_TIMEOUT_S = 0.3
# Idle seconds after which a connection is closed if the server states nothing.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Seconds by which a connection is closed before the server's own timeout.
IDLE_MARGIN_S = 1.0
# Idle seconds after which a request that must not run twice gets a new
# connection: one that the server closes meanwhile leaves its outcome unknown.
NON_REPEATABLE_MAX_IDLE_S = 0.3
MAX_IDLE_PER_SERVER = 16


class BackendPool:
    """Lends connections by the incarnation of a backend server."""

    def __init__(self, parse_head):
        self._parse_head = parse_head
        self._idle_by_incarnation = {}

    async def acquire(self, server, *, repeatable):
        """
        Return a BackendConnection; raise BackendError (not run) if none.
        """
        connection = self._take_idle(server, repeatable)
        if connection is not None:
            return connection
        return await self._open(server, REQUEST_CONNECT_TIMEOUT_S)

    async def preconnect(self, server):
        """Open a connection for later; raise BackendError if it fails."""
        connection = await self._open(server, CHECK_CONNECT_TIMEOUT_S)
        connection.idle_since = asyncio.get_running_loop().time()
        connection.reusable = True
        self.release(server, connection)

    async def _open(self, server, timeout_s):
        host, port = split_address(server.address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: BackendConnection(self._parse_head), host, port
                )
        except TimeoutError as error:
            raise _unreachable(server, "no answer", code="connect_timeout") from error
        except OSError as error:
            raise _unreachable(server, repr(error), code="connect_failed") from error
        return connection

    def _take_idle(self, server, repeatable):
        now = asyncio.get_running_loop().time()
        idle = self._idle_by_incarnation.get(server.incarnation, [])
        while idle:
            connection = idle.pop()
            limit = _idle_limit_s(connection)
            if not repeatable:
                limit = min(limit, NON_REPEATABLE_MAX_IDLE_S)
            if connection.can_be_reused() and now - connection.idle_since < limit:
                return connection
            connection.abort()
        return None

    def release(self, server, connection):
        """Take a connection back whose answer was read to its end."""
        idle = self._idle_by_incarnation.setdefault(server.incarnation, [])
        if not connection.can_be_reused() or len(idle) >= MAX_IDLE_PER_SERVER:
            connection.abort()
            return
        idle.append(connection)

    def close_idle(self):
        """Close the connections that were idle for too long."""
        now = asyncio.get_running_loop().time()
        for incarnation, idle in list(self._idle_by_incarnation.items()):
            kept = []
            for connection in idle:
                if (
                    connection.can_be_reused()
                    and now - connection.idle_since < _idle_limit_s(connection)
                ):
                    kept.append(connection)
                else:
                    connection.abort()
            if kept:
                self._idle_by_incarnation[incarnation] = kept
            else:
                del self._idle_by_incarnation[incarnation]

    def close_server(self, incarnation):
        """Close the idle connections to a server that is gone."""
        for connection in self._idle_by_incarnation.pop(incarnation, ()):
            connection.abort()

    def close(self):
        """Close all idle connections."""
        for incarnation in list(self._idle_by_incarnation):
            self.close_server(incarnation)


def _unreachable(server, reason, *, code):
    return BackendError(
        f"cannot connect: {reason}",
        code=code,
        step="connect",
        peer=server.server_id,
        execution=Execution.NOT_RUN,
    )


def _idle_limit_s(connection):
    if connection.keep_alive_s is None:
        return DEFAULT_IDLE_TIMEOUT_S
    return max(0.0, connection.keep_alive_s - IDLE_MARGIN_S)
