"""Names of models, versions and adapters in requests."""

import aiohttp
import pytest

from galenascale.configuration import Configuration
from galenascale.errors import UserError
from galenascale.generated.messages import ModelDeclaration, ModelVersion
from galenascale.model_names import resolve
from galenascale.routing import choose_version
from test.loopback import KEY, answer_tokens, api

VERSIONS = [ModelVersion("v1", 90), ModelVersion("v2", 10), ModelVersion("old", 0)]
MODELS = {
    "m": ModelDeclaration(name="m", versions=VERSIONS, adapters=["x", "y:z"]),
    "a:b": ModelDeclaration(name="a:b", adapters=["x"]),
}
CONFIG = Configuration(1, {}, MODELS, {}, {})


@pytest.mark.parametrize(
    ("name", "fields", "expected"),
    [
        ("m", {}, ("m", "", "")),
        ("m@v2", {}, ("m", "v2", "")),
        ("m@old", {}, ("m", "old", "")),
        ("m:x", {}, ("m", "", "x")),
        ("m@v1:x", {}, ("m", "v1", "x")),
        ("m:y:z", {}, ("m", "", "y:z")),
        ("a:b", {}, ("a:b", "", "")),
        ("a:b:x", {}, ("a:b", "", "x")),
        ("m@v1:x", {"version": "v2", "adapter": "y:z"}, ("m", "v2", "y:z")),
        ("m", {"version": None, "adapter": None}, ("m", "", "")),
        ("other", {}, "model"),
        ("", {}, "model"),
        ("m@", {}, "model"),
        ("m:", {}, "model"),
        ("m@v3", {}, "model"),
        ("m:w", {}, "model"),
        ("m@v1:w", {}, "model"),
        ("m:x@v1", {}, "model"),
        ("a:b@v1", {}, "model"),
        ("m", {"version": "v3"}, "version"),
        ("m", {"adapter": "w"}, "adapter"),
    ],
)
def test_names(name, fields, expected):
    """Guards the forms of names, and refusals that name the field."""
    if isinstance(expected, tuple):
        choice = resolve(CONFIG, name, **fields)
        assert (choice.model.name, choice.version, choice.adapter) == expected
        return
    with pytest.raises(UserError) as caught:
        resolve(CONFIG, name, **fields)
    assert (caught.value.http_status, caught.value.param) == (404, expected)
    assert caught.value.code == "model_not_found"


def test_the_split_is_stable_and_follows_the_weights():
    """Guards retries against another version than the first attempt had."""
    ids = [f"r{number}" for number in range(2000)]
    chosen = [choose_version(item, VERSIONS) for item in ids]
    assert chosen == [choose_version(item, list(VERSIONS)) for item in ids]
    assert 0.87 < chosen.count("v1") / len(ids) < 0.93 and "old" not in chosen


async def test_api_lists_adapters_and_refuses_unknown_names():
    """Guards that nothing undeclared reaches a server."""
    bodies = []

    async def answer(request):
        bodies.append(await request.json())
        return await answer_tokens(request)

    async with api(answer) as (_, url, context):
        model = context.config.current.models_by_name["assist"]
        model.versions, model.adapters = VERSIONS, ["x"]
        headers = {"Authorization": f"Bearer {KEY}"}
        async with aiohttp.ClientSession(headers=headers) as session:

            async def ask(name, status):
                body = {"model": name, "prompt": "p"}
                path = f"{url}/v1/completions"
                async with session.post(path, json=body) as response:
                    assert response.status == status, await response.text()

            for name in ("assist:w", "assist@v3", "assist@", "nothing"):
                await ask(name, 404)
            assert not bodies
            await ask("assist@v2:x", 200)
            assert [(b["version"], b["adapter"]) for b in bodies] == [("v2", "x")]
            async with session.get(f"{url}/v1/models") as response:
                data = (await response.json())["data"]
            assert [item["id"] for item in data] == ["assist", "assist:x"]
            for name, status in (("assist@v1:x", 200), ("assist:w", 404)):
                async with session.get(f"{url}/v1/models/{name}") as response:
                    assert response.status == status
