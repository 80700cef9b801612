"""Tests of the client of backend servers against scripted servers."""

import asyncio
import contextlib

import orjson
import pytest
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st

from galenascale.clock import Clock
from galenascale.engine_answers import CacheEvent, decode_state
from galenascale.engine_client import EngineClient
from galenascale.errors import BackendError, Execution
from test.loopback import answer_tokens, chunk_json, make_request, make_server, serving
from test.test_sse import split

NOT_RUN, MAY_HAVE_RUN = Execution.NOT_RUN, Execution.MAY_HAVE_RUN


async def collect(handler, request=None, **kwargs):
    """Return the chunks of one stream from a server with a handler."""
    clock = Clock()
    async with serving(handler) as (session, server):
        client = EngineClient(session, clock)
        stream = client.stream(server, request or make_request(clock), 2, **kwargs)
        async with contextlib.aclosing(stream):
            return [chunk async for chunk in stream]


def answering(status, headers=None, body=b""):
    """Return a handler that gives one answer."""

    async def handle(_):
        return web.Response(status=status, headers=headers, body=body)

    return handle


def streaming(*reads):
    """Return a handler that writes pieces of a stream, each on its own."""

    async def handle(request):
        response = web.StreamResponse()
        await response.prepare(request)
        for read in reads:
            await response.write(read)
            await asyncio.sleep(0)
        return response

    return handle


async def abort(request):
    """Break the connection in the middle of an answer."""
    response = web.StreamResponse()
    await response.prepare(request)
    await response.write(b"data: " + chunk_json(0, "a") + b"\n\n")
    request.transport.abort()
    return response


async def hang(_):
    """Never answer."""
    await asyncio.Event().wait()


async def test_stream_sends_the_attempt_and_where_to_resume():
    """Guards the contract with engines on attempts and resumed answers."""
    seen = []

    async def handle(request):
        seen.append((request.headers["X-Request-Id"], await request.json()))
        return await answer_tokens(request)

    request = make_request(Clock(), stream=False)
    chunks = await collect(handle, request, resume_tokens=7, resume_text="so far")
    attempt, body = seen[0]
    assert attempt == "r1/2"
    assert body["stream"] is True
    assert body["resume_from"] == {"tokens": 7, "text": "so far"}
    assert [chunk.text for chunk in chunks] == ["a ", "b ", "c", ""]
    assert [chunk.index for chunk in chunks] == [0, 1, 2, 3]
    assert chunks[2].finish_reason == "stop"
    assert chunks[2].data == chunk_json(2, "c", "stop")
    assert chunks[3].usage["total_tokens"] == 5


ERROR = orjson.dumps({"error": {"message": "wrong temperature"}})
CASES = [
    (answering(429), "overloaded", NOT_RUN, 503),
    (answering(503), "overloaded", NOT_RUN, 503),
    (answering(503, {"X-Leaving": "true"}), "leaving", NOT_RUN, 503),
    (answering(400, body=ERROR), "bad_request", NOT_RUN, 400),
    (answering(500), "stream_broken", MAY_HAVE_RUN, 502),
    (abort, "stream_broken", MAY_HAVE_RUN, 502),
    (streaming(b"data: {}\n\n"), "stream_broken", MAY_HAVE_RUN, 502),
    (streaming(b'data: {"choices": [3]}\n\n'), "stream_broken", MAY_HAVE_RUN, 502),
    (streaming(b"data: {\n\n"), "stream_broken", MAY_HAVE_RUN, 502),
    (streaming(b"data: " + bytes(2 << 20)), "stream_broken", MAY_HAVE_RUN, 502),
    (streaming(), "stream_broken", MAY_HAVE_RUN, 502),
]


@pytest.mark.parametrize(("handler", "code", "execution", "status"), CASES)
async def test_failures_tell_whether_the_request_ran(handler, code, execution, status):
    """Guards truthful refusals: not_run only if the server did not run it."""
    with pytest.raises(BackendError) as caught:
        await collect(handler)
    error = caught.value
    assert (error.code, error.execution, error.http_status) == (code, execution, status)
    assert error.step
    assert error.peer == "server-1"


