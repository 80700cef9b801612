"""Forwarding of online requests to backend servers."""

import asyncio

import attrs

from galenascale.errors import BackendError
from galenascale.gateway.admission import fingerprint
from galenascale.gateway.attempts import MIN_REMAINING_S, AttemptPlan, RequestEnded
from galenascale.gateway.configuration import RequestKind
from galenascale.gateway.dispatch import Dispatcher
from galenascale.gateway.event_stream import EventSplitter
from galenascale.gateway.placing import Placer
from galenascale.gateway.slots.leases import SlotRefused
from galenascale.generated.gateway_messages import SlotOutcome


@attrs.frozen
class Answer:
    """A whole answer of a backend server."""

    head: object
    body: bytes = attrs.field(repr=False)


class Forwarder:
    """Serves one request by one or more backend servers."""

    def __init__(self, parts):
        self._parts = parts
        self._dispatcher = Dispatcher(parts)

    def plan(self, request, route, now):
        """Return the AttemptPlan of a request that arrived at a time."""
        patience_s = route.timeout_s
        if request.patience_s is not None:
            patience_s = min(patience_s, request.patience_s)
        return AttemptPlan(route, arrived_at=now, deadline=now + patience_s)

    async def forward(self, request, route, plan, caller):
        """
        Serve a request; return its Answer, or None if it went to the caller.

        `caller` gets the events of a stream. Raise RequestEnded if the request
        is given up.
        """
        run = _Run(self._parts, self._dispatcher, request, route, plan, caller)
        try:
            now = self._parts.clock.monotonic()
            async with asyncio.timeout(plan.remaining_s(now)):
                return await run.serve()
        except TimeoutError:
            raise plan.end("time is up", plan.deadline) from None


