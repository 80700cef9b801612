"""`/v1/models`: the models of the configuration in force."""

import orjson
from aiohttp import web

from galenascale.http_api.context import CONTEXT
from galenascale.http_api.limits import check_headers
from galenascale.model_names import names_of, resolve


def _describe(name, model):
    # The configuration keeps no creation times.
    return {
        "id": name,
        "object": "model",
        "created": 0,
        "owned_by": model.service_name,
    }


def _json(value):
    return web.Response(body=orjson.dumps(value), content_type="application/json")


async def _list(request):
    context = request.app[CONTEXT]
    check_headers(request)
    context.tenants.tenant_of(request.headers.get("Authorization"))
    models = context.config.current.models_by_name.values()
    data = [_describe(name, model) for model in models for name in names_of(model)]
    return _json({"object": "list", "data": data})


async def _get(request):
    context = request.app[CONTEXT]
    check_headers(request)
    context.tenants.tenant_of(request.headers.get("Authorization"))
    name = request.match_info["model"]
    return _json(_describe(name, resolve(context.config.current, name).model))


ROUTES = [web.get("/v1/models", _list), web.get("/v1/models/{model}", _get)]
