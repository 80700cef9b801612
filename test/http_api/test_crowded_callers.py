"""
Crowds at the caller listener of a `serve` process.

The same ways, crowd and bound as those of the gateway's tests; each case
starts processes of its own.
"""

import asyncio
from pathlib import Path

import aiohttp
import pytest

from test.gateway import test_crowded_connections as crowds
from test.processes import running, write_json

PATHS = ("/healthz", "/v1/chat/completions")
WAYS = (*crowds.HEADS, *crowds.IN_BODIES, *crowds.AHEAD)


def peak_bytes(process):
    """Return the largest resident memory of a process so far."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) << 10
    raise LookupError("VmHWM")


async def play(process, way, path):
    """Return the growth of the process, and the status of a request."""
    url = f"http://127.0.0.1:{process.port}/healthz"
    async with aiohttp.ClientSession() as session:
        async with session.get(url) as response:
            assert response.status == 200
        before = peak_bytes(process)
        writers = await asyncio.gather(
            *(
                crowds.misbehave(process.port, way, path, False)
                for _ in range(crowds.CROWD)
            )
        )
        try:
            async with (
                asyncio.timeout(crowds.ANSWER_TIMEOUT_S),
                session.get(url) as response,
            ):
                return peak_bytes(process) - before, response.status
        finally:
            for writer in writers:
                writer.transport.abort()


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("way", WAYS, ids=crowds.case_id)
def test_crowd_stays_within_the_memory(way, path, tmp_path):
    """A crowd takes a bounded part of the memory, and others are served."""
    platform = write_json(tmp_path / "platform.json", {})
    with running("standin", "platform", "--settings", platform) as platform_process:
        host = write_json(
            tmp_path / "host.json",
            {
                "host_id": "host-1",
                "failure_domain": "a",
                "platform_url": f"http://127.0.0.1:{platform_process.port}",
                "peer_secret": "0123456789abcdef",
            },
        )
        with running("serve", "--settings", host) as process:
            growth, status = asyncio.run(play(process, way, path))
            assert process.poll() is None
            assert status == 200
            assert growth <= crowds.MAX_GROWTH_BYTES
