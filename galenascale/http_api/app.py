"""Routes of the caller API."""

import aiohttp
import orjson
from aiohttp import web

from galenascale.errors import GalenascaleError, Refused, UserError
from galenascale.http_api.operator import operator_routes


def make_app(host):
    """Return the aiohttp application of an entry host."""
    app = web.Application(middlewares=[_error_middleware])
    app["host"] = host
    app.add_routes(
        [
            web.get("/healthz", _healthz),
            web.get("/readyz", _readyz),
            web.post("/v1/chat/completions", _chat),
        ]
    )
    app.add_routes(operator_routes(host))
    return app


@web.middleware
async def _error_middleware(request, handler):
    try:
        return await handler(request)
    except GalenascaleError as error:
        body = {
            "error": {
                "message": error.message,
                "type": "invalid_request_error"
                if error.http_status < 500
                else "server_error",
                "code": error.code,
                "param": getattr(error, "param", None),
                "execution": error.execution,
            }
        }
        return web.json_response(body, status=error.http_status)


async def _healthz(_):
    return web.Response(text="ok\n")


async def _readyz(request):
    host = request.app["host"]
    ready = host.config.current.version >= 0
    return web.Response(status=200 if ready else 503)


async def _chat(request):
    host = request.app["host"]
    try:
        body = orjson.loads(await request.read())
    except orjson.JSONDecodeError as error:
        raise UserError(f"body is not valid JSON: {error}") from error
    config = host.config.current
    model = config.models_by_name.get(body.get("model"))
    if model is None:
        raise UserError("model does not exist", code="model_not_found", http_status=404)
    servers = [
        server
        for server in config.servers_by_id.values()
        if server.service_name == model.service_name
    ]
    if not servers:
        raise Refused("no backend server", code="no_backend_server")
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    try:
        async with host.session.post(
            servers[0].url + "/v1/chat/completions", data=orjson.dumps(body)
        ) as upstream:
            await response.prepare(request)
            async for data in upstream.content.iter_any():
                await response.write(data)
    except aiohttp.ClientConnectorError as error:
        raise Refused("backend server cannot be reached") from error
    return response
