"""State of one online request: relay, retry, resume and cancel."""

import asyncio

import attrs
import orjson
import xxhash

from galenascale.admission import Ticket
from galenascale.attempt_errors import RETRIABLE, final_error
from galenascale.attempt_reader import AttemptReader, broken
from galenascale.dispatch import Waiter, contained_error
from galenascale.errors import BackendError, Execution, Refused, UserError
from galenascale.logs import get_logger
from galenascale.poison import fingerprint
from galenascale.routing import RouteRequest, choose_version
from galenascale.stream_moves import StreamMoves

log = get_logger("online")

# A stream without a token for this long is broken off and resumed elsewhere.
STALL_S = 15.0
# Part of a prompt that decides on prefix affinity; shorter prompts than the
# minimum gain nothing from a cache.
PREFIX_CHARS = 512
MIN_PREFIX_CHARS = 128
# An engine that does not confirm a cancel by then is taken to have stopped.
CANCEL_TIMEOUT_S = 5.0


class OnlineRun:
    """State of one request while it is served."""

    def __init__(self, service, request):
        config = service.refresh_config()
        model = config.models_by_name.get(request.model)
        if model is None:
            raise UserError(
                f"model {request.model!r} does not exist",
                param="model",
                code="model_not_found",
                http_status=404,
            )
        # Before the version is added: versions share their verdicts.
        content = fingerprint(request.endpoint, request.body)
        version = request.body.get("version") or choose_version(
            request.request_id, model.versions
        )
        if len(model.versions) > 1:
            # The engine must continue a resumed answer with the same version.
            body = {**request.body, "version": version}
            request = attrs.evolve(request, body=body)
        self.service = service
        self.request = request
        self.dispatcher = service.dispatcher(model.service_name)
        ticket = Ticket(
            request.request_id,
            request.tenant,
            request.deadline,
            group=f"{request.model}/{version}",
        )
        route = RouteRequest(
            request.model,
            version,
            request.body.get("adapter") or "",
            _prefix_hash(request),
        )
        self.waiter = Waiter(ticket, route, content)
        self.attempt = 0
        self.charged_attempts = 1
        self.server = None
        self.execution = Execution.NOT_RUN
        self.sent_tokens = 0
        self.text_parts = []
        self.finished = False
        self.started_at = self.progress_at = 0.0
        self._expired = False
        self.reader = None
        self.moves = StreamMoves(service.mover, request.body)

    async def chunks(self):
        """Yield the chunks of the answer in order, each token once."""
        self.dispatcher.watchers.add(self._watch)
        place = self.dispatcher.admit
        try:
            while True:
                self.attempt += 1
                attempt_id = f"{self.request.request_id}/{self.attempt}"
                self.waiter.attempt_id = attempt_id
                self._start((await self._placed(place)).server)
                while (chunk := await self._next_chunk()) is not None:
                    yield chunk
                if self.finished:
                    return
                place = self.dispatcher.place_again
        finally:
            self.dispatcher.watchers.discard(self._watch)
            self._abandon()
            self.dispatcher.finish(self.waiter)

    async def _placed(self, place):
        try:
            return await place(self.waiter)
        except asyncio.CancelledError:
            # The choice may have been made while the caller went away.
            future = self.waiter.future
            placed = future and future.done() and not future.cancelled()
            if placed and future.exception() is None:
                self._end_attempt(future.result().server.name)
            raise
        except (Refused, BackendError) as error:
            if self.execution == Execution.NOT_RUN:
                raise
            raise final_error(error, self.execution) from error

    def _start(self, server):
        self.server = server
        self.started_at = self.progress_at = self.service.clock.monotonic()
        text = "".join(self.text_parts)
        stream = self.service.engine.stream(
            server, self.request, self.attempt, self.sent_tokens, text
        )
        self.reader = AttemptReader(self.moves.start(server, self.sent_tokens, stream))

    async def _next_chunk(self):
        """Return the next new chunk, or None when the attempt has ended."""
        while True:
            event = await self.reader.next()
            if isinstance(event, Exception) or event is None:
                await self._ended(event)
                return None
            self.progress_at = self.service.clock.monotonic()
            if event.usage and not event.text and not event.finish_reason:
                return event
            elif self.finished or event.index < self.sent_tokens:
                continue
            elif event.index > self.sent_tokens:
                message = f"token {event.index} came instead of {self.sent_tokens}"
                await self._ended(broken(message, code="stalled"))
                return None
            else:
                self.sent_tokens += 1
                self.text_parts.append(event.text)
                self.finished = event.finish_reason is not None
                return event

    def _watch(self, now):
        """Break off an attempt past its deadline or without progress."""
        if self.server is None or self._expired:
            return
        if now >= self.request.deadline:
            self._expired = True
            error = broken("deadline has passed", code="deadline_exceeded")
            self.reader.post(error)
        elif now >= self.progress_at + STALL_S and self.reader.is_empty:
            self.reader.post(broken("no token arrived", code="stalled"))
        elif self._should_move(now):
            self.reader.post(self.moves.ask())

    def _should_move(self, now):
        router, server_id = self.dispatcher.router, self.server.name
        # Without room elsewhere the stream goes on where it is.
        return (
            router.is_leaving(server_id)
            and self.moves.is_due(self.sent_tokens)
            and router.choose(self._route_elsewhere(server_id), now) is not None
        )

    async def _ended(self, error):
        """Settle an ended attempt; raise if it may not be retried."""
        if error is None and not self.finished:
            error = broken("stream ended before the answer did")
        server_id = self.server.name
        code = "" if error is None else error.code
        router, now = self.dispatcher.router, self.service.clock.monotonic()
        self.service.note_sign(server_id, code, self.started_at)
        verdict = None
        if self.finished:
            verdict = self._finished_content()
            router.note_success(server_id, now)
        elif code == "stream_broken":
            verdict = self._crashed_content()
            router.note_failure(server_id, now)
            # Copies of another content whose break is not noticed yet must
            # not go to a server that restarted at once.
            router.pause(server_id, now)
        elif code in ("connect_failed", "stalled"):
            router.note_failure(server_id, now, decisive=code == "connect_failed")
        elif code == "overloaded":
            router.pause(server_id, now)
        elif code == "leaving":
            router.note_leaving(server_id, now)
            self.service.on_leaving(server_id)
        if error is not None and error.execution != Execution.NOT_RUN:
            self.execution = Execution.MAY_HAVE_RUN
        if code == "moved":
            attempt_id = self.waiter.attempt_id
            await self.moves.export(self.server, attempt_id, self.sent_tokens)
        if code in ("moved", "stalled", "deadline_exceeded"):
            self._abandon()
        else:
            self._end_attempt(server_id)
        if verdict is not None:
            await logged(self.service.share(verdict))
        if not self.finished:
            self._check_retry(error, server_id)

    def _check_retry(self, error, server_id):
        if self.dispatcher.poison_contained(self.waiter):
            raise contained_error(Execution.FAILED)
        if error.code not in RETRIABLE:
            raise final_error(error, self.execution)
        # A planned stop sends requests away; that must not use up retries.
        if error.code not in ("leaving", "moved"):
            self.charged_attempts += 1
            if self.charged_attempts > self.dispatcher.max_attempts:
                raise final_error(error, self.execution)
            if not self.dispatcher.budget.try_withdraw():
                raise final_error(error, self.execution)
        self.waiter.route = self._route_elsewhere(server_id)

    def _route_elsewhere(self, server_id):
        route = self.waiter.route
        return attrs.evolve(route, avoid=route.avoid | {server_id})

    def _end_attempt(self, server_id):
        """Return what an attempt held that the engine no longer runs."""
        self.server = None
        self.dispatcher.poison.ended(self.waiter.content, self.waiter.attempt_id)
        self.dispatcher.attempt_ended(self.waiter, server_id)

    def _abandon(self):
        """Stop an attempt that the engine may still run."""
        if self.server is None:
            return
        self.reader.cancel()
        server = self.server
        if self.finished or self.reader.is_broken:
            settle = self._finished_content if self.finished else self._crashed_content
            verdict = settle()
            self._end_attempt(server.name)
            if verdict is not None:
                self.service.spawn(self.service.share(verdict))
            return
        self.server = None
        # The server stays reserved and the content in flight until the engine
        # has confirmed, else a caller who goes away and resends would let a
        # poisonous content run on more servers than allowed.
        reserved, self.waiter.reserved = self.waiter.reserved, None
        self.service.spawn(self._cancel(server, self.waiter.attempt_id, reserved))

    async def _cancel(self, server, attempt_id, reserved):
        content, poison = self.waiter.content, self.dispatcher.poison
        crashed = False
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                await self.service.engine.cancel(server, attempt_id)
        except BackendError as error:
            crashed = error.code in ("connect_failed", "stream_broken")
        finally:
            verdict = None
            if crashed:
                verdict = poison.crashed(content, attempt_id, self._wall_ms())
            poison.ended(content, attempt_id)
            self.dispatcher.cancelled(server.name, reserved)
        if verdict is not None:
            await self.service.share(verdict)

    def _finished_content(self):
        return self.dispatcher.poison.finished(
            self.waiter.content, self.waiter.attempt_id, self._wall_ms()
        )

    def _crashed_content(self):
        return self.dispatcher.poison.crashed(
            self.waiter.content, self.waiter.attempt_id, self._wall_ms()
        )

    def _wall_ms(self):
        return self.service.clock.wall_ms()


async def logged(awaitable):
    """Await something whose failure is logged and must not end a request."""
    try:
        return await awaitable
    except Exception as error:
        log.warning("Background work failed: %r.", error)
        return None


def _prefix_hash(request):
    body = request.body
    prompt = body.get("messages") or body.get("prompt") or ""
    text = prompt if isinstance(prompt, str) else orjson.dumps(prompt).decode()
    if len(text) < MIN_PREFIX_CHARS:
        return None
    return xxhash.xxh3_64_intdigest(f"{request.model}\0{text[:PREFIX_CHARS]}".encode())
