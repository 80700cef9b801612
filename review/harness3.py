"""
Starts gateways as the deploy file says, and stand-ins of everything else.

The store and the backend servers are the project's own stand-ins; the clients
and the platform's checks are in this module. All addresses are loopback.
"""

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import orjson

from galenascale.standins.runner import RunnerStandin
from galenascale.standins.store_api import StoreStandin

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "front.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Stand-ins listen on 127.0.0.1, gateways on the addresses after it.
MAX_ADDRESSES = 8


def trouble():
    """Return False for a run without the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(kind=socket.SOCK_STREAM):
    """Return a port that is free at the loopback addresses of a case."""
    while True:
        port = random.randrange(20000, 31000)
        with contextlib.ExitStack() as stack:
            try:
                for number in range(1, MAX_ADDRESSES + 1):
                    sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
                    sock.bind((f"127.0.0.{number}", port))
            except OSError:
                continue
            return port


class Record:
    """Writes what was sent, answered and run, one line an event."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("")
        self._begin = time.monotonic()

    def write(self, event, **fields):
        """Write one line."""
        at = time.monotonic() - self._begin
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._path.open("a") as file:
            file.write(f"{at:8.3f} {event} {text}\n")


def make_route(name, kind, service, **fields):
    """Return a route in the operator's format."""
    return {
        "Name": name,
        "Host": HOST_NAME,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 5000,
        "SloMs": 400,
        "Priority": 0,
        "Service": service,
        "Attempts": 2,
        **fields,
    }


ROUTES = (
    make_route("plain", "idempotent", "app"),
    make_route("once", "non_idempotent", "app", Attempts=1),
    make_route("chat", "streaming", "llm", CanResume=True, GapTargetMs=300),
    make_route(
        "jobs", "batch", "llm", TimeoutMs=15000, DueMs=18000, ItemTtlS=60, Attempts=3
    ),
)
LIMITS = {
    "HeaderBytes": 16384,
    "BodyBytes": 4194304,
    "HeaderTimeoutMs": 5000,
    "IdleTimeoutMs": 15000,
}


class TextRunner(RunnerStandin):
    """Backend server whose streams have a text of their own each."""

    def __init__(self, server_id, service, slots=8):
        super().__init__(server_id, service, slots=slots)
        # Ids of requests whose run came to its end.
        self.finished = set()
        # Loop time in seconds at which a run ended last.
        self.ended_at = 0.0

    def text_of(self, request, number):
        """Return the data of an event."""
        return event_text(request.request_id, number)

    async def _stream(self, request, behaviour, reader, writer):
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Galenascale-Attempt-Id: {request.request_id}",
            "X-Galenascale-Response-Signature: signed",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            *request.extra_header_lines,
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        first = int(request.header("Last-Event-Id") or 0) + 1
        try:
            for number in range(first, behaviour.events + 1):
                await asyncio.sleep(behaviour.event_interval_s)
                if reader.at_eof() or writer.transport.is_closing():
                    return False
                text = self.text_of(request, number)
                event = f"id: {number}\ndata: {text}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            self.finished.add(request.request_id)
        finally:
            self.ended_at = asyncio.get_running_loop().time()
        return True


def event_text(request_id, number):
    """Return the data of an event of a request."""
    return hashlib.sha256(f"{request_id} {number}".encode()).hexdigest()[:8]


def make_job(job_id, items, body_bytes):
    """Return a job of items with random bodies, as JSON."""
    return orjson.dumps(
        {
            "Items": [
                {
                    "Id": f"{job_id}-{number}",
                    "Path": "/jobs/x",
                    "Headers": {
                        "X-Galenascale-Model": "m",
                        "X-Galenascale-Token-Usage": "350,219",
                    },
                    "Body": base64.b64encode(os.urandom(body_bytes)).decode(),
                    "Tokens": 569,
                }
                for number in range(items)
            ]
        }
    )


def job_fields(job_id):
    """Return the header fields of a call that submits a job."""
    return [("X-Galenascale-Attempt-Id", job_id), ("X-Galenascale-Deadline-Ms", "4000")]


