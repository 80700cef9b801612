"""The path of a request through separate processes on loopback."""

import asyncio
import json

import aiohttp

from galenascale.clock import Clock
from galenascale.config_follower import ConfigFollower
from galenascale.generated.messages import ConfigEntry
from galenascale.key_table import key_digest
from galenascale.log_client import LogClient
from galenascale.platform.store import StoreClient
from test.processes import running, write_json

KEY = "test-key-of-team-a"


def declarations(engine_port):
    """Return configuration entries with one model on one server."""
    values = [
        {"kind": "service", "name": "assist-llm"},
        {"kind": "model", "name": "assist", "service_name": "assist-llm"},
        {"kind": "tenant", "name": "team-a", "key_digests": [key_digest(KEY)]},
        {
            "kind": "backend_server",
            "name": "server-1",
            "service_name": "assist-llm",
            "url": f"http://127.0.0.1:{engine_port}",
        },
    ]
    return [
        ConfigEntry(value["kind"], value["name"], json.dumps(value)) for value in values
    ]


async def wait_ready(session, url):
    """Return once the host is ready."""
    for _ in range(200):
        async with session.get(f"{url}/readyz") as response:
            if response.status == 200:
                return
        await asyncio.sleep(0.05)
    raise AssertionError("host did not get ready")


async def stream_chat(platform_port, engine_port, host_port):
    """Publish the declarations and return the bytes of one streamed answer."""
    url = f"http://127.0.0.1:{host_port}"
    async with aiohttp.ClientSession() as session:
        client = LogClient(StoreClient(f"http://127.0.0.1:{platform_port}", session))
        await ConfigFollower(client, Clock()).publish(declarations(engine_port), -1)
        await wait_ready(session, url)
        messages = [{"role": "user", "content": "hello"}]
        body = {"model": "assist", "stream": True, "max_tokens": 5}
        async with session.post(
            f"{url}/v1/chat/completions",
            json={**body, "messages": messages},
            headers={"Authorization": f"Bearer {KEY}"},
        ) as response:
            assert response.status == 200
            return await response.read()


def test_streamed_answer_through_separate_processes(tmp_path):
    """Guards the thin path: log, configuration, routing and relay."""
    platform = write_json(tmp_path / "platform.json", {})
    engine = write_json(tmp_path / "engine.json", {"server_id": "server-1"})
    with (
        running("standin", "platform", "--settings", platform) as platform_process,
        running("standin", "engine", "--settings", engine) as engine_process,
    ):
        host = write_json(
            tmp_path / "host.json",
            {
                "host_id": "host-1",
                "failure_domain": "kigali-a",
                "platform_url": f"http://127.0.0.1:{platform_process.port}",
                "peer_secret": "0123456789abcdef",
            },
        )
        with running("serve", "--settings", host) as host_process:
            answer = asyncio.run(
                stream_chat(
                    platform_process.port, engine_process.port, host_process.port
                )
            )
    assert answer.count(b"data: ") == 6
    assert answer.endswith(b"data: [DONE]\n\n")