class _Run:
    """One request on its way."""

    def __init__(self, parts, dispatcher, request, route, plan, caller):
        self._parts = parts
        self._dispatcher = dispatcher
        self._placer = Placer(parts, dispatcher)
        self._request = request
        self._route = route
        self._plan = plan
        self._caller = caller
        self._services = service_order(route, parts.rng)
        self._last_event_id = request.resume_after
        self._started = False
        self._placed = None
        self._last_failure = None
        self._content_key = fingerprint(request)
        self._held_bytes = parts.settings.held_answer_bytes

    def _now(self):
        return self._parts.clock.monotonic()

    async def serve(self):
        while True:
            try:
                placed = await self._next_placed()
            except RequestEnded:
                if self._last_failure is not None and not self._started:
                    return self._last_failure
                raise
            try:
                answer, done = await self._send(placed)
            except BackendError as error:
                await self._note_broken(placed, error)
                self._end_if_not_replaceable()
                continue
            self._log_send(placed, "answered" if done else "refused", answer)
            if done:
                return answer

    async def _send(self, placed):
        """Return (Answer or None, whether the request is served)."""
        self._placed = placed
        with self._placer.held(placed):
            async with self._dispatcher.send(
                self._request, placed.server, self._plan, self._last_event_id
            ) as send:
                answer, done = await self._read_answer(send)
                failed = answer is not None and answer.head.status >= 500
                if not done and not failed:
                    placed.outcome = SlotOutcome.REFUSED
                else:
                    placed.outcome = (
                        SlotOutcome.FAILED if failed else SlotOutcome.SERVED
                    )
        return answer, done

    def _end_if_not_replaceable(self):
        """Raise RequestEnded if a part of a plain answer was sent."""
        if self._started and self._route.kind is not RequestKind.STREAMING:
            now = self._now()
            raise self._plan.end("answer broke off after its first part", now)

    async def _next_placed(self):
        plan = self._plan
        while True:
            now = self._now()
            if plan.remaining_s(now) < MIN_REMAINING_S:
                raise plan.end("time is up", plan.deadline)
            if not plan.may_run():
                raise plan.end("no further attempt is allowed", now)
            if self._parts.crashes.is_dangerous(self._content_key, now):
                raise plan.end("its content crashes servers", now)
            try:
                placed = await self._placer.place(
                    self._route, plan, self._services, self._content_key
                )
            except SlotRefused as error:
                raise self._refuse(error) from error
            if placed is not None:
                return placed
            pause_s = plan.next_pause_s(now)
            if pause_s is None:
                raise plan.end("no backend server takes it", now, retry_after_s=0.2)
            await asyncio.sleep(pause_s)

    def _refuse(self, refused):
        """Return the end of a request that is refused at once."""
        now = self._now()
        parts = self._parts
        retry_after_s = parts.admission.refuse(self._content_key, self._plan, now)
        parts.load.touch()
        reason = f"queues are too long, {refused}"
        return self._plan.end(reason, now, retry_after_s)

    async def _note_broken(self, placed, error):
        self._log_send(placed, error.code, None)
        if error.step == "connect":
            return
        self._plan.was_broken = True
        server = placed.server
        self._parts.health.failed(server.incarnation, self._now())
        self._parts.reachability.check_for_crash(server, self._content_key)
        if self._route.repeatable and not self._plan.may_run():
            await self._check_cut_off(server)

    async def _check_cut_off(self, server):
        """See whether a server that broke off can still be reached."""
        try:
            await self._parts.reachability.check(server)
        except BackendError as error:
            self._plan.was_cut_off()
            self._parts.log.write(
                "run_cut_off",
                request=self._request.request_id,
                server=server.server_id,
                reason=error.message,
            )

    def _log_send(self, placed, outcome, answer):
        parts = self._parts
        candidate = placed.candidate
        now = parts.clock.monotonic()
        parts.metrics.sends.labels(outcome).inc()
        parts.log.write(
            "send",
            request=self._request.request_id,
            server=candidate.server.server_id,
            online=candidate.online,
            batch=candidate.batch,
            slots=candidate.server.slots,
            quality=round(candidate.quality, 3),
            granted=placed.granted,
            waited_s=round(placed.waited_s, 4),
            elapsed_s=round(now - placed.placed_at, 4),
            first_event_s=placed.first_event_s,
            servers_age_s=round(now - (parts.servers.read_at or now), 3),
            config=parts.configuration.version,
            run=self._plan.runs,
            remaining_s=round(self._plan.remaining_s(now), 3),
            outcome=outcome,
            status=answer.head.status if answer else None,
        )

    async def _read_answer(self, send):
        """Return (Answer or None, whether the request is served)."""
        head = await send.read_head()
        if head.not_run:
            body = await send.read_body(self._held_bytes)
            self._plan.was_refused(send.server.incarnation)
            return Answer(head, body), False
        if self._route.kind is RequestKind.STREAMING and head.status == 200:
            await self._relay_events(send, head)
            return None, True
        return await self._read_whole(send, head)

    async def _read_whole(self, send, head):
        if self._is_too_long_to_hold(head):
            await self._relay_whole(send, head)
            return None, True
        answer = Answer(head, await send.read_body(self._held_bytes))
        parts = self._parts
        incarnation = send.server.incarnation
        if head.status < 500:
            parts.health.answered(incarnation, self._now())
            self._refuse_late_failure(answer.head)
            return answer, True
        parts.health.failed(incarnation, self._now())
        self._refuse_late_failure(answer.head)
        # Another server may do what this one failed to do.
        self._last_failure = answer
        return answer, not self._plan.may_run()

    def _is_too_long_to_hold(self, head):
        if head.status >= 500 or self._request.method == "HEAD":
            return False
        return head.length is not None and head.length > self._held_bytes

    async def _relay_whole(self, send, head):
        """Pass a long answer on as it comes; it can no longer be replaced."""
        self._refuse_late_failure(head)
        self._parts.health.answered(send.server.incarnation, self._now())
        while (piece := await send.connection.read()) is not None:
            await self._deliver(head, piece)
        send.complete = True
        await self._caller.finish()

    def _refuse_late_failure(self, head):
        if self._started:
            # The events of an earlier run were sent; this is no part of them.
            raise BackendError(
                f"run that goes on was answered {head.status}", code="resume_failed"
            )

    async def _relay_events(self, send, head):
        splitter = EventSplitter()
        first = True
        while (piece := await send.connection.read()) is not None:
            events = splitter.feed(piece)
            data = b"".join(event.raw for event in events if self._is_next(event))
            if not data:
                continue
            if first:
                first = False
                now = self._now()
                self._parts.health.answered(send.server.incarnation, now)
                self._placed.answered_at = now
                if self._placed.granted:
                    self._parts.admission.first_events.came(
                        send.server.service, now - send.sent_at
                    )
            await self._deliver(head, data)
        send.complete = True
        # A whole answer may end without a blank line.
        await self._deliver(head, splitter.pending)
        await self._caller.finish()

    def _is_next(self, event):
        if event.event_id is None:
            return True
        if self._last_event_id is not None and event.event_id <= self._last_event_id:
            return False
        self._last_event_id = event.event_id
        return True

    async def _deliver(self, head, data):
        if not self._started:
            self._started = True
            await self._caller.start(head)
        if data:
            await self._caller.send(data)


def service_order(route, rng):
    """Return the services of a route, one drawn by weight first."""
    splits = [split for split in route.splits if split.weight > 0]
    if len(splits) < 2:
        return [split.service for split in splits]
    drawn = rng.choices(splits, [split.weight for split in splits])[0]
    others = [split.service for split in splits if split is not drawn]
    return [drawn.service, *others]
