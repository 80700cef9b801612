"""Assembly of the caller API."""

from aiohttp import web

from galenascale.http_api import (
    batches,
    completions,
    files,
    health,
    metrics,
    models,
    services,
)
from galenascale.http_api.context import CONTEXT
from galenascale.http_api.errors import error_middleware


@web.middleware
async def close_when_stopping(request, handler):
    """Make callers open their next connection to another host."""
    response = await handler(request)
    if request.app[CONTEXT].is_stopping():
        response.force_close()
    return response


def make_app(context, routes=()):
    """Return the application for an ApiContext, with further routes."""
    app = web.Application(
        middlewares=[error_middleware, close_when_stopping],
        client_max_size=context.limits.max_body_bytes,
    )
    app[CONTEXT] = context
    for module in (
        batches,
        completions,
        files,
        health,
        metrics,
        models,
        services,
    ):
        app.add_routes(module.ROUTES)
    app.add_routes(routes)
    return app
