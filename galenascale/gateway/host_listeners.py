"""Opens the listeners of a host, and answers the calls that are internal."""

from aiohttp import web

from galenascale.errors import GalenascaleError
from galenascale.gateway.caller_body import CallerBody
from galenascale.gateway.caller_memory import CallerMemory
from galenascale.gateway.connection_limits import ConnectionLimits
from galenascale.gateway.jobs.relaying_store import STORE_CALL_PATH, answer_store_call
from galenascale.gateway.limit_log import LimitLog
from galenascale.gateway.listeners import (
    CallerServer,
    ListenerBudget,
    listen,
    make_internal_server,
)
from galenascale.gateway.peer_state import handle_state_request
from galenascale.gateway.responses import error_response
from galenascale.gateway.sockets import split_address
from galenascale.gateway.store_sizes import MAX_CALL_BYTES


class InternalHandlers:
    """
    Answers the calls of the balancer, other hosts and operators.

    `is_ready` returns whether the host is ready for new callers.
    """

    def __init__(self, context, followers, is_ready):
        self._context = context
        self._followers = followers
        self._is_ready = is_ready

    async def handle_ready(self, request):
        """Answer a readiness check."""
        return web.Response(status=200 if self._is_ready() else 503)

    async def handle_peer(self, request):
        """Answer a call of another host."""
        if request.path != STORE_CALL_PATH:
            return await handle_state_request(self._followers, request)
        count_limit = self._context.metrics.count_caller_limit
        body = CallerBody(request, MAX_CALL_BYTES, count_limit)
        try:
            return await answer_store_call(self._context.store, await body.read())
        except GalenascaleError as error:
            response = error_response(error)
            response.force_close()
            return response

    async def handle_metrics(self, request):
        """Return the metrics."""
        context = self._context
        metrics = context.metrics
        metrics.log_lines_waiting.set(context.log.queued_lines)
        metrics.caller_body_bytes.set(context.caller_memory.held_bytes)
        metrics.peers.set(len(context.peers.alive(context.clock.monotonic())))
        return web.Response(body=metrics.expose(), content_type="text/plain")


async def open_listeners(stack, context, handle_caller, internal):
    """
    Listen until the stack closes; return the callers' server and listener.

    `internal` are the InternalHandlers. Raise OSError if listening fails.
    """
    limits = ConnectionLimits.from_config(context.settings)
    limit_log = LimitLog(context.log, context.clock, context.metrics)
    await _listen_internally(stack, context.settings, internal, limits, limit_log)

    server = CallerServer(
        handle_caller,
        lambda: context.configuration.caller_limits,
        _make_budget(context.caller_memory, limits.callers, limit_log),
    )
    address = context.settings.caller_listen
    return server, await listen(stack, server, address, limits.backlog)


def _make_budget(memory, max_connections, limit_log):
    return ListenerBudget(
        memory, max_connections, limit_log.record, limit_log.record_cut
    )


async def _listen_internally(stack, settings, internal, limits, limit_log):
    """Listen for others than callers; they have a memory of their own."""
    memory = CallerMemory.from_config(settings)
    budget = _make_budget(memory, limits.internal, limit_log)
    handlers_by_address = {
        settings.ready_listen: internal.handle_ready,
        settings.peer_listen: internal.handle_peer,
    }
    if settings.metrics_port:
        host, _ = split_address(settings.peer_listen)
        address = f"{host}:{settings.metrics_port}"
        handlers_by_address[address] = internal.handle_metrics
    for address, handler in handlers_by_address.items():
        server = make_internal_server(handler, budget, MAX_CALL_BYTES)
        await listen(stack, server, address, limits.backlog)
