"""Transfer of KV caches between engine stand-ins."""

import uuid

import aiohttp
import attrs
import orjson
from aiohttp import web

from galenascale.standins.engine_model import RetainedCache
from galenascale.standins.server import error_response, json_response, read_json

# Number of exports that are kept; the oldest are discarded first.
MAX_EXPORTS = 256


class KvTransferRoutes:
    """HTTP routes of an EngineStandin for KV cache export and import."""

    def __init__(self, engine):
        self._engine = engine

    def routes(self):
        """Return the aiohttp routes."""
        return [
            web.post("/kv/export", self._export),
            web.post("/kv/import", self._import),
            web.get("/kv/{kv_id}", self._get),
        ]

    async def _export(self, request):
        body = await read_json(request)
        cache = self._engine.model.export_cache(body.get("request_id"))
        if cache is None:
            return error_response(404, "kv_not_found", "no KV cache of the attempt")
        kv_id, exports = uuid.uuid4().hex, self._engine.exports_by_id
        exports[kv_id] = cache
        while len(exports) > MAX_EXPORTS:
            exports.popitem(last=False)
        return json_response({"kv_id": kv_id, "tokens": cache.generated})

    async def _get(self, request):
        cache = self._engine.exports_by_id.get(request.match_info["kv_id"])
        if cache is None:
            return error_response(404, "kv_not_found", "no such export")
        return json_response(attrs.asdict(cache))

    async def _import(self, request):
        body = await read_json(request)
        url = f"{body.get('source_url')}/kv/{body.get('kv_id')}"
        try:
            async with self._engine.session.get(url) as response:
                response.raise_for_status()
                cache = RetainedCache(**orjson.loads(await response.read()))
        except (TimeoutError, aiohttp.ClientError, ValueError, TypeError) as error:
            return error_response(502, "kv_not_fetched", f"fetch failed: {error!r}")
        if not self._engine.model.import_cache(cache):
            return error_response(503, "kv_memory_full", "no memory for the cache")
        return json_response({"tokens": cache.generated})
