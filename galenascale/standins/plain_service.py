"""Stand-in for a plain service: bookings, invoices, quotes and checks."""

import asyncio
import collections

import xxhash
from aiohttp import web

from galenascale.errors import UserError
from galenascale.standins.backend import BackendStandin
from galenascale.standins.server import error_response, json_response


class PlainServiceStandin(BackendStandin):
    """
    Plain service that counts how often each call is executed.

    As in many real services, a closed connection does not cancel a call.
    """

    def __init__(self, settings, clock=None):
        super().__init__(settings, clock)
        # Executions are external effects, so the counts survive a crash.
        self.runs_by_call_id = collections.Counter()
        self.runs_by_content = collections.Counter()
        self.reset()

    def reset(self):
        """Discard the calls in flight."""
        super().reset()
        self.in_flight = 0
        self._slots = asyncio.Semaphore(self.settings.slots)

    def routes(self):
        """Return the routes of docs/backend-api.md."""
        return [
            web.post("/bookings", self._handle_call),
            web.post("/invoices", self._handle_call),
            web.post("/check", self._handle_call),
            web.get("/quotes/{id}", self._handle_call),
            web.get("/runs", self._get_runs),
            web.get("/load", self.get_load),
            web.get("/state", self._state),
        ]

    async def _handle_call(self, request):
        try:
            text = (await request.read()).decode()
        except UnicodeDecodeError as error:
            raise UserError("body is not UTF-8") from error
        if self.faults.leave:
            return error_response(
                503, "leaving", "the server is leaving", {"X-Leaving": "true"}
            )
        incarnation, half_s = self.incarnation, self.settings.service_time_ms / 2000
        self.in_flight += 1
        try:
            async with self._slots:
                await self.clock.sleep(half_s * self.faults.slow)
                if not self._is_current(incarnation):
                    return web.Response(status=500)
                number = self._count_execution(request, text)
                if self.faults.crashes(text):
                    self.crash()
                    return web.Response(status=500)
                await self.clock.sleep(half_s * self.faults.slow)
        finally:
            if self._is_current(incarnation):
                self.in_flight -= 1
        if self.faults.drop_answer and request.transport is not None:
            request.transport.abort()
        return json_response(self._response_fields(request, text, number))

    def _is_current(self, incarnation):
        return self.is_listening and self.incarnation == incarnation

    def _count_execution(self, request, text):
        call_id = request.headers.get("X-Call-Id")
        if call_id:
            self.runs_by_call_id[call_id] += 1
        content_key = f"{request.method} {request.path}\0{text}"
        content = xxhash.xxh3_64_hexdigest(content_key.encode())
        self.runs_by_content[content] += 1
        return self.runs_by_content[content]

    def _response_fields(self, request, text, run):
        digest = xxhash.xxh3_64_intdigest(f"{request.path}\0{text}".encode())
        result = {"id": f"{digest:016x}", "server_id": self.settings.server_id}
        if request.method == "GET":
            return result | {"quote": request.match_info["id"], "amount": digest % 5000}
        if request.path == "/check":
            return result | {"valid": digest % 10 != 0}
        return result | {"status": "confirmed", "run": run}

    async def _get_runs(self, _):
        return json_response(
            {
                "by_call_id": dict(self.runs_by_call_id),
                "by_content": dict(self.runs_by_content),
            }
        )

    def load_report(self):
        """Return the current load report."""
        slots = self.settings.slots
        return {
            "server_id": self.settings.server_id,
            "at_ms": self.clock.wall_ms(),
            "running": min(self.in_flight, slots),
            "queued": max(0, self.in_flight - slots),
            "slots": slots,
            "kv_used_tokens": 0,
            "kv_tokens": 0,
            "role": "plain",
            "leaving": self.faults.leave,
            "models": [],
        }

    async def _state(self, _):
        return json_response(self.load_report() | {"incarnation": self.incarnation})
