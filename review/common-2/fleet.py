"""
A small deployment on loopback addresses, for the scripts of the second review.

Gateways are processes that the command of `deploy/system.toml` starts. The
store is the project's own stand-in; it refuses records and calls that are
larger than the users' pages allow. The runners are small ones of this module:
strict HTTP/1.1 servers, whose requests are parsed by `httptools` and answered
in order.
"""

import asyncio
import base64
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
import tomllib
from pathlib import Path

import httptools
import orjson
from aiohttp import web

from galenascale.standins.store_api import StoreStandin, parse_records

ROOT = Path(__file__).resolve().parent.parent.parent
HOST_NAME = "front.example"
ZONE = "zone-a"
# Of the settings on the page DEPLOY.md.
RECORD_BYTES = 262144
CALL_BYTES = 2097152
COMPLETION_S = 18.0
SETTLE_S = 1.0
# Exit code of a broken rule; Python itself exits with 1 after an error.
BROKEN = 10
BOUNDS = {
    "drain_ms": 2000,
    "stop_grace_s": 8,
    "config_apply_ms": 2000,
    "job_retention_s": 120,
    "cancel_ms": 3000,
    "revoke_ms": 0,
    "quota_window_s": 5,
    "quota_overshoot": 0.1,
    "quota_slack": 0,
}


def is_trouble():
    """Return False if the disruption is to be left out (TROUBLE=0)."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name, kind, service, **fields):
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
    route("plain", "idempotent", "app", TimeoutMs=1500),
    route("once", "non_idempotent", "app", Attempts=1),
    route("chat", "streaming", "llm", CanResume=True, GapTargetMs=300),
    route("talk", "streaming", "llm", CanResume=False, Attempts=1, GapTargetMs=300),
    route("lot", "batch", "llm", DueMs=18000, ItemTtlS=60, Attempts=3, SloMs=400),
)


class Record:
    """The lines of `record.txt`: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._began = time.monotonic()

    def write(self, *words):
        """Write one line with the seconds since the start."""
        line = " ".join(str(word) for word in words)
        print(f"{time.monotonic() - self._began:8.3f} {line}", file=self._file)
        self._file.flush()


class BoundedStore(StoreStandin):
    """The project's store stand-in with the page's limits on an append."""

    async def _handle(self, request):
        if request.path == "/log-append":
            # The library's own limit is below what a call may have.
            request._client_max_size = 2 * CALL_BYTES
            records = parse_records(await request.read())
            sizes = [len(record) for record in records]
            if max(sizes, default=0) > RECORD_BYTES or sum(sizes) > CALL_BYTES:
                return web.Response(status=413)
        return await super()._handle(request)


class _Parser:
    """Collects the requests of one connection."""

    def __init__(self):
        self.requests = []
        self.parser = httptools.HttpRequestParser(self)

    def on_message_begin(self):
        self.target, self.headers, self.body = b"", [], b""

    def on_url(self, url):
        self.target += url

    def on_header(self, name, value):
        self.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        method = self.parser.get_method().decode()
        self.requests.append(
            RunnerRequest(method, self.target, self.headers, self.body)
        )


class RunnerRequest:
    """One request as a runner read it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target.decode("latin-1")
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        """Return the first value of a header."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def attempt_id(self):
        """Return the id that the answer has to name."""
        return self.header("X-Galenascale-Attempt-Id")


