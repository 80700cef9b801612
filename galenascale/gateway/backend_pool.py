"""Pool of connections to backend servers."""

import asyncio

from galenascale.errors import BackendError, Execution
from galenascale.gateway.backend_connection import BackendConnection
from galenascale.gateway.polling_timeout import polling_timeout
from galenascale.gateway.sockets import split_address

# Connect timeouts in seconds. Servers accept within some milliseconds; an
# unreachable one does not answer at all. A request soon tries another server,
# as it cannot have run; a health check waits longer, as it decides whether the
# server is unreachable.
REQUEST_CONNECT_TIMEOUT_S = 0.12
CHECK_CONNECT_TIMEOUT_S = 0.3
# Idle seconds after which a connection is closed if the server announces no
# timeout.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Seconds before the server's own idle timeout at which a connection is closed.
IDLE_MARGIN_S = 1.0
# Idle seconds after which a connection is not reused for a request that must
# not run twice: if the server closes it meanwhile, the outcome is unknown.
NON_REPEATABLE_MAX_IDLE_S = 0.3
MAX_IDLE_PER_SERVER = 16


class BackendPool:
    """Keeps idle connections by the incarnation of their backend server."""

    def __init__(self, parse_head):
        self._parse_head = parse_head
        self._idle_by_incarnation = {}

    async def acquire(self, server, request_id, *, repeatable):
        """
        Return an idle BackendConnection or open a new one.

        `repeatable` says whether the request may run twice. Raise BackendError
        (not run) if the server cannot be connected to.
        """
        connection = self._take_idle(server, request_id, repeatable)
        if connection is not None:
            return connection
        return await self._open(server, REQUEST_CONNECT_TIMEOUT_S)

    async def preconnect(self, server):
        """Add a new idle connection; raise BackendError if that fails."""
        connection = await self._open(server, CHECK_CONNECT_TIMEOUT_S)
        connection.idle_since = asyncio.get_running_loop().time()
        connection.reusable = True
        self.release(server, connection)

    async def _open(self, server, timeout_s):
        host, port = split_address(server.address)
        loop = asyncio.get_running_loop()
        try:
            async with polling_timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: BackendConnection(self._parse_head), host, port
                )
        except TimeoutError as error:
            raise _unreachable(server, "timed out", code="connect_timeout") from error
        except OSError as error:
            raise _unreachable(server, repr(error), code="connect_failed") from error
        return connection

    def _take_idle(self, server, request_id, repeatable):
        now = asyncio.get_running_loop().time()
        idle = self._idle_by_incarnation.get(server.incarnation, [])
        passed_over = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            limit = _idle_limit_s(connection)
            if not repeatable:
                limit = min(limit, NON_REPEATABLE_MAX_IDLE_S)
            if not connection.can_be_reused() or now - connection.idle_since >= limit:
                connection.abort()
            elif connection.has_failed(request_id):
                passed_over.append(connection)
            else:
                found = connection
        idle.extend(reversed(passed_over))
        return found

    def release(self, server, connection):
        """Return a connection to the pool after the end of its response."""
        idle = self._idle_by_incarnation.setdefault(server.incarnation, [])
        if not connection.can_be_reused() or len(idle) >= MAX_IDLE_PER_SERVER:
            connection.abort()
            return
        idle.append(connection)

    def close_idle(self):
        """Close the connections whose idle timeout has passed."""
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
        """Close the idle connections to a server that was removed."""
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
