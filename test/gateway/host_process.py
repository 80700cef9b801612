"""A gateway host that runs as a process of its own, and what it holds."""

import asyncio
import contextlib
import json
import resource
import subprocess
import sys
from pathlib import Path

import attrs

from test.gateway.fleet import GatewayFleet, until


@attrs.define
class Host:
    """A gateway process and the ports of its listeners."""

    process: subprocess.Popen
    ports: dict

    def _status(self, name):
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1]) << 10
        raise LookupError(name)

    @property
    def peak_bytes(self):
        """Return the largest resident memory so far."""
        return self._status("VmHWM")

    @property
    def descriptors(self):
        """Return the number of open descriptors."""
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))


def start_process(command, max_descriptors=0):
    """Start a program without its output; 0 leaves the limit as it is."""

    def lower_limit():
        if max_descriptors:
            limits = (max_descriptors, max_descriptors)
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    return subprocess.Popen(command, stdout=subprocess.DEVNULL, preexec_fn=lower_limit)


@contextlib.asynccontextmanager
async def running_host(
    tmp_path, caller_memory_mb, max_descriptors=0, limits=None, bounds=None
):
    """
    Yield a fleet and the Host of its only process, once that is ready.

    `limits` are those on callers, and `bounds` the limits in time, that differ
    from the fleet's usual ones.
    """
    fleet = GatewayFleet()
    fleet.limits |= limits or {}
    fleet.bounds |= bounds or {}
    try:
        await fleet.start(hosts=0)
        settings = fleet.settings(1)
        settings.metrics_port = fleet.ports["metrics"] = fleet.ports["caller"] + 1000
        settings.caller_memory_mb = caller_memory_mb
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(attrs.asdict(settings)))
        command = [sys.executable, "-m", "galenascale", "gateway", "--settings", path]
        process = start_process(command, max_descriptors)
        try:
            await wait_until_ready(fleet, process)
            yield fleet, Host(process, fleet.ports)
        finally:
            process.kill()
            process.wait()
    finally:
        await fleet.close()


async def wait_until_ready(fleet, process):
    """Return once the process answers its readiness check with 200."""
    answers = []

    async def ask():
        while process.poll() is None:
            with contextlib.suppress(OSError):
                ready = ("127.0.0.1", fleet.ports["ready"])
                reader, writer = await asyncio.open_connection(*ready)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    answers.append(line)
                    return
            await asyncio.sleep(0.05)

    task = asyncio.create_task(ask())
    await until(lambda: answers or process.poll() is not None)
    await task
    assert answers
