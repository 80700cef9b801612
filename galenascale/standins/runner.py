"""Stand-in of a backend server on the users' platform, on a raw socket.

It writes its answers byte by byte as a test asks for, which an HTTP library
would not let it do: without a length, cut off, doubled or under another id.
"""

import asyncio
import contextlib

import attrs
import httptools
import orjson

SIGNATURE = "signed"
# Bytes after which a source of endless bytes stops, and those of one write.
MAX_ENDLESS_BYTES = 48 << 20
ENDLESS_WRITE_BYTES = 1 << 16


@attrs.define
class RunnerRequest:
    """One request as it arrived."""

    method: str = ""
    target: bytes = b""
    headers: list = attrs.field(factory=list)
    body: bytes = b""
    # Header lines of its answer beside the usual ones.
    extra_header_lines: tuple = ()

    def header(self, name):
        """Return the value of a header, or None."""
        for key, value in self.headers:
            if key.lower() == name.lower().encode():
                return value.decode()
        return None

    @property
    def request_id(self):
        """Return the id of the caller's attempt."""
        return self.header("X-Galenascale-Attempt-Id") or ""


@attrs.frozen
class EndlessResponse:
    """Bytes without end in place of an answer."""

    # First bytes, in which @ID stands for the request's id.
    first: bytes
    # Bytes that follow until the connection closes.
    then: bytes


@attrs.define
class Behaviour:
    """How a runner answers; tests change it while it runs."""

    # Events of a stream and seconds between two of them.
    events: int = 5
    event_interval_s: float = 0.01
    # Plain answer and seconds until it comes.
    body: bytes = b"done"
    processing_time_s: float = 0.0
    status: int = 200
    # States of the service: refuse without running, or close after the
    # request, after so many events, or with a reset.
    refuse: bool = False
    close_without_response: bool = False
    disconnect_after_events: int | None = None
    reset: bool = False
    # Send no length; the answer ends with the connection.
    omit_content_length: bool = False
    # Bytes sent after each answer.
    trailing_bytes: bytes = b""
    # End with all connections when a request comes.
    crash: bool = False
    # Never answer.
    hang: bool = False
    # Name the request in each answer and event.
    echo_request_id: bool = False
    # Say in each answer that the runner leaves.
    leaving: bool = False
    endless: EndlessResponse | None = None


