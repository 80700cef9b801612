"""A small deployment on loopback: gateways as processes, and stand-ins."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

from datagrams import DatagramLinks
from http1 import call_once
from record import Record
from runner import Runner

from galenascale.standins.store_api import StoreStandin

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "ficu95.example"
ZONES = ("quito-norte", "guayaquil-centro", "cuenca-sur")
HEARTBEAT_S = 1.2
GRACE_S = 8
READY_TIMEOUT_S = 25.0
# Seconds after which the platform starts an ended process again.
RESTART_DELAY_S = 0.5
CASE_LIMIT_S = 108.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be run."""


def free_port(kind=socket.SOCK_STREAM):
    """Return a port below the ephemeral ones that is free."""
    while True:
        port = random.randrange(20000, 31000)
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.10.1", port))
            except OSError:
                continue
            return port


class Gateway:
    """One gateway process and what the platform sees of it."""

    def __init__(self, number, zone, settings_path, log_path, ports):
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.ip = f"127.0.10.{number}"
        self.datagram_port = ports["datagram"]
        self.front = f"{self.ip}:{ports['front']}"
        self.ready_address = f"{self.ip}:{ports['ready']}"
        self.settings_path = settings_path
        self.log_path = log_path
        self.process = None
        # Misses of the readiness check in a row, and whether in rotation.
        self.misses = 0
        self.in_rotation = False
        # Number of times that the process ended by itself.
        self.own_ends = 0

    def start(self):
        """Start the process as the deploy file says."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "GALENASCALE_NODE_FILE": str(self.settings_path),
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
        }
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "galenascale.platform"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    @property
    def datagram_address(self):
        """Return (ip, port) at which the gateway receives datagrams."""
        return (self.ip, self.datagram_port)

    @property
    def running(self):
        """Return True while the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        """Send a signal to the process."""
        if self.running:
            self.process.send_signal(number)


class Deployment:
    """Store, runners, operator, balancer and gateways."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.record = Record(self.folder / "record.txt")
        self.store = StoreStandin(random.Random(1))
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.ports = {name: free_port() for name in ("front", "ready", "control")}
        self.ports["metrics"] = free_port()
        self.ports["datagram"] = free_port(socket.SOCK_DGRAM)
        self.gateways = []
        self.runners = []
        self.version = 0
        # Fields that replace bounds in the settings of the gateways, and
        # tenants of the configuration.
        self.bounds = {}
        self.tenants = None
        # Whether datagrams pass through relays, and these.
        self.has_links = False
        self.links = None
        self._tasks = []
        # Entries of these runners are not renewed.
        self.silent = set()

    async def start(self, runners, routes, services, gateways=3):
        """Start everything; return once all gateways are ready."""
        await self.store.start()
        self.runners = runners
        for runner in runners:
            await runner.start()
        self.write_entries()
        self.configure(routes, services)
        for number in range(1, gateways + 1):
            self._add_gateway(number)
        if self.has_links:
            await self._link_gateways()
        for gateway in self.gateways:
            gateway.settings_path.write_text(json.dumps(self._settings(gateway)))
            gateway.start()
        self._tasks.append(asyncio.ensure_future(self._beat()))
        self._tasks.append(asyncio.ensure_future(self._balance()))
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while not all(gateway.in_rotation for gateway in self.gateways):
            if time.monotonic() > give_up_at:
                raise CannotRun("gateways did not become ready")
            await asyncio.sleep(0.1)
        # They hear of each other.
        await asyncio.sleep(2.0)
        self.record.write("ready", gateways=[g.name for g in self.gateways])

    def _add_gateway(self, number):
        zone = ZONES[(number - 1) % len(ZONES)]
        path = Path(self.temporary.name) / f"gateway-{number}.json"
        log_path = Path(self.temporary.name) / f"gateway-{number}.log"
        self.gateways.append(Gateway(number, zone, path, log_path, self.ports))

    async def _link_gateways(self):
        """Let the datagrams between gateways pass through relays."""
        for gateway in self.gateways:
            gateway.datagram_port = free_port(socket.SOCK_DGRAM)
        self.links = DatagramLinks([g.datagram_address for g in self.gateways])
        await self.links.start()

    def _settings(self, gateway):
        """Return the settings as the template of the deploy file has them."""
        control = self.ports["control"]
        return {
            "schema_version": 1,
            "host_id": gateway.name,
            "failure_domain": gateway.zone,
            "caller_listen": gateway.front,
            "ready_listen": gateway.ready_address,
            "peer_listen": f"{gateway.ip}:{control}",
            "peer_datagram_port": gateway.datagram_port,
            "metrics_port": self.ports["metrics"],
            "failure_domains": list(ZONES),
            "seeds": [f"127.0.10.{number}:{control}" for number in (1, 2, 3)],
            "store": {
                "address": self.store.address,
                "partitions": 24,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "retention_s": 300,
                "min_lease_ms": 1000,
            },
            "bounds": {
                "drain_ms": 2000,
                "stop_grace_s": GRACE_S,
                "config_apply_ms": 2000,
                "job_retention_s": 120,
                "cancel_ms": 3000,
                "revoke_ms": 0,
                "quota_window_s": 5,
                "quota_overshoot": 0.1,
                "quota_slack": 0,
                **self.bounds,
            },
        }

    def configure(self, routes, services):
        """Write the next configuration, as the operator does."""
        self.version += 7
        config = {
            "Version": self.version,
            "Routes": routes,
            "Services": services,
            "Limits": {
                "HeaderBytes": 16384,
                "BodyBytes": 4194304,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
        }
        if self.tenants is not None:
            config["Tenants"] = self.tenants
        self.store.write_key("keyed.op", "config", json.dumps(config).encode())
        self.record.write("config", version=self.version)

    def write_entries(self):
        """Write the entries of all runners, as they do themselves."""
        for runner in self.runners:
            if runner not in self.silent:
                self.store.write_key("keyed.servers", runner.id, runner.entry())

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_entries()

    async def _balance(self):
        """Check once a second which gateways take new connections."""
        while True:
            await asyncio.gather(*map(self._check, self.gateways))
            await asyncio.sleep(1.0)

    async def _check(self, gateway):
        headers = {"Host": "ready"}
        answer = await call_once(
            gateway.ready_address, "GET", "/ready", headers, timeout_s=0.9
        )
        before = gateway.in_rotation
        gateway.misses = 0 if answer.status == 200 else gateway.misses + 1
        if answer.status == 200:
            gateway.in_rotation = True
        elif gateway.misses >= 2:
            gateway.in_rotation = False
        if gateway.in_rotation != before:
            state = "in" if gateway.in_rotation else "out"
            self.record.write("rotation", gateway=gateway.name, state=state)

    def choose(self, rng, zone=None):
        """Return a gateway for a new connection, as the platform does."""
        fitting = [g for g in self.gateways if g.in_rotation] or self.gateways
        local = [g for g in fitting if g.zone == zone]
        return rng.choice(local or fitting)

    def restart_later(self, gateway):
        """Start an ended process again after the platform's delay."""

        async def restart():
            await asyncio.sleep(RESTART_DELAY_S)
            gateway.start()
            self.record.write("start", gateway=gateway.name)

        self._tasks.append(asyncio.ensure_future(restart()))

    async def stop(self):
        """Stop all gateways: SIGTERM, and SIGKILL after the grace period."""
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGTERM)
        give_up_at = time.monotonic() + GRACE_S
        while time.monotonic() < give_up_at:
            if not any(gateway.running for gateway in self.gateways):
                break
            await asyncio.sleep(0.05)
        for gateway in self.gateways:
            if gateway.running:
                self.record.write("killed after GraceS", gateway=gateway.name)
                gateway.signal(signal.SIGKILL)
                gateway.process.wait()
        for runner in self.runners:
            runner.stop()
        if self.links is not None:
            self.links.close()
        with contextlib.suppress(OSError):
            await self.store.stop()

    def kill_all(self):
        """End all processes that are left, whatever happened."""
        for gateway in self.gateways:
            if gateway.running:
                gateway.process.kill()
                gateway.process.wait()


