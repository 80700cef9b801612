"""`/services/NAME/...`: calls to plain services."""

from aiohttp import web

from galenascale.calls import Call
from galenascale.errors import UserError
from galenascale.http_api import limits
from galenascale.http_api.batches import idempotency_key, is_idempotent
from galenascale.http_api.files import authenticate

CLASS = "online"


async def _call(request):
    context, tenant = authenticate(request)
    timer = context.metrics.start_request(CLASS)
    timer.tenant = tenant
    try:
        call = await _make_call(request, context, tenant)
        answer = await context.calls.call(call)
        timer.first_token()
        timer.succeed()
        return web.Response(
            status=answer.status,
            body=answer.body,
            headers={"Content-Type": answer.content_type},
        )
    finally:
        timer.finish()


async def _make_call(request, context, tenant):
    name = request.match_info["service"]
    service = context.config.current.services_by_name.get(name)
    if service is None or service.type != "plain":
        raise UserError(
            f"service {name!r} does not exist",
            code="service_not_found",
            http_status=404,
        )
    path = "/" + request.match_info["path"]
    repeatable = not path.startswith(tuple(service.non_idempotent_paths))
    started = context.clock.monotonic()
    return Call(
        tenant=tenant,
        service=name,
        method=request.method,
        path=path + (f"?{request.query_string}" if request.query_string else ""),
        content_type=request.headers.get("Content-Type", "application/octet-stream"),
        body=await limits.read_body(request),
        deadline=started + limits.deadline_s(request, service.default_deadline_s),
        key=idempotency_key(request),
        # A read is never marked as one that may not be repeated.
        idempotent=request.method == "GET" or (repeatable and is_idempotent(request)),
    )


ROUTES = [web.route("*", "/services/{service}/{path:.*}", _call)]
