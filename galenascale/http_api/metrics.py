"""`/metrics` in the text format of Prometheus."""

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST

from galenascale.http_api.context import CONTEXT


async def _metrics(request):
    # Metrics name tenants, so a host with operator keys shows them only to
    # operators.
    context = request.app[CONTEXT]
    if context.tenants.has_operators:
        context.tenants.check_operator(request.headers.get("Authorization"))
    return web.Response(
        body=context.metrics.render(), headers={"Content-Type": CONTENT_TYPE_LATEST}
    )


ROUTES = [web.get("/metrics", _metrics)]