async def test_unreachable_server_and_deadline():
    """Guards the codes of a refused connection and of a passed deadline."""
    clock = Clock()
    async with serving(hang) as (session, server):
        client = EngineClient(session, clock)
        for target, timeout_s, code, execution in (
            (make_server("http://127.0.0.1:1"), 5.0, "connect_failed", NOT_RUN),
            (server, -1.0, "timeout", NOT_RUN),
            (server, 0.05, "timeout", MAY_HAVE_RUN),
        ):
            request = make_request(clock, timeout_s=timeout_s)
            with pytest.raises(BackendError) as caught:
                await anext(client.stream(target, request, 1))
            assert (caught.value.code, caught.value.execution) == (code, execution)


@given(st.lists(st.integers(0, 600), max_size=8))
def test_any_split_into_reads_gives_the_same_chunks(cuts):
    """Guards tokens against loss where a network read ends."""
    data = [chunk_json(0, "a"), chunk_json(1, "\u00e9"), chunk_json(2, "", "stop")]
    events = b"".join(b"data: " + item + b"\n\n" for item in data)
    handler = streaming(*split(events + b"data: [DONE]\n\n", cuts))
    chunks = asyncio.run(collect(handler))
    assert [chunk.data for chunk in chunks] == data
    assert [chunk.text for chunk in chunks] == ["a", "\u00e9", ""]


CONTROL_ANSWERS = {
    "/v1/cancel": {"cancelled": True, "tokens": 4},
    "/load": {"server_id": "s", "models": [{"name": "m", "adapters": ["x"]}]},
    "/state": {"server_id": "s", "fencing": 9, "newer_field": 1},
    "/kv/export": {"kv_id": "k", "tokens": 3},
    "/cache-events": {
        "events": [{"seq": 5, "type": "stored", "prefix": "p", "tokens": 1}],
        "next": 6,
    },
}


async def test_control_calls_and_forwarding():
    """Guards paths, bodies and typed answers of the calls of the contract."""
    bodies = {}

    async def handle(request):
        bodies[request.path_qs] = await request.read()
        if request.path == "/orders" and b'"fencing":1,' in bodies["/orders"]:
            return web.Response(status=409, body=b'{"code": "stale_fencing"}')
        if request.path.startswith("/bookings"):
            return web.Response(status=418, body=b"tea", content_type="text/x")
        return web.json_response(CONTROL_ANSWERS.get(request.path, {"applied": True}))

    async with serving(handle) as (session, server):
        client = EngineClient(session, Clock())
        assert (await client.cancel(server, "r1/2")).tokens == 4
        report = await client.load_report(server)
        assert report.models == (("m", ""),)
        assert report.adapters_by_model == {"m": ("x",)}
        assert (await client.state(server)).fencing == 9
        assert (await client.kv_export(server, "r1/2")).kv_id == "k"
        await client.kv_import(server, "k", make_server("http://other"))
        events = await client.cache_events(server, 4)
        assert (events.events, events.next) == ([CacheEvent(5, "stored", "p", 1)], 6)
        await client.order(server, 2, "load_model", "m", "v1")
        with pytest.raises(BackendError, match="409") as caught:
            await client.order(server, 1, "drain")
        assert caught.value.code == "stale_fencing"
        answer = await client.forward(server, "POST", "/bookings/1", {}, b"x", 2.0)
        assert (answer.status, answer.content_type, answer.body) == (
            418,
            "text/x",
            b"tea",
        )
    assert orjson.loads(bodies["/v1/cancel"]) == {"request_id": "r1/2"}
    assert orjson.loads(bodies["/kv/import"])["source_url"] == "http://other"
    assert "/cache-events?after=4" in bodies


JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["server_id", "models", "name"]), inner)
    ),
)


@given(JSON.map(orjson.dumps) | st.binary(max_size=30))
def test_junk_reports_give_typed_errors(body):
    """Guards the load poller against servers that answer junk."""
    try:
        state = decode_state(body, "load", "server-1")
    except BackendError as error:
        assert error.code == "bad_answer"
    else:
        assert isinstance(state.report.server_id, str)