class Gateway:
    """One gateway process at its own loopback address."""

    def __init__(self, fleet, number, zone):
        self.fleet = fleet
        self.number = number
        self.zone = zone
        self.address = f"127.0.0.{number}"
        self.process = None
        self.path = fleet.folder / f"edge-{number}.json"
        self.log_path = fleet.folder / f"edge-{number}.log"
        self.store_address = fleet.store.address

    def settings(self):
        """Return what the template of the deploy file yields."""
        ports = self.fleet.ports
        return {
            "schema_version": 1,
            "host_id": f"edge-{self.number}",
            "failure_domain": self.zone,
            "caller_listen": f"{self.address}:{ports['front']}",
            "ready_listen": f"{self.address}:{ports['ready']}",
            "peer_listen": f"{self.address}:{ports['control']}",
            "peer_datagram_port": ports["datagram"],
            "metrics_port": ports["metrics"],
            "host_memory_mb": self.fleet.memory_mb,
            "host_descriptors": 8200,
            "failure_domains": self.fleet.zones,
            "seeds": [f"127.0.0.2:{ports['control']}"],
            "store": {
                "address": self.store_address,
                "partitions": 24,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "retention_s": 300,
                "min_lease_ms": 1000,
            },
            "bounds": {
                "drain_ms": 2000,
                "stop_grace_s": 8,
                "config_apply_ms": 2000,
                "job_retention_s": 120,
                "cancel_ms": 3000,
                "revoke_ms": 0,
                "quota_window_s": 5,
                "quota_overshoot": 0.1,
                "quota_slack": 0,
            },
        }

    async def start(self):
        """Start the process with the command of the deploy file."""
        self.path.write_text(json.dumps(self.settings()))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= role["env"]
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["GALENASCALE_NODE_FILE"] = str(self.path)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def running(self):
        """Return True while the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.running:
            self.process.send_signal(number)

    async def end(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def memory_mb(self):
        """Return the resident memory of the process in MB, 0 if it ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self):
        """Return True if GET /ready is answered with 200."""
        try:
            async with asyncio.timeout(1.0):
                status, _, _ = await call(
                    self.address, self.fleet.ports["ready"], "GET", "/ready", []
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200


async def call(address, port, method, path, fields, body=b""):
    """Send one request on a new connection; return (status, fields, body)."""
    reader, writer = await asyncio.open_connection(address, port)
    try:
        lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
        if not any(name == "Host" for name, _ in fields):
            lines.append(f"Host: {HOST_NAME}")
        lines += [f"{name}: {value}" for name, value in fields]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        return await read_answer(reader, method)
    finally:
        writer.close()


async def read_answer(reader, method="GET"):
    """Return (status, fields, body) of the next answer on a connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    status = int(first.split()[1])
    if method == "HEAD" or status in (204, 304):
        return status, fields, b""
    if fields.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
        return status, fields, body
    return status, fields, await reader.readexactly(int(fields["content-length"]))


class Fleet:
    """Store, backend servers and gateways of one case."""

    def __init__(self, record, folder, zones=("a",), memory_mb=180):
        self.record = record
        self.folder = Path(folder)
        self.zones = list(zones)
        self.memory_mb = memory_mb
        self.store = StoreStandin(random.Random(1))
        self.runners = []
        self.gateways = []
        self.version = 0
        self.routes = list(ROUTES)
        self.ports = {name: free_port() for name in ("front", "ready", "control")}
        self.ports["metrics"] = free_port()
        self.ports["datagram"] = free_port(socket.SOCK_DGRAM)
        # Set after each heartbeat of the backend servers.
        self.beaten = asyncio.Event()
        self._tasks = []

    async def start(self, gateways, runners_by_service, runners=(), heartbeat_s=1.2):
        """Start everything; return False if the gateways don't get ready."""
        await self.store.start()
        for runner in runners:
            await self.add_runner(runner)
        for service, count in runners_by_service.items():
            for number in range(count):
                await self.add_runner(TextRunner(f"{service}-{number}", service))
        self.write_config()
        self._tasks.append(asyncio.ensure_future(self._beat(heartbeat_s)))
        for number in range(2, gateways + 2):
            gateway = Gateway(self, number, self.zones[number % len(self.zones)])
            self.gateways.append(gateway)
            await gateway.start()
        return await self.wait_ready()

    async def wait_ready(self, wait_s=20.0):
        """Return True once all gateways are ready."""
        until = time.monotonic() + wait_s
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > until or not gateway.running:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def add_runner(self, runner):
        """Start a backend server and register it."""
        runner.behaviour.echo_request_id = True
        await runner.start()
        runner.state = "ready"
        self.runners.append(runner)
        self.register(runner)

    def register(self, runner):
        """Write the entry of a backend server, as it does each heartbeat."""
        self.store.write_key(
            "keyed.servers", runner.server_id, runner.registration(runner.state)
        )

    async def _beat(self, interval_s):
        while True:
            await asyncio.sleep(interval_s)
            for runner in self.runners:
                if runner.state is not None:
                    self.register(runner)
            self.beaten.set()

    def write_config(self):
        """Write the next version of the configuration."""
        self.version += 3
        engine = {"Slots": 8, "KvTokens": 147_261}
        config = {
            "Version": self.version,
            "Routes": self.routes,
            "Services": [
                {"Name": "app", "MaxConns": 96},
                {"Name": "llm", "MaxConns": 200, "EngineKind": engine},
            ],
            "Limits": LIMITS,
        }
        self.store.write_key("keyed.op", "config", orjson.dumps(config))

    async def call(self, gateway, method, path, fields, body=b""):
        """Call a gateway; see `call`."""
        return await call(
            gateway.address, self.ports["front"], method, path, fields, body
        )

    async def read_job(self, gateway, job_id):
        """Return the (state, text) of each listed item of a job by its id."""
        outputs = {}
        position = 0
        while True:
            path = f"/lots/{job_id}?After={position}"
            status, _, body = await self.call(gateway, "GET", path, [])
            if status != 200:
                return None
            page = orjson.loads(body)
            if not page["Outputs"]:
                return outputs
            position = page["NextToken"]
            for output in page["Outputs"]:
                outputs[output["Id"]] = (output["State"], output["Text"])

    async def stop(self):
        """End all that was started."""
        # Connections that are served now end with errors that mean nothing.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            await gateway.end()
        for runner in self.runners:
            await runner.stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(3):
                await self.store.stop()


def run_case(play, folder, **options):
    """Run `play(fleet, record)`; exit with its result."""
    record = Record(Path(folder) / "record.txt")
    record.write("begin", trouble=int(trouble()))

    async def main():
        with tempfile.TemporaryDirectory() as temporary:
            fleet = Fleet(record, temporary, **options)
            try:
                async with asyncio.timeout(115):
                    return await play(fleet, record)
            finally:
                await fleet.stop()

    try:
        result = asyncio.run(main())
    except Exception as error:
        record.write("could_not_run", reason=repr(error))
        result = NOT_RUN
    record.write("end", result={0: "held", 1: "broken", 2: "not_run"}[result])
    sys.exit(result)