def make_route(name, kind, service, **fields):
    """Return a route in the operator's format."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 5000,
        "SloMs": 400,
        "Priority": 0,
        "Service": service,
        "Attempts": 1,
        **fields,
    }


SERVICES = [
    {
        "Name": "llm",
        "HealthPath": "/health",
        "MaxConns": 200,
        "Protocol": "h1",
        "Tls": False,
        "EngineKind": {"Slots": 8, "KvTokens": 147261, "Models": [{"Name": "m"}]},
    },
    {
        "Name": "app",
        "HealthPath": "/health",
        "MaxConns": 96,
        "Protocol": "h1",
        "Tls": False,
    },
]


def make_runners(record, counts, **fields):
    """Return runners by service, spread over the zones."""
    return [
        Runner(record, service, number, ZONES[number % len(ZONES)], **fields)
        for service, count in counts.items()
        for number in range(count)
    ]


class Spells:
    """Spells of trouble, as seconds after the start of the traffic."""

    def __init__(self, starts, length_s):
        self._starts = starts
        self._length_s = length_s
        self._began_at = None

    def begin(self):
        """Set the start of the traffic."""
        self._began_at = time.monotonic()

    @property
    def active(self):
        """Return True within a spell, unless the case runs without trouble."""
        if not TROUBLE or self._began_at is None:
            return False
        elapsed_s = time.monotonic() - self._began_at
        return any(0 <= elapsed_s - start < self._length_s for start in self._starts)


def _keep_logs(deployment):
    """Copy the logs of the gateways to the folder in KEEP_LOGS, if set."""
    if "KEEP_LOGS" not in os.environ:
        return
    folder = Path(os.environ["KEEP_LOGS"])
    folder.mkdir(parents=True, exist_ok=True)
    for gateway in deployment.gateways:
        path = Path(gateway.log_path)
        (folder / path.name).write_bytes(path.read_bytes())


def _end(_signal, _frame):
    sys.exit(2)


def run_case(folder, case):
    """
    Run `case(deployment)`, which returns True if the rule was broken.

    Exit with 1 if so, 0 if the rule held, and 2 if the case could not run.
    """
    deployment = Deployment(folder)

    async def run():
        try:
            async with asyncio.timeout(CASE_LIMIT_S):
                try:
                    return await case(deployment)
                finally:
                    await deployment.stop()
        except (CannotRun, TimeoutError) as error:
            deployment.record.write("cannot run", reason=repr(error))
            return None

    signal.signal(signal.SIGTERM, _end)
    broken = None
    try:
        broken = asyncio.run(run())
    except Exception:
        # An error of the script itself says nothing about the rule.
        deployment.record.write("cannot run", reason=traceback.format_exc())
    finally:
        deployment.kill_all()
        _keep_logs(deployment)
        deployment.record.write("end", trouble=TROUBLE)
        deployment.temporary.cleanup()
    if broken is None:
        print("the case could not run; see record.txt")
        sys.exit(2)
    print("BROKEN" if broken else "held")
    sys.exit(1 if broken else 0)
