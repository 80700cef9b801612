"""Handles HTTP requests of callers: reads, routes and answers them."""

import asyncio

import attrs
from aiohttp import HttpVersion11

from galenascale.errors import GalenascaleError, UserError
from galenascale.gateway import responses
from galenascale.gateway.attempts import not_run_error
from galenascale.gateway.caller_body import CallerBody
from galenascale.gateway.configuration import RequestKind
from galenascale.gateway.execution import caller_status

# Retry-After in seconds while the host has no configuration.
NO_CONFIGURATION_RETRY_S = 0.5
# The same while it stops; the next attempt meets another host.
STOPPING_RETRY_S = 0.1
# Errors after which the connection closes: a body that was not read whole, and
# a host that the caller should leave.
CLOSING_STEPS = frozenset(("read_body",))
CLOSING_CODES = frozenset(("configuration_unproven", "caller_memory_full"))


class RequestHandler:
    """Handles requests of callers and counts those in flight."""

    def __init__(self, context, forwarder, jobs, authenticator):
        self._context = context
        self._forwarder = forwarder
        self._jobs = jobs
        self._authenticator = authenticator
        # StopWindow of a host that stops.
        self._stop_window = None
        self.in_flight = 0

    @property
    def stopping(self):
        """Return True once the host stops."""
        return self._stop_window is not None

    def begin_stop(self, window):
        """Take only requests that end within a StopWindow."""
        self._stop_window = window
        self._jobs.begin_stop()

    async def handle(self, request):
        """Handle one HTTP request; called by the HTTP library."""
        self.in_flight += 1
        try:
            response = await self._respond(request)
        finally:
            self.in_flight -= 1
        if self.stopping:
            # If a stream has already started, the connection closes at the end
            # of the stream.
            response.force_close()
        return response

    async def _respond(self, request):
        if request.transport is None:
            raise asyncio.CancelledError
        responses.enable_silence_detection(request)
        arrived_at = self._context.clock.monotonic()
        try:
            caller_request = self._context.dialect.parse_request(
                request.method, request.raw_path, request.raw_headers
            )
        except GalenascaleError as error:
            return self._reject_malformed(error)
        exchange = _CallerExchange(self._context, request, caller_request, arrived_at)
        try:
            return await self._route(exchange)
        except GalenascaleError as error:
            response = exchange.fail(error)
            if error.step in CLOSING_STEPS or error.code in CLOSING_CODES:
                response.force_close()
            return response
        except asyncio.CancelledError:
            exchange.finish("caller_left")
            raise
        except Exception as error:
            # The HTTP library answers 500 and closes the connection.
            exchange.finish("request_fault", reason=repr(error))
            raise

    def _reject_malformed(self, error):
        self._context.log.write("request_malformed", "warning", reason=error.message)
        response = responses.error_response(error)
        response.force_close()
        return response

    async def _route(self, exchange):
        context = self._context
        request = exchange.request
        configuration = context.configuration
        if configuration.current is None:
            raise not_run_error(
                "host has no configuration yet",
                code="no_configuration",
                retry_after_s=NO_CONFIGURATION_RETRY_S,
            )
        call = context.dialect.parse_job_call(
            request.method, request.target, request.headers
        )
        if call is not None:
            self._authenticator.identify_call(request)
            return await self._jobs.answer_call(call, exchange)
        route = configuration.table.find(request.host, request.path)
        if route is None:
            raise UserError(
                f"no route for {request.host}{request.path}",
                code="no_route",
                http_status=404,
            )
        exchange.route = route
        self._authenticator.identify(request, route)
        await self._limit_rate(request, route)
        body = CallerBody(
            exchange.http_request,
            configuration.caller_limits.body_bytes,
            context.metrics.count_caller_limit,
        )
        request.body = await body.read()
        if route.kind is RequestKind.BATCH:
            body.reserve_for_job()
            return await self._jobs.submit(exchange, route)
        return await self._forward(exchange, route)

    async def _limit_rate(self, request, route):
        """Raise RequestFailed (429) if the tenant sends too many requests."""
        if request.tenant and route.kind is not RequestKind.BATCH:
            await self._context.rates.admit(request.tenant)

    def _refuse_if_stopping(self, plan):
        """Raise RequestFailed (503) if the stop might cut a request off."""
        window = self._stop_window
        now = self._context.clock.monotonic()
        if window is not None and window.would_cut(now, plan.deadline):
            raise not_run_error(
                "host stops before the request is done",
                code="host_stopping",
                retry_after_s=STOPPING_RETRY_S,
            )

    async def _forward(self, exchange, route):
        plan = self._forwarder.plan(exchange.request, route, exchange.arrived_at)
        self._refuse_if_stopping(plan)
        _check_version(exchange.http_request, route)
        caller = responses.CallerStream(
            exchange.http_request, exchange.record_first_part
        )
        try:
            buffered = await self._forwarder.forward(
                exchange.request, route, plan, caller
            )
        except GalenascaleError as error:
            if caller.response is None:
                raise
            exchange.finish(error.code, reason=error.message)
            caller.abort()
            return caller.response
        if buffered is None:
            gap_s = round(caller.longest_gap_s, 4)
            exchange.finish("streamed", pause_s=gap_s)
            return caller.response
        exchange.finish("answered", status=buffered.head.status)
        return responses.to_web_response(buffered)


def _check_version(http_request, route):
    """Raise UserError if the caller's version of HTTP has no streams."""
    if route.kind is RequestKind.STREAMING and http_request.version < HttpVersion11:
        raise UserError("a stream needs HTTP/1.1", code="http_version")


@attrs.define
class _CallerExchange:
    """A request of a caller, for the log and metrics of its result."""

    context: object
    http_request: object
    request: object
    arrived_at: float
    route: object = None
    first_part_at: float | None = None

    def record_first_part(self):
        """Record the time at which the first part of the response is sent."""
        self.first_part_at = self.context.clock.monotonic()

    def finish(self, outcome, **fields):
        """Log the result of the request and update the metrics."""
        now = self.context.clock.monotonic()
        name = self.route.name if self.route else "none"
        self.context.metrics.requests.labels(name, outcome).inc()
        self.context.metrics.request_seconds.labels(name).observe(now - self.arrived_at)
        if self.first_part_at is not None:
            fields["first_part_s"] = round(self.first_part_at - self.arrived_at, 4)
            self.context.metrics.first_part_seconds.labels(name).observe(
                self.first_part_at - self.arrived_at
            )
        if self.route:
            fields["objective_s"] = self.route.objective_s
        self.context.log.write(
            "request",
            request=self.request.request_id,
            route=name,
            config=self.context.configuration.version,
            tenant=self.request.tenant,
            outcome=outcome,
            elapsed_s=round(now - self.arrived_at, 4),
            **fields,
        )

    def fail(self, error):
        """Finish the request with an error and return its HTTP response."""
        self.finish(
            error.code,
            reason=error.message,
            status=caller_status(error),
            execution=str(error.execution),
            caller=self.http_request.remote,
        )
        return responses.error_response(error)
