"""Tests of refusals before anything runs."""

import asyncio
import types

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale.errors import UserError
from galenascale.generated.messages import LimitSettings
from galenascale.http_api.context import CONTEXT
from galenascale.http_api.limits import deadline_s, decode_object
from galenascale.http_api.validation import check_completion
from test.loopback import KEY, OPERATOR_KEY, answer_tokens, api

CHAT = {"model": "assist", "messages": [{"role": "user", "content": "hello"}]}
AUTH = {"Authorization": f"Bearer {KEY}"}
LIMITS = LimitSettings(
    max_body_bytes=400, max_header_bytes=600, body_timeout_s=0.05, max_connections=3
)


async def slow_body():
    """Yield the begin of a body and never its end."""
    yield b"{"
    await asyncio.Event().wait()


async def large_body():
    """Yield a body without a length that exceeds the limit."""
    for _ in range(5):
        yield bytes(100)


async def run_nothing(_):
    """Fail if a refused request reaches the engine."""
    raise AssertionError("refused request was run")


def chat(**fields):
    """Return a body with changed fields."""
    return orjson.dumps({**CHAT, **fields})


CASES = [
    (chat(), {}, 401, "missing_api_key", None),
    (chat(), {"Authorization": f"Basic {KEY}"}, 401, "missing_api_key", None),
    (chat(), {"Authorization": f"Bearer {OPERATOR_KEY}"}, 401, "invalid_api_key", None),
    (b"{", AUTH, 400, "bad_json", None),
    (b"[]", AUTH, 400, "bad_json", None),
    (chat(model="absent"), AUTH, 404, "model_not_found", "model"),
    (chat(model=3), AUTH, 400, "invalid_field", "model"),
    (chat(messages=None), AUTH, 400, "missing_field", "messages"),
    (chat(messages=[]), AUTH, 400, "invalid_field", "messages"),
    (chat(messages=[{"role": 1}]), AUTH, 400, "invalid_field", "messages"),
    (chat(max_tokens=0), AUTH, 400, "invalid_field", "max_tokens"),
    (chat(max_tokens=True), AUTH, 400, "invalid_field", "max_tokens"),
    (chat(temperature=3), AUTH, 400, "invalid_field", "temperature"),
    (chat(n=2), AUTH, 400, "invalid_field", "n"),
    (chat(stop=[1]), AUTH, 400, "invalid_field", "stop"),
    (chat(stream="yes"), AUTH, 400, "invalid_field", "stream"),
    (chat(stream_options={"include_usage": 1}), AUTH, 400, "invalid_field", None),
    (chat(resume_from={"tokens": 1}), AUTH, 400, "invalid_field", "resume_from"),
    (chat(user="x" * 400), AUTH, 413, "body_too_large", None),
    (large_body, AUTH, 413, "body_too_large", None),
    (slow_body, AUTH, 408, "body_timeout", None),
    (chat(), {**AUTH, "X-A": "x" * 300, "X-B": "x" * 300}, 431, "headers_too_large", 0),
    (chat(), {**AUTH, "X-Request-Deadline-Ms": "-1"}, 400, "invalid_deadline", 0),
    (chat(), {**AUTH, "X-Request-Deadline-Ms": "0"}, 400, "invalid_deadline", 0),
]


async def test_refusals_name_the_field_and_run_nothing():
    """Guards against bad input that is run or refused without a reason."""
    async with api(run_nothing, LIMITS) as (session, url, _):
        for body, headers, status, code, param in CASES:
            data = body() if callable(body) else body
            async with session.post(
                f"{url}/v1/chat/completions", data=data, headers=headers
            ) as response:
                error = (await response.json())["error"]
                assert (response.status, error["code"]) == (status, code), body
                assert error["execution"] == "not_run"
                assert param in (None, 0, error["param"]), error


async def test_unknown_paths_methods_and_metrics():
    """Guards the shape of errors that the framework itself raises."""
    async with api() as (session, url, _):
        for method, path, key, status in (
            ("GET", "/v1/absent", KEY, 404),
            ("GET", "/v1/completions", KEY, 405),
            ("GET", "/metrics", KEY, 401),
            ("GET", "/metrics", OPERATOR_KEY, 200),
            ("GET", "/healthz", "", 200),
            ("GET", "/readyz", "", 200),
        ):
            headers = {"Authorization": f"Bearer {key}"}
            async with session.request(method, url + path, headers=headers) as response:
                assert response.status == status
                if status >= 400:
                    assert orjson.loads(await response.read())["error"]["code"]


async def test_connections_beyond_the_limit_are_refused():
    """Guards against exhaustion of memory by idle connections."""
    async with api(limits=LIMITS) as (session, url, _):
        port = int(url.rpartition(":")[2])
        writers = []
        for _ in range(LIMITS.max_connections):
            writers.append((await asyncio.open_connection("127.0.0.1", port))[1])
        async with session.get(f"{url}/healthz") as response:
            assert response.status == 503
            error = (await response.json())["error"]
            assert error["code"] == "too_many_connections"
        for writer in writers:
            writer.close()
            await writer.wait_closed()


async def test_silent_connections_are_closed_and_busy_ones_are_not():
    """Guards connections against callers that send headers slowly."""

    async def engine(request):
        await asyncio.sleep(3 * LIMITS.body_timeout_s)
        return await answer_tokens(request)

    async with api(engine, LIMITS) as (session, url, _):
        port = int(url.rpartition(":")[2])
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: ")
        assert await reader.read() == b""
        writer.close()
        async with session.post(
            f"{url}/v1/chat/completions", data=chat(), headers=AUTH
        ) as response:
            assert response.status == 200


def fake_request(header):
    """Return what deadline_s() reads of a request."""
    context = types.SimpleNamespace(limits=LimitSettings(max_deadline_s=600.0))
    headers = {} if header is None else {"X-Request-Deadline-Ms": header}
    return types.SimpleNamespace(app={CONTEXT: context}, headers=headers)


@pytest.mark.parametrize(
    ("header", "expected"), [(None, 20.0), ("1500", 1.5), ("99999999999", 600.0)]
)
def test_deadline_is_bounded_by_the_limit(header, expected):
    """Guards against requests that hold resources for any time."""
    assert deadline_s(fake_request(header), 20.0) == expected


@given(st.text(max_size=14))
def test_any_deadline_header_is_bounded_or_refused(header):
    """Guards against numbers that only Python reads, such as 1_000."""
    try:
        assert 0 < deadline_s(fake_request(header), 20.0) <= 600.0
    except UserError as error:
        assert error.param == "X-Request-Deadline-Ms"


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-3, 9) | st.floats() | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["role", "content", "include_usage"]), inner)
    ),
)
FIELDS = st.sampled_from(["model", "messages", "prompt", "n", "stop", "top_p", "seed"])
BODIES = st.dictionaries(FIELDS, VALUES).map(orjson.dumps)


@given(
    st.sampled_from(["/v1/chat/completions", "/v1/completions"]),
    BODIES | st.binary(max_size=40),
)
def test_any_body_is_checked_or_refused(endpoint, data):
    """Guards the decoder: junk gives typed errors, the rest has its fields."""
    try:
        body = decode_object(data)
        check_completion(endpoint, body)
    except UserError as error:
        assert error.code in ("bad_json", "missing_field", "invalid_field")
    else:
        assert isinstance(body["model"], str)
        assert body.get("messages") or body.get("prompt")
