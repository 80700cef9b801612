"""`/v1/chat/completions` and `/v1/completions`."""

import asyncio
import contextlib
import uuid

import orjson
from aiohttp import web

from galenascale.errors import BackendError, Execution
from galenascale.http_api import limits
from galenascale.http_api.context import CONTEXT
from galenascale.http_api.relay import relay
from galenascale.http_api.validation import check_completion
from galenascale.model_names import resolve
from galenascale.requests import OnlineRequest
from galenascale.whole_answers import make_whole_answer

CLASS = "online"


async def _complete(request):
    context = request.app[CONTEXT]
    timer = context.metrics.start_request(CLASS)
    try:
        online_request = await _make_request(request, context)
        timer.tenant = online_request.tenant
        headers = {"X-Request-Id": online_request.request_id}
        chunks = context.online.complete(online_request)
        async with contextlib.aclosing(chunks):
            if online_request.stream:
                return await relay(request, chunks, timer, headers)
            return await _collect(online_request, chunks, timer, headers)
    except (asyncio.CancelledError, ConnectionResetError):
        timer.code = "caller_gone"
        raise
    finally:
        timer.finish()


async def _make_request(request, context):
    """Return the checked OnlineRequest; raise UserError before it runs."""
    limits.check_headers(request)
    tenant = context.tenants.tenant_of(request.headers.get("Authorization"))
    started = context.clock.monotonic()
    body = limits.decode_object(await limits.read_body(request))
    check_completion(request.path, body)
    config = context.config.current
    choice = resolve(config, body["model"], body.get("version"), body.get("adapter"))
    model = choice.model
    # The resolved names go to the engine and bind all attempts.
    named = {"version": choice.version, "adapter": choice.adapter}
    body.update((name, value) for name, value in named.items() if value)
    service = config.services_by_name.get(model.service_name)
    default_s = (
        service.default_deadline_s if service else context.limits.default_deadline_s
    )
    return OnlineRequest(
        request_id=uuid.uuid4().hex,
        tenant=tenant,
        endpoint=request.path,
        model=model.name,
        body=body,
        deadline=started + limits.deadline_s(request, default_s),
        stream=bool(body.get("stream")),
    )


async def _collect(online_request, chunks, timer, headers):
    """Return the plain answer put together from the chunks."""
    texts, first, finish_reason, usage = [], None, None, None
    async for chunk in chunks:
        if first is None:
            first = chunk
            timer.first_token()
        texts.append(chunk.text)
        finish_reason = chunk.finish_reason or finish_reason
        usage = chunk.usage or usage
    if first is None:
        raise BackendError(
            "answer has no content",
            code="empty_answer",
            step="collect",
            execution=Execution.MAY_HAVE_RUN,
        )
    timer.succeed()
    chunk = orjson.loads(first.data)
    answer = make_whole_answer(
        chunk,
        is_chat=online_request.endpoint == "/v1/chat/completions",
        model=chunk.get("model") or online_request.model,
        text="".join(texts),
        finish_reason=finish_reason,
        usage=usage,
        default_id=online_request.request_id,
    )
    return web.Response(
        body=orjson.dumps(answer), headers=headers, content_type="application/json"
    )


ROUTES = [
    web.post("/v1/chat/completions", _complete),
    web.post("/v1/completions", _complete),
]