class RunnerStandin:
    """Runs requests and remembers them."""

    def __init__(self, server_id, service, failure_domain="a", slots=8):
        self.server_id = server_id
        self.service = service
        self.failure_domain = failure_domain
        self.slots = slots
        self.behaviour = Behaviour()
        # Plain answers and streams by path prefix, beside the default.
        self.requests = []
        self.running = 0
        self.max_running = 0
        self.connections = 0
        self.early_disconnects = 0
        # Answers without end that were broken off by the other side.
        self.endless_responses_aborted = 0
        self.sequence = 0
        self.started_ms = 1
        self.address = ""

    async def start(self, host="127.0.0.1", port=0):
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def stop(self):
        """Stop listening; open connections are left to their tasks."""
        self._server.close()

    def request_count(self, prefix):
        """Return how many requests under a path prefix came."""
        return sum(r.target.startswith(prefix.encode()) for r in self.requests)

    def registration(self, state="ready"):
        """Return what the runner writes into the store about itself."""
        self.sequence += 1
        return orjson.dumps(
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": self.failure_domain,
                "Version": "v1",
                "Slots": self.slots,
                "State": state,
                "ColdLeftMs": 0,
                "Seq": self.sequence,
                "born": self.started_ms,
            }
        )

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while (request := await _read_request(reader)) is not None:
                if not await self._answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            self.early_disconnects += 1
        finally:
            writer.close()

    async def _answer(self, request, reader, writer):
        behaviour = attrs.evolve(self.behaviour)
        if behaviour.leaving:
            request.extra_header_lines = ("Server-Leaving: 1",)
        target = request.header("X-Galenascale-Target-Instance")
        if target and target != self.server_id:
            _write_whole(writer, request, 421, b"", signed=False)
            return True
        if behaviour.refuse:
            _write_whole(writer, request, 503, b"", signed=False, not_run=True)
            return True
        self.requests.append(request)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            return await self._run(request, behaviour, reader, writer)
        finally:
            self.running -= 1

    async def _run(self, request, behaviour, reader, writer):
        if behaviour.hang:
            await reader.read()
            self.early_disconnects += 1
            return False
        if behaviour.close_without_response:
            return False
        if behaviour.endless is not None:
            self.endless_responses_aborted += await send_endless_response(
                behaviour.endless, request.request_id, writer
            )
            return False
        if behaviour.crash:
            await self.stop()
            writer.transport.abort()
            return False
        if behaviour.reset:
            writer.transport.abort()
            return False
        if request.header("X-Galenascale-Model") is not None:
            return await self._stream(request, behaviour, reader, writer)
        await asyncio.sleep(behaviour.processing_time_s)
        if behaviour.echo_request_id and behaviour.status == 200:
            behaviour.body = b"answer to " + request.request_id.encode()
        if behaviour.omit_content_length:
            writer.write(_head(request, behaviour.status, []) + behaviour.body)
            return False
        _write_whole(writer, request, behaviour.status, behaviour.body)
        writer.write(behaviour.trailing_bytes)
        return True

    async def _stream(self, request, behaviour, reader, writer):
        if behaviour.status != 200:
            _write_whole(writer, request, behaviour.status, behaviour.body)
            return True
        writer.write(
            _head(
                request,
                200,
                ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"],
            )
        )
        first = int(request.header("Last-Event-Id") or 0) + 1
        gone = asyncio.ensure_future(reader.read(1))
        for sent, number in enumerate(range(first, behaviour.events + 1)):
            if sent == behaviour.disconnect_after_events:
                event = b"id: %d\nda" % number
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                writer.close()
                return False
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(asyncio.shield(gone), behaviour.event_interval_s)
            if gone.done():
                self.early_disconnects += 1
                return False
            name = (
                request.request_id.encode() + b" " if behaviour.echo_request_id else b""
            )
            event = b"id: %d\ndata: %bword%d\n\n" % (number, name, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await gone
        writer.write(b"0\r\n\r\n" + behaviour.trailing_bytes)
        return True


async def send_endless_response(source, request_id, writer):
    """
    Send EndlessResponse until the connection closes.

    Return False if the other side takes more than anybody should.
    """
    writer.write(source.first.replace(b"@ID", request_id.encode()))
    pattern = source.then * (ENDLESS_WRITE_BYTES // len(source.then))
    for _ in range(MAX_ENDLESS_BYTES // len(pattern)):
        try:
            writer.write(pattern)
            await writer.drain()
        except ConnectionError:
            return True
    return False


class _RequestReader:
    def __init__(self):
        self.request = RunnerRequest()
        self.complete = False

    def on_url(self, url):
        self.request.target += url

    def on_header(self, name, value):
        self.request.headers.append((name, value))

    def on_body(self, body):
        self.request.body += body

    def on_message_complete(self):
        self.complete = True


async def _read_request(reader):
    events = _RequestReader()
    parser = httptools.HttpRequestParser(events)
    while not events.complete:
        data = await reader.read(65536)
        if not data:
            return None
        parser.feed_data(data)
    events.request.method = parser.get_method().decode()
    return events.request


def _head(request, status, lines, *, signed=True, not_run=False):
    lines = [
        f"HTTP/1.1 {status} Status",
        f"X-Galenascale-Attempt-Id: {request.request_id}",
        *request.extra_header_lines,
        *lines,
    ]
    if signed:
        lines.append(f"X-Galenascale-Response-Signature: {SIGNATURE}")
    if not_run:
        lines.append("X-Galenascale-Not-Executed: 1")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def _write_whole(writer, request, status, body, **kwargs):
    writer.write(
        _head(request, status, [f"Content-Length: {len(body)}"], **kwargs) + body
    )
