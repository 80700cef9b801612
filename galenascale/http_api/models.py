"""`/v1/models`: the models of the configuration in force."""

import orjson
from aiohttp import web

from galenascale.errors import UserError
from galenascale.http_api.context import CONTEXT
from galenascale.http_api.limits import check_headers


def find_model(config, name):
    """Return the ModelDeclaration of a name or raise UserError (404)."""
    model = config.models_by_name.get(name)
    if model is None:
        raise UserError(
            f"model {name!r} does not exist",
            code="model_not_found",
            param="model",
            http_status=404,
        )
    return model


def _describe(model):
    # The configuration keeps no creation times.
    return {
        "id": model.name,
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
    return _json({"object": "list", "data": [_describe(model) for model in models]})


async def _get(request):
    context = request.app[CONTEXT]
    check_headers(request)
    context.tenants.tenant_of(request.headers.get("Authorization"))
    name = request.match_info["model"]
    return _json(_describe(find_model(context.config.current, name)))


ROUTES = [web.get("/v1/models", _list), web.get("/v1/models/{model}", _get)]
