"""`/healthz` (the process runs) and `/readyz` (it takes requests)."""

from aiohttp import web

from galenascale.http_api.context import CONTEXT


async def _healthz(_):
    return web.Response(text="ok\n")


async def _readyz(request):
    if request.app[CONTEXT].is_ready():
        return web.Response(text="ready\n")
    return web.Response(status=503, text="not ready\n")


ROUTES = [web.get("/healthz", _healthz), web.get("/readyz", _readyz)]
