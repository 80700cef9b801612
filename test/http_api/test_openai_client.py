"""The public `openai` client against the caller API, unmodified."""

import openai
import pytest
from aiohttp import web

from test.loopback import KEY, answer_tokens, api, chunk_json

HELLO = [{"role": "user", "content": "hello"}]


def make_client(url, key=KEY):
    """Return a client that does not retry."""
    return openai.AsyncOpenAI(api_key=key, base_url=f"{url}/v1", max_retries=0)


async def test_models_and_completions():
    """Guards the shapes that the client reads, streamed and not."""
    async with api() as (_, url, _), make_client(url) as client:
        assert [model.id async for model in await client.models.list()] == ["assist"]
        assert (await client.models.retrieve("assist")).owned_by == "assist-llm"
        plain = await client.chat.completions.create(model="assist", messages=HELLO)
        assert plain.choices[0].message.content == "a b c"
        assert plain.choices[0].finish_reason == "stop"
        assert plain.usage.total_tokens == 5
        stream = await client.chat.completions.create(
            model="assist",
            messages=HELLO,
            stream=True,
            stream_options={"include_usage": True},
        )
        chunks = [chunk async for chunk in stream]
        texts = [chunk.choices[0].delta.content for chunk in chunks if chunk.choices]
        assert texts == ["a ", "b ", "c"]
        assert chunks[-1].usage.total_tokens == 5
        text = await client.completions.create(model="assist", prompt="x")
        assert (text.choices[0].text, text.usage.completion_tokens) == ("a b c", 3)
        stream = await client.completions.create(
            model="assist", prompt="x", stream=True
        )
        assert "".join([chunk.choices[0].text async for chunk in stream]) == "a b c"


def refusing(status, headers=None):
    """Return an engine that refuses everything."""

    async def handle(_):
        return web.Response(status=status, headers=headers)

    return handle


@pytest.mark.parametrize(
    ("engine", "key", "model", "kind", "code"),
    [
        (answer_tokens, "wrong", "assist", "AuthenticationError", "invalid_api_key"),
        (answer_tokens, KEY, "absent", "NotFoundError", "model_not_found"),
        (refusing(400), KEY, "assist", "BadRequestError", "bad_request"),
        (refusing(503), KEY, "assist", "InternalServerError", "overloaded"),
        (refusing(500), KEY, "assist", "InternalServerError", "stream_broken"),
    ],
)
@pytest.mark.parametrize("stream", [False, True])
async def test_errors_map_to_the_classes_of_the_client(
    engine, key, model, kind, code, stream
):
    """Guards the statuses and codes by which programs tell errors apart."""
    async with api(engine) as (_, url, _), make_client(url, key) as client:
        with pytest.raises(getattr(openai, kind)) as caught:
            await client.chat.completions.create(
                model=model, messages=HELLO, stream=stream
            )
    assert caught.value.code == code
    headers = caught.value.response.headers
    assert ("retry-after" in headers) == (code == "overloaded")
    assert headers["x-should-retry"] == ("true" if code == "overloaded" else "false")


async def test_failure_in_mid_stream_is_raised_by_the_client():
    """Guards against a broken answer that looks complete."""

    async def engine(request):
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"data: " + chunk_json(0, "a ") + b"\n\n")
        return response

    async with api(engine) as (_, url, context), make_client(url) as client:
        stream = await client.chat.completions.create(
            model="assist", messages=HELLO, stream=True
        )
        texts = []
        with pytest.raises(openai.APIError) as caught:
            async for chunk in stream:
                texts.append(chunk.choices[0].delta.content)
    assert texts == ["a "]
    assert caught.value.code == "stream_broken"
    assert caught.value.body["execution"] == "may_have_run"
    assert b'code="stream_broken"} 1.0' in context.metrics.render()