class Runner:
    """A sound runner: one request at a time on a connection, in order."""

    def __init__(self, record, server_id, service, slots=8):
        self.record = record
        self.server_id = server_id
        self.service = service
        self.slots = slots
        self.address = ""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.record_runs = True
        # (loop time, RunnerRequest) of all requests that began to run.
        self.runs = []
        self.events_of = lambda request: 5
        self.event_interval_s = 0.01
        self.event_data = lambda request, number: f"word {number}"
        self.work_s = 0.02
        self.answer_body = b"answer"

    async def start(self):
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def registration(self, state="ready"):
        """Return the entry of the runner in the store."""
        self.sequence += 1
        return orjson.dumps(
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": ZONE,
                "Version": "v1",
                "Slots": self.slots,
                "State": state,
                "ColdLeftMs": 0,
                "Seq": self.sequence,
                "born": self.born,
            }
        )

    async def _serve(self, reader, writer):
        parsed = _Parser()
        try:
            while data := await reader.read(65536):
                try:
                    parsed.parser.feed_data(data)
                except httptools.HttpParserError as error:
                    self.record.write("runner", self.server_id, "bad request", error)
                    writer.write(
                        b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n"
                        b"Connection: close\r\n\r\n"
                    )
                    return
                while parsed.requests:
                    await self._answer(parsed.requests.pop(0), writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request, writer):
        target = request.header("X-Galenascale-Target-Instance")
        if target and target != self.server_id:
            writer.write(_head(request, 421, "Content-Length: 0", signed=False))
            return
        self.runs.append((asyncio.get_running_loop().time(), request))
        if self.record_runs:
            self.record.write(
                "run",
                self.server_id,
                request.method,
                request.target,
                "id",
                repr(request.attempt_id),
                "bytes",
                len(request.body),
                "resume",
                request.header("Last-Event-Id", "-"),
            )
        if not request.header("X-Galenascale-Model"):
            await asyncio.sleep(self.work_s)
            body = self.answer_body
            writer.write(_head(request, 200, f"Content-Length: {len(body)}") + body)
            await writer.drain()
            return
        lines = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        writer.write(_head(request, 200, *lines))
        first = int(request.header("Last-Event-Id", "0")) + 1
        for number in range(first, self.events_of(request) + 1):
            await asyncio.sleep(self.event_interval_s)
            if writer.transport.is_closing():
                return
            data = self.event_data(request, number)
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        if self.record_runs:
            self.record.write(
                "answered whole", self.server_id, repr(request.attempt_id)
            )


def _head(request, status, *lines, signed=True):
    lines = [
        f"HTTP/1.1 {status} Status",
        f"X-Galenascale-Attempt-Id: {request.attempt_id}",
        *lines,
    ]
    if signed:
        lines.append("X-Galenascale-Response-Signature: signed")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


