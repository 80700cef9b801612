"""A whole deployment in one process."""

import asyncio
import socket

import aiohttp
import pytest

from galenascale.deployments import EXAMPLES
from galenascale.embedded import EmbeddedDeployment
from galenascale.host import Host
from galenascale.standins.server import StandinServer


def _listens(url):
    host, port = url.removeprefix("http://").split(":")
    with socket.socket() as probe:
        return probe.connect_ex((host, int(port))) == 0


def _urls(embedded):
    summary = embedded.summary()
    servers = [*summary.entry_hosts, *summary.backend_servers]
    return [summary.platform_url, *(server.url for server in servers)]


@pytest.mark.parametrize("name", ["mutara", "asociacion"])
async def test_deployment_serves_and_stops(name):
    """Guards the start order, the published URLs, keys and the stop."""
    async with EmbeddedDeployment.from_directory(EXAMPLES / name) as embedded:
        summary, urls = embedded.summary(), _urls(embedded)
        assert len(set(urls)) == len(urls) and all(map(_listens, urls))
        assert len(summary.entry_hosts) == len(embedded.deployment.settings.hosts)
        peers = {}
        for host_id, host in embedded.hosts_by_id.items():
            assert host_id not in host.settings.seed_peers
            peers |= host.settings.seed_peers
        assert peers.keys() == embedded.hosts_by_id.keys()
        assert len(set(peers.values())) == len(peers)
        body = {
            "model": "assist" if name == "mutara" else "asistente",
            "stream": True,
            "max_tokens": 6,
            "messages": [{"role": "user", "content": "hello"}],
        }
        headers = {"Authorization": f"Bearer {summary.caller_key}"}
        async with aiohttp.ClientSession(headers=headers) as session:
            for host in summary.entry_hosts[::4]:
                async with session.get(host.url + "/readyz") as response:
                    assert response.status == 200
                async with session.post(
                    host.url + "/v1/chat/completions", json=body
                ) as response:
                    answer = await response.read()
                assert answer.endswith(b"data: [DONE]\n\n")
        generated = [
            standin.model.generated_tokens
            for standin in embedded.standins_by_id.values()
            if hasattr(standin, "model")
        ]
        assert sum(generated) == 6 * len(summary.entry_hosts[::4])
    assert not any(map(_listens, urls))


async def test_failed_start_closes_what_was_started(monkeypatch):
    """Guards against listeners left behind by a host that cannot start."""
    started = []
    start = StandinServer.start

    async def record(self):
        await start(self)
        started.append(self.url)

    async def fail(_):
        await asyncio.sleep(0)
        raise OSError("no port")

    monkeypatch.setattr(StandinServer, "start", record)
    monkeypatch.setattr(Host, "start", fail)
    embedded = EmbeddedDeployment.from_directory(EXAMPLES / "mutara")
    with pytest.raises(OSError, match="no port"):
        await embedded.start()
    assert len(started) == 9 and not any(map(_listens, started))


async def test_caller_who_goes_away_frees_the_engine(caplog):
    """Guards the cancel call between the online service and the engines."""
    async with EmbeddedDeployment.from_directory(EXAMPLES / "mutara") as embedded:
        summary = embedded.summary()
        body = {
            "model": "assist",
            "stream": True,
            "max_tokens": 5000,
            "messages": [{"role": "user", "content": "hello"}],
        }
        headers = {"Authorization": f"Bearer {summary.caller_key}"}
        url = summary.entry_hosts[0].url + "/v1/chat/completions"
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.post(url, json=body) as response,
        ):
            await response.content.readany()
            response.close()
        host = embedded.hosts_by_id[summary.entry_hosts[0].id]
        for _ in range(500):
            if not any(load.online_in_flight for load in host.online.loads()):
                break
            await asyncio.sleep(0.01)
        assert not any(load.online_in_flight for load in host.online.loads())
        models = [
            getattr(item, "model", None) for item in embedded.standins_by_id.values()
        ]
        assert not any(model.running for model in models if model is not None)
    assert "Background work failed" not in caplog.text
