"""Fleet of real gateway processes behind fault-injecting proxies."""

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import attrs

from galenascale.generated.gateway_messages import GatewaySettings
from galenascale.standins.runner import RunnerStandin
from galenascale.standins.store_api import StoreStandin
from test.gateway.fleet import GatewayFleet
from test.soak.faults import STOP_GRACE_S
from test.soak.proxy import Proxy
from test.soak.tenants import OVERSHOOT, REVOKE_MS, SLACK, WINDOW_S, SoakTenants

ROOT = Path(__file__).resolve().parent.parent.parent
# Seconds in which all hosts must become ready after the start.
START_TIMEOUT_S = 20.0
# Signals after which a host listens no more.
ENDING_SIGNALS = (signal.SIGKILL, signal.SIGTERM)


@attrs.define
class HostProcess:
    """One gateway process and its proxy to the store."""

    number: int
    settings_path: str
    store_proxy: Proxy
    environment: dict
    # Directory of the checkout whose code the process runs.
    checkout: Path = ROOT
    process: object = None
    log_file: object = None
    # The test ended the process, and no request has been answered since.
    was_ended: bool = False

    @property
    def address(self):
        """Return the IP address of the host."""
        return f"127.0.0.{self.number}"

    @property
    def running(self):
        """Return True if the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def start(self):
        """Start the process, appending its stdout to `log_file`."""
        command = [
            sys.executable,
            "-m",
            "test.soak.gateway_process",
            "gateway",
            "--settings",
            self.settings_path,
        ]
        self.process = subprocess.Popen(
            command,
            stdout=self.log_file,
            cwd=self.checkout,
            env=os.environ | self.environment,
        )

    def send_signal(self, number):
        """Send a signal unless the process has ended."""
        if self.running:
            self.was_ended = self.was_ended or number in ENDING_SIGNALS
            self.process.send_signal(number)

    def kill(self):
        """Kill the process, also if it is paused, and wait for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class ProcessFleet(GatewayFleet):
    """Stand-ins in this process, each gateway in its own process."""

    def __init__(self, directory, environment=None, checkouts=(ROOT,)):
        super().__init__()
        self.store = StoreStandin(self.rng)
        self.keys = SoakTenants()
        self.tenants = self.keys.declarations()
        self.directory = Path(directory)
        self.environment = environment or {}
        # Hosts alternate between the code of these checkouts.
        self.checkouts = checkouts
        self.processes = []
        self.proxies_by_runner = {}

    async def start_fleet(self, hosts, runners_by_service):
        """Start everything and wait until all hosts are ready."""
        await self.store.start()
        for service, count in runners_by_service.items():
            for number in range(count):
                await self._add_proxied_runner(f"{service}-{number}", service)
        self.write_config()
        for number in range(2, hosts + 2):
            await self.add_process(number)
        assert await self.wait_until_ready(START_TIMEOUT_S), "hosts do not start"

    def replace_key(self, name):
        """Take a tenant's key away and give it another one."""

        def write_config():
            self.tenants = self.keys.declarations()
            self.write_config()

        self.keys.replace_key(name, write_config)

    async def wait_until_ready(self, wait_s):
        """Return True once all hosts are ready, False after `wait_s` s."""
        deadline = asyncio.get_running_loop().time() + wait_s
        for process in self.processes:
            while not await self.is_ready(process):
                if asyncio.get_running_loop().time() > deadline:
                    return False
                await asyncio.sleep(0.05)
        return True

    async def _add_proxied_runner(self, server_id, service):
        runner = RunnerStandin(server_id, service)
        await runner.start()
        proxy = Proxy(runner.address)
        await proxy.start()
        # Registers the address of the proxy in place of the runner's own.
        runner.address = proxy.address
        runner.behaviour.echo_request_id = True
        self.proxies_by_runner[server_id] = proxy
        self.runners.append(runner)
        self.register(runner)

    async def add_process(self, number, skew_ms=0):
        """Start a gateway at 127.0.0.`number`, its clock off by `skew_ms`."""
        proxy = Proxy(self.store.address)
        await proxy.start()
        settings = self.settings(number)
        settings.store.address = proxy.address
        settings.seeds = [f"127.0.0.2:{self.ports['peer']}"]
        settings.bounds.stop_grace_s = STOP_GRACE_S
        settings.bounds.revoke_ms = REVOKE_MS
        settings.bounds.quota_window_s = WINDOW_S
        settings.bounds.quota_overshoot = OVERSHOOT
        settings.bounds.quota_slack = SLACK
        settings.log_level = "info"
        path = self.directory / f"host-{number}.json"
        path.write_text(json.dumps(stated_settings(settings)))
        environment = dict(self.environment)
        if skew_ms:
            environment["GALENASCALE_SOAK_SKEW_MS"] = str(skew_ms)
        log_file = (self.directory / f"host-{number}.log").open("ab")
        process = HostProcess(
            number,
            str(path),
            proxy,
            environment,
            self.checkouts[number % len(self.checkouts)],
            log_file=log_file,
        )
        process.start()
        self.processes.append(process)
        return process

    def process_by_number(self, number):
        """Return the HostProcess of a host."""
        return next(item for item in self.processes if item.number == number)

    async def is_ready(self, process):
        """Return True if a host answers GET /ready with 200 in 0.5 s."""
        try:
            reader, writer = await asyncio.open_connection(
                process.address, self.ports["ready"]
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            async with asyncio.timeout(0.5):
                line = await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return b" 200 " in line

    async def stop_fleet(self):
        """
        Kill all gateways and stop the proxies and stand-ins.

        An error of one of them does not keep the others running.
        """
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self.close)
            for proxy in self.proxies_by_runner.values():
                stack.push_async_callback(proxy.stop)
            for process in self.processes:
                stack.push_async_callback(process.store_proxy.stop)
                stack.callback(process.log_file.close)
                stack.callback(process.kill)


def stated_settings(settings):
    """
    Return the settings that differ from their defaults, as plain data.

    Hosts of an earlier build refuse settings that they do not know.
    """
    defaults = attrs.asdict(GatewaySettings())
    return {
        name: value
        for name, value in attrs.asdict(settings).items()
        if value != defaults[name]
    }


def make_run_directory():
    """Return a new directory for the settings and logs of one scenario."""
    return tempfile.mkdtemp(prefix="galenascale-soak-")
