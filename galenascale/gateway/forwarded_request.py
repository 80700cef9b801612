"""One online request on its way to a backend server and back."""

import asyncio
import math

from galenascale.errors import BackendError
from galenascale.gateway.admission import fingerprint
from galenascale.gateway.attempt_log import attempt_outcome, log_attempt
from galenascale.gateway.attempts import MIN_REMAINING_S, RequestFailed
from galenascale.gateway.configuration import RequestKind
from galenascale.gateway.crashes import InterruptedRun, block_reason
from galenascale.gateway.dispatch import read_refusal
from galenascale.gateway.event_stream import EventSequence, EventStreamParser
from galenascale.gateway.execution import is_failure, is_unfounded_promise
from galenascale.gateway.output_limits import OutputLimit
from galenascale.gateway.requests import BufferedResponse
from galenascale.gateway.server_selection import (
    ServerSelector,
    service_order,
    slot_fields,
    slot_outcome,
)
from galenascale.gateway.slots.leases import SlotRefused
from galenascale.gateway.slots.pool_servers import size_reason
from galenascale.gateway.suspect_exchange import record_start


class ForwardedRequest:
    """A request that is being forwarded, over all its attempts."""

    def __init__(self, context, dispatcher, request, route, plan, caller):
        self._context = context
        self._dispatcher = dispatcher
        self._selector = ServerSelector(context, dispatcher)
        self._request = request
        self._route = route
        self._plan = plan
        self._caller = caller
        self._services = service_order(route, context.rng)
        self._sequence = EventSequence(request.resume_after)
        self._output = OutputLimit(
            request.max_output_tokens or math.inf, events=request.resume_after or 0
        )
        self._response_started = False
        self._selected = None
        self._last_error_response = None
        self._content_key = fingerprint(request)
        self._part_keys = request.part_keys
        self._max_buffer_bytes = context.settings.held_answer_bytes

    def _now(self):
        return self._context.clock.monotonic()

    async def serve(self):
        """
        Return the BufferedResponse, or None if it was streamed.

        Raise RequestFailed if the request cannot be served.
        """
        while True:
            try:
                selected = await self._select_server()
            except RequestFailed:
                if self._last_error_response is not None and not self._response_started:
                    return self._last_error_response
                raise
            try:
                response, served = await self._send(selected)
            except BackendError as error:
                await self._record_broken_run(selected, error)
                self._raise_if_not_resumable(error)
                continue
            self._log_attempt(selected, attempt_outcome(response, served), response)
            if served:
                return response

    async def _send(self, selected):
        """Send one attempt; return what _read_response() returns."""
        self._selected = selected
        with self._selector.hold_slot(selected):
            # It may have waited for the slot.
            self._raise_if_blocked(self._now())
            async with self._dispatcher.send(
                self._request,
                selected.server,
                self._plan,
                self._sequence.last_id,
                selected.lease,
            ) as attempt:
                unanswered = self._context.unanswered
                with unanswered.watch(attempt.connection, self._part_keys):
                    response, served = await self._read_response(attempt)
                selected.outcome = slot_outcome(attempt.meaning, response, served)
        return response, served

    def _raise_if_not_resumable(self, error):
        """
        Raise RequestFailed if another server cannot continue the response.

        That is so after a part of a plain response, and after more events than
        were asked for, which the caller has already.
        """
        if not self._response_started:
            return
        is_stream = self._route.kind is RequestKind.STREAMING
        if not is_stream or error.code == "output_too_long":
            reason = f"response was cut off after its start: {error.message}"
            raise self._plan.make_error(reason, self._now())

    async def _select_server(self):
        plan = self._plan
        while True:
            now = self._now()
            if plan.remaining_s(now) < MIN_REMAINING_S:
                raise plan.make_error("time is up", plan.deadline)
            if not plan.may_run():
                raise plan.make_error("no further attempt is allowed", now)
            self._raise_if_blocked(now)
            self._selector.leave_out_other_weights(
                plan, self._services, self._request.expected_version
            )
            try:
                selected = await self._selector.select(
                    self._route,
                    plan,
                    self._services,
                    self._content_key,
                    **slot_fields(self._request, resumes=bool(self._sequence.last_id)),
                )
            except SlotRefused as error:
                raise self._record_refusal(error) from error
            if selected is not None:
                return selected
            backoff_s = plan.next_backoff_s(now)
            if backoff_s is None:
                raise plan.make_error(
                    "no backend server accepted the request", now, retry_after_s=0.2
                )
            await asyncio.sleep(backoff_s)

    def _raise_if_blocked(self, now):
        """Raise RequestFailed for what crashes servers or fits no engine."""
        context = self._context
        reason = block_reason(context, self._content_key, self._part_keys, now)
        if reason is None:
            needed = self._request.memory_tokens
            reason = size_reason(context.configuration, self._services, needed)
        if reason is not None:
            raise self._plan.make_error(reason, now)

    def _record_refusal(self, refused):
        """Record a refusal of a slot owner; return the resulting error."""
        now = self._now()
        context = self._context
        retry_after_s = context.admission.refuse(self._content_key, self._plan, now)
        if refused.limited:
            # The owner knows when there is room.
            retry_after_s = refused.wait_s
        context.load.mark_changed()
        if refused.beyond_share:
            context.metrics.count_rejection(self._request.tenant, "beyond_share")
        reason = f"queues are too long, {refused}"
        return self._plan.make_error(reason, now, retry_after_s)

    async def _record_broken_run(self, selected, error):
        self._log_attempt(selected, error.code, None)
        if error.step == "connect":
            return
        self._plan.had_connection_failure = True
        server = selected.server
        self._context.health.record_failure(server.incarnation, self._now())
        # A run that goes on after some events was begun elsewhere.
        begun = bool(self._sequence.last_id or selected.first_event_at)
        run = InterruptedRun.from_request(self._request, begun=begun, at=self._now())
        self._context.reachability.check_for_crash(server, run)
        if self._route.repeatable and not self._plan.may_run():
            await self._check_server_loss(server)

    async def _check_server_loss(self, server):
        """Exempt a run from the attempt limit if its server is gone."""
        try:
            await self._context.reachability.check(server)
        except BackendError as error:
            self._plan.record_server_loss()
            self._context.log.write(
                "run_cut_off",
                request=self._request.request_id,
                server=server.server_id,
                reason=error.message,
            )

    def _log_attempt(self, selected, outcome, response):
        log_attempt(
            self._context, self._request, self._plan, selected, outcome, response
        )

    async def _read_response(self, attempt):
        """
        Return the response and whether the request is served.

        The response is None if it was streamed to the caller.
        """
        head = await attempt.read_head()
        if head.not_run:
            # The head says it, whatever becomes of the body.
            self._plan.record_refusal(attempt.server.incarnation)
            body = await read_refusal(self._context, attempt, self._max_buffer_bytes)
            return BufferedResponse(head, body), False
        if self._route.kind is RequestKind.STREAMING and head.status == 200:
            await self._relay_events(attempt, head)
            return None, True
        return await self._read_body(attempt, head)

    async def _read_body(self, attempt, head):
        if self._exceeds_buffer(head):
            await self._stream_body(attempt, head)
            return None, True
        response = BufferedResponse(
            head, await attempt.read_body(self._max_buffer_bytes)
        )
        context = self._context
        incarnation = attempt.server.incarnation
        if not is_failure(head):
            context.health.record_success(incarnation, self._now())
            self._raise_if_started(response.head)
            if head.status < 400:
                record_start(context, self._part_keys)
            return response, True
        context.health.record_failure(incarnation, self._now())
        self._raise_if_started(response.head)
        if is_unfounded_promise(head):
            # The caller gets another server's answer or the plan's error.
            return response, False
        # Another server may succeed.
        self._last_error_response = response
        return response, not self._plan.may_run()

    def _exceeds_buffer(self, head):
        if is_failure(head) or self._request.method == "HEAD":
            return False
        return head.length is not None and head.length > self._max_buffer_bytes

    async def _stream_body(self, attempt, head):
        """Stream a long response; it is not retried once started."""
        self._raise_if_started(head)
        self._context.health.record_success(attempt.server.incarnation, self._now())
        while (piece := await attempt.connection.read()) is not None:
            await self._send_to_caller(head, piece)
        attempt.complete = True
        await self._caller.finish()

    def _raise_if_started(self, head):
        if self._response_started:
            # The caller already got events of an earlier run, which this
            # response does not continue.
            raise BackendError(
                f"resumed run returned status {head.status}", code="resume_failed"
            )

    async def _relay_events(self, attempt, head):
        parser = EventStreamParser()
        continues = self._response_started
        self._output.begin_run()
        while (piece := await attempt.connection.read()) is not None:
            events = self._sequence.take_new(parser.feed(piece), continues=continues)
            self._output.add_received(len(piece), new_events=len(events))
            if not events:
                continue
            if self._selected.first_event_at is None:
                self._record_first_event(attempt)
            await self._send_to_caller(head, b"".join(event.raw for event in events))
        if parser.is_inside_event:
            raise BackendError("stream ends inside an event", code="connection_broken")
        attempt.complete = True
        # Comments after the last event.
        await self._send_to_caller(head, parser.pending)
        await self._caller.finish()

    def _record_first_event(self, attempt):
        now = self._now()
        context = self._context
        context.health.record_success(attempt.server.incarnation, now)
        self._selected.first_event_at = now
        context.unanswered.remove(attempt.connection, self._part_keys)
        record_start(context, self._part_keys)
        if self._selected.granted:
            context.admission.first_event_latency.record(
                attempt.server.service, now - attempt.sent_at
            )

    async def _send_to_caller(self, head, data):
        if not self._response_started:
            self._response_started = True
            await self._caller.start(head)
        if data:
            await self._caller.send(data)