class Gateway:
    """One gateway process at its own loopback address."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.address = f"127.0.0.{number}"
        self.process = None
        self.starts = 0
        self.path = fleet.folder / f"gateway-{number}.json"
        self.path.write_text(json.dumps(self.settings()))

    def settings(self):
        """Return the settings that the template of the deploy file names."""
        ports = self.fleet.ports
        return {
            "schema_version": 1,
            "host_id": f"edge-{self.number}",
            "failure_domain": ZONE,
            "caller_listen": f"{self.address}:{ports['front']}",
            "ready_listen": f"{self.address}:{ports['ready']}",
            "peer_listen": f"{self.address}:{ports['control']}",
            "peer_datagram_port": ports["datagram"],
            "metrics_port": ports["metrics"],
            "host_memory_mb": self.fleet.memory_mb,
            "failure_domains": [ZONE],
            "seeds": [f"127.0.0.2:{ports['control']}"],
            "store": {
                "address": self.fleet.store.address,
                "partitions": 24,
                "record_bytes": RECORD_BYTES,
                "call_bytes": CALL_BYTES,
                "retention_s": 300,
                "min_lease_ms": 1000,
            },
            "bounds": BOUNDS,
        }

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["gateway"]
        words = role["run"].split()
        words[0] = sys.executable
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "GALENASCALE_NODE_FILE": str(self.path),
            **role["env"],
        }
        log = (self.fleet.folder / f"gateway-{self.number}.log").open("ab")
        with log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.starts += 1

    @property
    def running(self):
        """Return True while the process lives."""
        return self.process is not None and self.process.poll() is None

    def memory_bytes(self, name="VmRSS"):
        """Return the resident memory of the process; 0 if it has ended."""
        try:
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return 0
        for line in lines:
            if line.startswith(f"{name}:"):
                return int(line.split()[1]) << 10
        return 0

    def send_signal(self, number):
        """Send a signal to the process if it lives."""
        if self.running:
            self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        """Return True if the readiness check is answered with 200."""
        with contextlib.suppress(OSError, TimeoutError, ConnectionError):
            async with asyncio.timeout(0.5):
                reply = await call(self.address, self.fleet.ports["ready"], "GET", "/")
                return reply is not None and reply.status == 200
        return False


class MemoryLimit:
    """Ends a process above its memory and starts it again, as the platform."""

    RESTART_DELAY_S = 0.5

    def __init__(self, fleet):
        self.fleet = fleet
        # Ends by gateway number.
        self.ends = {gateway.number: 0 for gateway in fleet.gateways}
        self.peak_bytes = {gateway.number: 0 for gateway in fleet.gateways}

    async def watch(self):
        """Look at all processes until cancelled."""
        async with asyncio.TaskGroup() as group:
            for gateway in self.fleet.gateways:
                group.create_task(self._watch(gateway))

    async def _watch(self, gateway):
        number = gateway.number
        while True:
            used = gateway.memory_bytes()
            self.peak_bytes[number] = max(self.peak_bytes[number], used)
            if used > self.fleet.memory_mb << 20 or not gateway.running:
                gateway.kill()
                self.ends[number] += 1
                self.fleet.record.write(
                    "gateway",
                    number,
                    "ended with MB:",
                    used >> 20,
                    "ends so far:",
                    self.ends[number],
                )
                await asyncio.sleep(self.RESTART_DELAY_S)
                gateway.start()
            await asyncio.sleep(0.05)


class Reply:
    """An answer as a client read it; `complete` is False if it was cut off."""

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


class _ReplyParser:
    def __init__(self):
        self.status, self.headers, self.body = 0, {}, bytearray()
        self.done = False
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name, value):
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self):
        self.status = self.parser.get_status_code()

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        self.done = self.status >= 200


async def call(address, port, method, path, headers=(), body=b""):
    """Send one request on a new connection; return its Reply, or None."""
    reader, writer = await asyncio.open_connection(address, port)
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}", *headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    try:
        writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        parsed = _ReplyParser()
        while not parsed.done:
            data = await reader.read(65536)
            if not data:
                break
            parsed.parser.feed_data(data)
        if not parsed.status:
            return None
        return Reply(parsed.status, parsed.headers, bytes(parsed.body), parsed.done)
    except ConnectionError:
        return None
    finally:
        writer.transport.abort()


class Fleet:
    """Store, runners and gateways of one script."""

    def __init__(self, record, folder, *, memory_mb=180):
        self.record = record
        self.folder = Path(folder)
        self.memory_mb = memory_mb
        self.store = BoundedStore(random.Random(7))
        self.runners = []
        self.gateways = []
        self.version = 0
        self.ports = _free_ports("front", "ready", "control", "metrics", "datagram")

    async def start(self, gateways=3, app=2, llm=3):
        """Start everything; raise if the gateways do not become ready."""
        await self.store.start()
        for service, count in (("app", app), ("llm", llm)):
            for number in range(count):
                runner = Runner(self.record, f"{service}-{number}", service)
                await runner.start()
                self.runners.append(runner)
                self.register(runner)
        self.write_config()
        for number in range(2, gateways + 2):
            gateway = Gateway(self, number)
            gateway.start()
            self.gateways.append(gateway)
        await self.wait_until_ready()

    async def wait_until_ready(self, wait_s=20.0):
        """Return once all gateways are ready."""
        give_up_at = time.monotonic() + wait_s
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > give_up_at:
                    raise RuntimeError(f"gateway {gateway.number} is not ready")
                await asyncio.sleep(0.05)

    def register(self, runner, state="ready"):
        """Write the entry of a runner."""
        entry = runner.registration(state)
        self.store.write_key("keyed.servers", runner.server_id, entry)

    def write_config(self, routes=ROUTES):
        """Write the next version of the configuration."""
        self.version += 1
        engine = {"Slots": 8, "KvTokens": 147261}
        config = {
            "Version": self.version,
            "Routes": list(routes),
            "Services": [
                {"Name": "app", "MaxConns": 110},
                {"Name": "llm", "MaxConns": 310, "EngineKind": engine},
            ],
            "Limits": {
                "HeaderBytes": 16384,
                "BodyBytes": 4194304,
                "HeaderTimeoutMs": 5000,
                "IdleTimeoutMs": 15000,
            },
        }
        self.store.write_key("keyed.op", "config", orjson.dumps(config))

    def of_service(self, service):
        """Return the runners of a service."""
        return [runner for runner in self.runners if runner.service == service]

    async def ask(
        self, number, method, path, request_id, *headers, body=b"", deadline_ms=5000
    ):
        """Send one request to a gateway, record it, and return the Reply."""
        lines = [
            f"X-Galenascale-Attempt-Id: {request_id}",
            f"X-Galenascale-Deadline-Ms: {deadline_ms}",
            *headers,
        ]
        self.record.write("sent", number, method, path, "id", repr(request_id))
        reply = None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.5):
                reply = await call(
                    f"127.0.0.{number}", self.ports["front"], method, path, lines, body
                )
        except (OSError, TimeoutError):
            pass
        seen = "no answer" if reply is None else f"{reply.status}"
        self.record.write("answered", method, path, "id", repr(request_id), seen)
        return reply

    async def submit(self, number, job_id, items):
        """Submit a batch job; return the Reply."""
        body = orjson.dumps({"Items": items})
        return await self.ask(
            number,
            "POST",
            f"/lot/{job_id}",
            job_id,
            "Content-Type: application/json",
            body=body,
            deadline_ms=4000,
        )

    async def results(self, number, job_id):
        """Read all results of a job; return None without an answer."""
        outputs = []
        while True:
            path = f"/lots/{job_id}?After={len(outputs)}"
            reply = await self.ask(number, "GET", path, f"read-{job_id}")
            if reply is None or reply.status != 200:
                return None
            page = orjson.loads(reply.body)
            outputs += page["Outputs"]
            if not page["Outputs"] or len(outputs) >= page["Total"]:
                return outputs

    def record_errors(self):
        """Record what the gateways logged as errors."""
        for log in sorted(self.folder.glob("*.log")):
            for line in log.read_text(errors="replace").splitlines():
                if '"error"' in line or "Traceback" in line:
                    self.record.write(log.name, line[:300])

    async def close(self):
        """End all processes and stop the stand-ins."""
        for gateway in self.gateways:
            gateway.kill()
        for runner in self.runners:
            runner._server.close()
        await self.store.stop()


def item(item_id, text=b"prompt", *, tokens_in=100, tokens_out=5, headers=None):
    """Return an item of a batch job."""
    return {
        "Id": item_id,
        "Path": "/lot/item",
        "Headers": {
            "X-Galenascale-Model": "m",
            "X-Galenascale-Token-Usage": f"{tokens_in},{tokens_out}",
            **(headers or {}),
        },
        "Body": base64.b64encode(text).decode(),
        "Tokens": tokens_in + tokens_out,
    }


def _free_ports(*names):
    """Return ports that are free at the addresses of the gateways."""
    ports = {}
    rng = random.Random()
    while len(ports) < len(names):
        port = rng.randrange(12000, 30000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                for number in range(1, 8):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind((f"127.0.0.{number}", port))
        except OSError:
            continue
        if port not in ports.values():
            ports[names[len(ports)]] = port
    return ports


def run(case, folder, *, limit_s=110.0, **options):
    """
    Run a case and exit: BROKEN if the rule was broken, 0 if it held, else 2.

    `case(fleet, record)` is an async function that returns True if it held.
    """
    record = Record(folder)
    record.write("trouble", is_trouble())

    async def main():
        with tempfile.TemporaryDirectory() as place:
            fleet = Fleet(record, place, **options)
            try:
                async with asyncio.timeout(limit_s):
                    return await case(fleet, record)
            finally:
                await fleet.close()
                fleet.record_errors()

    try:
        held = asyncio.run(main())
    except Exception as error:
        record.write("could not run:", repr(error))
        sys.exit(2)
    record.write("held" if held else "broken")
    sys.exit(0 if held else BROKEN)
