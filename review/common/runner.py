"""Stand-in of a runner: a plain service or a model engine of the platform.

It speaks what the platform's page on runners says. A case may give it a
function that names the fault with which it answers a request.
"""

import asyncio
import hashlib
import json
import time

import attrs
from http1 import read_head

QUEUE = 24
# Runners close a connection after an answer now and then.
CLOSE_EVERY = 10


@attrs.define(eq=False)
class Request:
    """A request as the runner received it."""

    method: str
    path: str
    headers: dict
    body: bytes
    # Number of this request among those of its id at this runner.
    number: int = 0

    @property
    def id(self):
        """Return the id of the attempt."""
        return self.headers.get("x-galenascale-attempt-id", "")

    @property
    def is_stream(self):
        """Return True for a request for tokens."""
        return "x-galenascale-model" in self.headers

    @property
    def events(self):
        """Return the number of events of the whole output."""
        return int(self.headers["x-galenascale-token-usage"].split(",")[1])


def event_data(path, number):
    """Return the data of one event; the same at all runners."""
    digest = hashlib.sha256(f"{path} {number}".encode()).hexdigest()
    return f"{number}-{digest[:20]}"


def whole_text(path, events):
    """Return the text of a whole output of `events` events."""
    return "\n".join(event_data(path, number) for number in range(1, events + 1))


def plain_body(request):
    """Return the body of an answer that is no stream."""
    digest = hashlib.sha256(request.path.encode() + request.body).hexdigest()
    return f"{request.id} {digest}".encode()


class Runner:
    """A runner that registers itself and records what it runs."""

    def __init__(self, record, service, number, zone, *, fault=None, slots=8):
        self.record = record
        self.id = f"i-{service}{number}"
        self.service = service
        self.zone = zone
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.address = ""
        # Called with a Request when it begins to run; returns a coroutine
        # function (request, writer) to be awaited instead, or None.
        self.fault = fault
        self.work_s = 0.06
        self.event_interval_s = 0.02
        # (id, how it ended) in order.
        self.runs = []
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._sequence = 0
        self._numbers = {}
        self._answers = 0
        self._connections = set()

    async def start(self):
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self):
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def entry(self, state="ready"):
        """Return the entry with which the runner registers itself."""
        self._sequence += 1
        fields = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdLeftMs": 0,
            "Seq": self._sequence,
            "born": self.born,
        }
        return json.dumps(fields).encode()

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while (request := await self._read(reader)) is not None:
                if not await self._answer(request, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _read(self, reader):
        head = await read_head(reader)
        if head is None:
            return None
        method, path, _ = head[0].split(" ", 2)
        body = await reader.readexactly(int(head[1].get("content-length", 0)))
        return Request(method, path, head[1], body)

    async def _answer(self, request, reader, writer):
        if request.method == "GET" and request.path == "/health":
            head = f"X-Galenascale-Instance-Id: {self.id}\r\nContent-Length: 0"
            writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n\r\n".encode())
            return True
        if request.headers.get("x-galenascale-target-instance", self.id) != self.id:
            self.refuse(request, writer, "421 Misdirected Request")
            return True
        if self._free.locked() and self._waiting >= QUEUE:
            self.refuse(request, writer, "503 Service Unavailable")
            return True
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            return await self._run_unless_left(request, reader, writer)
        finally:
            self._free.release()

    async def _run_unless_left(self, request, reader, writer):
        """Run a request; drop it when its connection closes."""
        run = asyncio.ensure_future(self._run(request, writer))
        left = asyncio.ensure_future(reader.read(1))
        await asyncio.wait((run, left), return_when=asyncio.FIRST_COMPLETED)
        for task in (run, left):
            if not task.done():
                task.cancel()
        await asyncio.wait((run, left))
        if run.cancelled() or run.exception() is not None:
            self.note(request, "dropped")
            return False
        return run.result() and left.cancelled()

    def note(self, request, outcome, **fields):
        """Record how a run ended."""
        self.runs.append((request.id, outcome))
        self.record.write(
            "run", runner=self.id, id=request.id, path=request.path, end=outcome
        )

    def head(self, request, status, *lines, signed=True):
        """Return the head of an answer."""
        lines = [f"X-Galenascale-Attempt-Id: {request.id}", *lines]
        if signed:
            lines.append(f"X-Galenascale-Response-Signature: {self.id}.{request.id}")
        return "\r\n".join([f"HTTP/1.1 {status}", *lines]).encode() + b"\r\n\r\n"

    def refuse(self, request, writer, status):
        """State that the request did not run."""
        lines = ("X-Galenascale-Not-Executed: 1", "Content-Length: 0")
        writer.write(self.head(request, status, *lines, signed=False))
        self.record.write("refused", runner=self.id, id=request.id, status=status)

    async def _run(self, request, writer):
        number = self._numbers[request.id] = self._numbers.get(request.id, 0) + 1
        request.number = number
        fault = self.fault and self.fault(self, request)
        if fault:
            return await fault(self, request, writer)
        if request.is_stream:
            await self.stream(request, writer)
            writer.write(b"0\r\n\r\n")
        else:
            await asyncio.sleep(self.work_s)
            body = plain_body(request)
            self._answers += 1
            closes = self._answers % CLOSE_EVERY == 0
            lines = ["Connection: close"] if closes else []
            lines.append(f"Content-Length: {len(body)}")
            writer.write(self.head(request, "200 OK", *lines) + body)
            self.note(request, "whole")
            return not closes
        self.note(request, "whole")
        return True

    async def stream(self, request, writer, until=None):
        """Send the head and the events up to `until`, without an end."""
        lines = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        writer.write(self.head(request, "200 OK", *lines))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, (until or request.events) + 1):
            await asyncio.sleep(self.event_interval_s)
            data = event_data(request.path, number)
            send_chunk(writer, f"id: {number}\ndata: {data}\n\n".encode())
            await writer.drain()


def send_chunk(writer, data):
    """Write one chunk of a body."""
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))


async def fail_500(runner, request, writer):
    """Answer a request that was run with the runner's own 500."""
    await asyncio.sleep(0.02)
    body = b"internal error"
    lines = (f"Content-Length: {len(body)}",)
    writer.write(runner.head(request, "500 Internal Server Error", *lines) + body)
    runner.note(request, "500")
    return True
