"""Stand-in for a model engine; see docs/backend-api.md and docs/dev.md."""

import asyncio
import collections
import contextlib

import aiohttp
from aiohttp import web

from galenascale.errors import UserError
from galenascale.standins.backend import BackendStandin
from galenascale.standins.engine_kv import KvTransferRoutes
from galenascale.standins.engine_model import EngineModel
from galenascale.standins.engine_orders import (
    FencingGuard,
    LoadedModels,
    Order,
    StaleFencingNumber,
)
from galenascale.standins.engine_requests import (
    CHAT,
    COMPLETIONS,
    BufferedCompletion,
    EngineRequest,
    StreamedCompletion,
    TokenSink,
    completion_response,
)
from galenascale.standins.engine_text import completion_text
from galenascale.standins.reports import CacheEventLog
from galenascale.standins.server import error_response, json_response, read_json

# Longest delay that the decode loop catches up on. After a longer one, such as
# a suspended process, the missed steps are skipped.
MAX_CATCH_UP_S = 0.25
FETCH_TIMEOUT = aiohttp.ClientTimeout(total=10)
LEAVING_HEADERS = {"X-Leaving": "true"}
# Non-standard status that many servers use for "client closed request".
STATUS_CANCELLED = 499


class EngineStandin(BackendStandin):
    """HTTP server around an EngineModel, with one decode loop."""

    cancels_on_disconnect = True

    def __init__(self, settings, clock=None):
        super().__init__(settings, clock)
        self.fencing = FencingGuard(settings.checks_fencing)
        self.resume_mismatches = 0
        self._wake = asyncio.Event()
        self.session = None
        self.reset()

    def reset(self):
        """Discard all streams, caches and models loaded by orders."""
        super().reset()
        settings = self.settings
        self.model = EngineModel(settings)
        self.model.time_factor = self.faults.slow
        self.loaded = LoadedModels(settings.models)
        self.role = "mixed"
        self.draining = False
        self.cache_events = CacheEventLog(
            settings.cache_event_lag_s, settings.cache_event_gap, settings.seed
        )
        self.exports_by_id = collections.OrderedDict()

    def routes(self):
        """Return the routes of docs/backend-api.md."""
        return [
            web.post(CHAT, self._complete),
            web.post(COMPLETIONS, self._complete),
            web.get("/v1/models", self._models),
            web.post("/v1/cancel", self._cancel),
            web.get("/load", self.get_load),
            web.get("/state", self._state),
            web.post("/orders", self._order),
            *KvTransferRoutes(self).routes(),
            web.get("/cache-events", self._cache_events),
        ]

    async def start(self):
        """Start listening and start the decode loop."""
        self.session = aiohttp.ClientSession(timeout=FETCH_TIMEOUT)
        await super().start()
        self.run_in_background(self._decode())

    async def stop(self):
        """Stop the decode loop and close all connections."""
        await super().stop()
        if self.session is not None:
            await self.session.close()

    @property
    def leaving(self):
        """Whether new requests are rejected."""
        return self.faults.leave or self.draining

    def apply_faults(self):
        """Apply the slowdown factor and wake the decode loop."""
        self.model.time_factor = self.faults.slow
        self._wake.set()

    # --- Decode loop

    async def _decode(self):
        while True:
            at = self.model.next_step_end
            if at is None or self.faults.hang:
                self._wake.clear()
                await self._wake.wait()
                continue
            delay = at - self.clock.monotonic()
            await self.clock.sleep(max(0.0, delay))
            if not self.faults.hang:
                self._step(self.clock.monotonic())

    def _step(self, now):
        """Complete the steps that are due and send their tokens."""
        model = self.model
        model.postpone_step(now - MAX_CATCH_UP_S)
        for token in model.advance(now):
            stream, sink = token.stream, token.stream.sink
            if sink.crashes:
                self.crash()
                return
            if sink.disconnect_at == token.index:
                sink.completion.disconnect(sink.transport)
            sink.completion.add_token(
                stream, token.index, "length" if token.final else None
            )
        for event in model.prefix_cache.take_events():
            self.cache_events.add(now, event)

    # --- Completions

    async def _complete(self, request):
        body = await read_json(request)
        parsed = EngineRequest.parse(
            request.path, body, request.headers.get("X-Request-Id")
        )
        if refusal := self._rejection(parsed):
            return refusal
        stream = parsed.to_stream(self.loaded.version_for(parsed.model))
        if parsed.resumed_text != completion_text(stream.digest, 0, parsed.first_token):
            self.resume_mismatches += 1
        completion = (
            StreamedCompletion(parsed) if parsed.stream else BufferedCompletion()
        )
        stream.sink = TokenSink.from_request(
            self.faults, parsed, completion, request.transport
        )
        model = self.model
        try:
            model.submit(self.clock.monotonic(), stream)
        except ValueError as error:
            code = (
                "duplicate_attempt"
                if model.has_attempt(parsed.request_id)
                else "too_long"
            )
            return error_response(
                409 if code == "duplicate_attempt" else 400, code, str(error)
            )
        self._wake.set()
        try:
            if parsed.stream:
                return await self._respond_streamed(request, parsed, stream)
            return await self._respond_whole(parsed, stream)
        finally:
            # aiohttp cancels this handler when the connection closes.
            if not stream.is_ended:
                model.cancel(parsed.request_id)

    def _rejection(self, parsed):
        if self.leaving:
            return error_response(
                503, "leaving", "the server is leaving", LEAVING_HEADERS
            )
        if self.loaded.version_for(parsed.model) is None:
            return error_response(
                404, "model_not_loaded", f"{parsed.model_text} is not loaded"
            )
        if len(self.model.queue) >= self.settings.max_queue:
            return error_response(429, "queue_full", "the queue is full")
        return None

    async def _respond_whole(self, parsed, stream):
        reason = await stream.sink.completion.finished
        status = STATUS_CANCELLED if reason == "cancelled" else 200
        return json_response(completion_response(parsed, stream, reason), status)

    async def _respond_streamed(self, request, parsed, stream):
        completion = stream.sink.completion
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        # A client that disconnects ends its response, not the stand-in.
        with contextlib.suppress(ConnectionResetError):
            await response.prepare(request)
            reason = await completion.send_to(response, request.transport)
            if reason == "cancelled":
                await response.write(
                    completion.encode_event(stream.generated, "", reason)
                )
            if parsed.include_usage:
                await response.write(completion.encode_usage_event(stream))
            await response.write(b"data: [DONE]\n\n")
        return response

    async def _cancel(self, request):
        body = await read_json(request)
        stream = self.model.cancel(body.get("request_id"))
        if stream is None:
            return json_response({"cancelled": False, "tokens": 0})
        stream.sink.completion.finish("cancelled")
        return json_response({"cancelled": True, "tokens": stream.generated})

    # --- Reports

    def load_report(self):
        """Return the current load report."""
        model = self.model
        return {
            "server_id": self.settings.server_id,
            "at_ms": self.clock.wall_ms(),
            "running": len(model.running),
            "queued": len(model.queue),
            "slots": self.settings.slots,
            "kv_used_tokens": model.used_tokens,
            "kv_tokens": self.settings.kv_tokens,
            "role": self.role,
            "leaving": self.leaving,
            "models": self.loaded.report(),
        }

    async def _state(self, _):
        more = {
            "fencing": self.fencing.highest,
            "generated_tokens": self.model.generated_tokens,
            "prefilled_tokens": self.model.prefilled_tokens,
            "resume_mismatches": self.resume_mismatches,
            "incarnation": self.incarnation,
        }
        return json_response(self.load_report() | more)

    async def _models(self, _):
        data = [
            {"id": f"{item['name']}@{item['version']}", "object": "model"}
            for item in self.loaded.report()
        ]
        return json_response({"object": "list", "data": data})

    async def _cache_events(self, request):
        try:
            after = int(request.query.get("after", -1))
        except ValueError as error:
            raise UserError("after must be an integer", param="after") from error
        return json_response(self.cache_events.read(self.clock.monotonic(), after))

    # --- Orders

    async def _order(self, request):
        order = Order.parse(await read_json(request))
        try:
            self.fencing.check(order.fencing)
        except StaleFencingNumber as error:
            return _stale_fencing_response(error)
        if order.action == "set_role":
            self.role = order.target
        elif order.action == "drain":
            self.draining = True
        else:
            self.loaded.check(order)
            if order.action.startswith("load"):
                await self._fetch_weights(order)
                # A newer lease holder may have sent orders meanwhile.
                try:
                    self.fencing.check(order.fencing)
                except StaleFencingNumber as error:
                    return _stale_fencing_response(error)
            self.loaded.apply(order)
        return json_response({"applied": True})

    async def _fetch_weights(self, order):
        if self.settings.platform_url:
            name = order.target.replace("/", "%2F")
            url = f"{self.settings.platform_url}/v1/weights/{name}"
            async with self.session.get(
                f"{url}/{order.version or '-'}",
                params={"bytes": str(order.bytes)},
                headers={"X-Failure-Domain": self.settings.failure_domain},
            ) as response:
                response.raise_for_status()
        await self.clock.sleep(self.settings.weight_load_s * self.faults.slow)


def _stale_fencing_response(error):
    return json_response({"code": error.code, "current": error.current}, 409)
