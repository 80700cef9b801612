"""HTTP listeners of a host for callers, readiness, peers and metrics."""

import asyncio
import logging

import attrs
from aiohttp import web

from galenascale.gateway.attempts import not_run_error
from galenascale.gateway.bounded_connection import OVERLOAD_RETRY_S
from galenascale.gateway.caller_connection import CallerConnection
from galenascale.gateway.configuration import CallerLimits
from galenascale.gateway.connection_limits import choose_idle
from galenascale.gateway.sockets import split_address

# aiohttp's log lines about malformed requests do not identify the caller.
_MUTED_LOGGER = logging.getLogger("galenascale.gateway.http")
_MUTED_LOGGER.addHandler(logging.NullHandler())
_MUTED_LOGGER.propagate = False


@attrs.frozen
class ListenerBudget:
    """What the callers of one listener may make the host hold."""

    # CallerMemory, shared with other listeners.
    memory: object
    max_connections: int
    # Called with the name of a limit that a caller met, and its connection.
    on_limit: object
    # Called with the CutAnswer of a caller, and its connection.
    on_cut: object = lambda cut, connection: None


class CallerServer(web.Server):
    """
    HTTP server whose limits follow the operator's configuration.

    `limits` returns the current CallerLimits; each connection keeps those in
    force when it was opened. `budget` are the ListenerBudget.
    """

    def __init__(self, handler, limits, budget):
        super().__init__(handler, handler_cancellation=True)
        self._handler_loop = asyncio.get_running_loop()
        self._limits = limits
        self._budget = budget

    def __call__(self):
        return CallerConnection(
            self,
            loop=self._handler_loop,
            limits=self._limits(),
            memory=self._budget.memory,
            on_limit=self._budget.on_limit,
            on_cut=self._budget.on_cut,
            auto_decompress=False,
            logger=_MUTED_LOGGER,
        )

    def connection_made(self, handler, transport):
        """Register a connection; one gives way if there are too many."""
        super().connection_made(handler, transport)
        if len(self.connections) <= self._budget.max_connections:
            return
        others = [
            each
            for each in self.connections
            if each is not handler and not each.is_closing
        ]
        if len(others) < self._budget.max_connections:
            return
        self._budget.on_limit("connections", handler)
        idle = choose_idle(others)
        if idle is not None:
            idle.give_way()
            return
        handler.refuse(
            not_run_error(
                "too many connections",
                code="too_many_connections",
                retry_after_s=OVERLOAD_RETRY_S,
            )
        )

    def untaken_answers(self):
        """Return the UntakenBytes of the connections that have any."""
        states = [connection.untaken for connection in self.connections]
        return [state for state in states if state.total]

    async def leave_to_kernel(self, wait_s):
        """Give the kernel what it takes in `wait_s` seconds; drop the rest."""
        if not self.connections:
            return
        for connection in self.connections:
            connection.leave_to_kernel()
        await asyncio.sleep(wait_s)
        for connection in self.connections:
            connection.drop_unsent()

    def close_idle(self):
        """
        Close the connections on which no request is being handled.

        aiohttp's own close ignores a request that arrives afterwards but
        leaves the connection open, so the caller would wait in vain.
        """
        for connection in self.connections:
            if not connection.is_handling:
                connection.force_close()


async def listen(stack, server, address, backlog):
    """
    Listen on "host:port" until the stack closes; return the listener.

    `backlog` is the number of connections that wait to be accepted.
    """
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, host, port, backlog=backlog)
    stack.callback(listener.close)
    return listener


def make_internal_server(handler, budget, body_bytes):
    """Return a server with default limits, for calls of small bodies."""
    limits = CallerLimits(body_bytes=body_bytes)
    return CallerServer(handler, lambda: limits, budget)
