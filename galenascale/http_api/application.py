"""Assembly of the caller API."""

from aiohttp import web

from galenascale.http_api import completions, health, metrics, models
from galenascale.http_api.context import CONTEXT
from galenascale.http_api.errors import error_middleware


def make_app(context):
    """Return the aiohttp application for an ApiContext."""
    app = web.Application(
        middlewares=[error_middleware],
        client_max_size=context.limits.max_body_bytes,
    )
    app[CONTEXT] = context
    for module in (completions, health, metrics, models):
        app.add_routes(module.ROUTES)
    return app
