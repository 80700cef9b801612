"""Stand-in of the platform over HTTP: log service, host list, weight store."""

import asyncio
import base64
import time

import orjson
from aiohttp import web

from galenascale.standins.log_store import LogStore

SLOW_ANSWER_S = 1.5
MAX_APPEND_BYTES = 4_000_000


class PlatformStandin:
    """State of the stand-in; `faults` is replaced by PUT /faults."""

    def __init__(self, settings):
        self.settings = settings
        self.log = LogStore(settings.retention_records)
        self.faults = {}
        self.appends = 0
        self._tokens = float(settings.appends_per_s)
        self._refilled_at = time.monotonic()

    @classmethod
    def from_config(cls, settings):
        """Return a stand-in with PlatformStandinSettings."""
        return cls(settings)

    def make_app(self):
        """Return the aiohttp application."""
        app = web.Application(client_max_size=MAX_APPEND_BYTES)
        app.add_routes(
            [
                web.post("/v1/streams/{name}/records", self._append),
                web.get("/v1/streams/{name}/records", self._read),
                web.get("/v1/streams/{name}", self._bounds),
                web.put("/faults", self._put_faults),
                web.get("/stats", self._stats),
            ]
        )
        return app

    def _take_token(self):
        now = time.monotonic()
        limit = float(self.settings.appends_per_s)
        self._tokens = min(limit, self._tokens + (now - self._refilled_at) * limit)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    async def _append(self, request):
        mode = self.faults.get("append", "ok")
        if mode == "down":
            return web.Response(status=503)
        if mode == "slow":
            await asyncio.sleep(SLOW_ANSWER_S)
        if not self._take_token():
            return web.Response(status=429)
        body = await request.read()
        self.appends += 1
        offset = self.log.append(request.match_info["name"], body)
        if mode == "duplicate":
            self.log.append(request.match_info["name"], body)
        if mode == "lost_answer":
            request.transport.abort()
            return web.Response(status=500)
        return _json({"offset": offset})

    async def _read(self, request):
        if refused := await self._read_fault():
            return refused
        name = request.match_info["name"]
        records = self.log.read(
            name, int(request.query["offset"]), int(request.query.get("limit", 500))
        )
        first, following = self.log.bounds(name)
        return _json(
            {
                "records": [
                    [offset, base64.b64encode(body).decode()]
                    for offset, body in records
                ],
                "first_offset": first,
                "next_offset": following,
            }
        )

    async def _bounds(self, request):
        if refused := await self._read_fault():
            return refused
        first, following = self.log.bounds(request.match_info["name"])
        return _json({"first_offset": first, "next_offset": following})

    async def _read_fault(self):
        mode = self.faults.get("read", "ok")
        if mode == "down":
            return web.Response(status=503)
        if mode == "slow":
            await asyncio.sleep(SLOW_ANSWER_S)
        return None

    async def _put_faults(self, request):
        self.faults = orjson.loads(await request.read())
        if "retention_records" in self.faults:
            self.log.retention_records = self.faults["retention_records"]
            for name in list(self.log.streams_by_name):
                self.log.trim(name)
        return _json(self.faults)

    async def _stats(self, _):
        return _json({"appends": self.appends})


def _json(value):
    return web.Response(body=orjson.dumps(value), content_type="application/json")
