"""Servers on loopback for tests of HTTP clients and of the caller API."""

import contextlib
import types

import aiohttp
import orjson
from aiohttp import web

from galenascale.clock import Clock
from galenascale.configuration import Configuration
from galenascale.engine_client import EngineClient
from galenascale.errors import Refused
from galenascale.generated import messages
from galenascale.http_api import ApiContext, make_app, start_listener
from galenascale.key_table import key_digest
from galenascale.metrics import Metrics
from galenascale.requests import OnlineRequest
from galenascale.tenants import Tenants

KEY = "key-of-team-a"
OPERATOR_KEY = "key-of-the-operator"


class DirectOnline:
    """Streams each request from the first server, without retries."""

    def __init__(self, config, engine_client):
        self._config = config
        self._engine_client = engine_client

    async def complete(self, request):
        """Yield the Chunks of the answer; raise Refused without a server."""
        config = self._config.current
        service_name = config.models_by_name[request.model].service_name
        for server in config.servers_by_id.values():
            if server.service_name == service_name:
                break
        else:
            raise Refused("no backend server", code="no_backend_server")
        async with contextlib.aclosing(
            self._engine_client.stream(server, request, attempt=1)
        ) as chunks:
            async for chunk in chunks:
                yield chunk


@contextlib.asynccontextmanager
async def serving(handler):
    """Serve every request with a handler; yield (session, server)."""
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handler)
    async with (
        aiohttp.ClientSession() as session,
        start_listener(app, "127.0.0.1", 0, messages.LimitSettings()) as port,
    ):
        yield session, make_server(f"http://127.0.0.1:{port}")


def make_server(url):
    """Return the declaration of a backend server."""
    return messages.BackendServerDeclaration(
        name="server-1", service_name="assist-llm", url=url
    )


def make_request(clock, stream=True, timeout_s=5.0):
    """Return an OnlineRequest for a chat."""
    body = {"model": "assist", "messages": [{"role": "user", "content": "hello"}]}
    return OnlineRequest(
        "r1",
        "team-a",
        "/v1/chat/completions",
        "assist",
        body,
        clock.monotonic() + timeout_s,
        stream,
    )


def chunk_json(index, text, reason=None, chat=True):
    """Return a chunk of an engine as JSON."""
    content = {"delta": {"content": text}} if chat else {"text": text}
    choice = {"index": 0, "finish_reason": reason, **content}
    kind = "chat.completion.chunk" if chat else "text_completion"
    value = {"id": "c1", "object": kind, "created": 1, "model": "assist"}
    return orjson.dumps({**value, "token_index": index, "choices": [choice]})


async def answer_tokens(request, texts=("a ", "b ", "c")):
    """Answer like an engine: one event a token, usage if asked for."""
    body = orjson.loads(await request.read())
    chat = "messages" in body
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    for index, text in enumerate(texts):
        reason = "stop" if index == len(texts) - 1 else None
        data = chunk_json(index, text, reason, chat)
        await response.write(b"data: " + data + b"\n\n")
    if body.get("stream_options", {}).get("include_usage"):
        usage = {"prompt_tokens": 2, "completion_tokens": 3, "total_tokens": 5}
        data = orjson.dumps({"id": "c1", "choices": [], "usage": usage})
        await response.write(b"data: " + data + b"\n\n")
    await response.write(b"data: [DONE]\n\n")
    return response


@contextlib.asynccontextmanager
async def api(handler=answer_tokens, limits=None, tls_context=None, online=None):
    """Serve the API before an engine; yield (session, url, context)."""
    async with serving(handler) as (session, server):
        configuration = Configuration(
            0,
            {"assist-llm": messages.ServiceDeclaration(name="assist-llm")},
            {
                "assist": messages.ModelDeclaration(
                    name="assist", service_name="assist-llm"
                )
            },
            {
                "team-a": messages.TenantDeclaration(
                    name="team-a", key_digests=[key_digest(KEY)]
                )
            },
            {"server-1": server},
        )
        config = types.SimpleNamespace(current=configuration)
        tenants = Tenants([key_digest(OPERATOR_KEY)])
        tenants.install(configuration)
        clock = Clock()
        online = online or DirectOnline(config, EngineClient(session, clock))
        limits = limits or messages.LimitSettings()
        context = ApiContext(online, config, tenants, Metrics(), limits, clock)
        app = make_app(context)
        async with start_listener(app, "127.0.0.1", 0, limits, tls_context) as port:
            scheme = "https" if tls_context else "http"
            yield session, f"{scheme}://127.0.0.1:{port}", context
