"""Stand-in for a backend server on the users' platform.

It writes raw bytes to the socket, because an HTTP library cannot produce the
malformed responses that tests need: without a length, truncated, duplicated
or with the id of another request.
"""

import asyncio
import contextlib

import attrs
import httptools
import orjson

from galenascale.standins.endless_response import send_endless_response
from galenascale.standins.runner_behaviour import Behaviour
from galenascale.standins.runner_request import RunnerRequest

SIGNATURE = "signed"


class RunnerStandin:
    """HTTP server that records its requests and misbehaves as configured."""

    def __init__(self, server_id, service, failure_domain="a", slots=8):
        self.server_id = server_id
        self.service = service
        self.failure_domain = failure_domain
        self.slots = slots
        self.behaviour = Behaviour()
        self.requests = []
        self.running = 0
        self.max_running = 0
        self.connections = 0
        # Connections that the client closed before the end of a response.
        self.early_disconnects = 0
        self.endless_responses_aborted = 0
        # Requests for another server that had the address, or other weights.
        self.misdirected = 0
        self.sequence = 0
        self.started_ms = 1
        self.address = ""
        # Loop times in seconds of its crashes.
        self.crashed_at = []
        self._writers = set()
        self._restart = None

    async def start(self, host="127.0.0.1", port=0):
        """Listen on an address; port 0 picks a free one."""
        self._server = await asyncio.start_server(self._serve, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def stop(self):
        """Stop listening; open connections stay open."""
        if self._restart is not None:
            self._restart.cancel()
        self._server.close()

    async def crash(self, downtime_s=None):
        """Reset all connections; listen again after `downtime_s`, if given."""
        for writer in list(self._writers):
            writer.transport.abort()
        if not self._server.is_serving():
            # It is down already.
            return
        self.crashed_at.append(asyncio.get_running_loop().time())
        self._server.close()
        if downtime_s is not None:
            self._restart = asyncio.ensure_future(self._start_again(downtime_s))

    async def _start_again(self, downtime_s):
        await asyncio.sleep(downtime_s)
        host, port = self.address.split(":")
        await self.start(host, int(port))

    def request_count(self, prefix):
        """Return the number of received requests with a path prefix."""
        return sum(r.target.startswith(prefix.encode()) for r in self.requests)

    def registration(self, state="ready"):
        """Return the JSON record with which the runner registers itself."""
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
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                if not await self._answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            self.early_disconnects += 1
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, reader, writer):
        behaviour = attrs.evolve(self.behaviour)
        if behaviour.leaving:
            request.extra_header_lines = ("Server-Leaving: 1",)
        request.extra_header_lines += tuple(
            f"Server-Limit: {limit}" for limit in behaviour.limits
        )
        if behaviour.weights is not None:
            request.extra_header_lines += (
                f"X-Galenascale-Weight-Versions: {behaviour.weights}",
            )
        if self._is_misdirected(request, behaviour):
            self.misdirected += 1
            _write_whole(writer, request, 421, b"", signed=False)
            return True
        if behaviour.refuse:
            _write_whole(writer, request, 503, b"", signed=False, not_run=True)
            return True
        request.received_at = asyncio.get_running_loop().time()
        self.requests.append(request)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            return await self._run(request, behaviour, reader, writer)
        finally:
            self.running -= 1

    def _is_misdirected(self, request, behaviour):
        target = request.header("X-Galenascale-Target-Instance")
        expected = request.header("X-Galenascale-Expect-Version")
        is_other_version = behaviour.weights is not None and (
            expected not in (None, str(behaviour.weights))
        )
        return is_other_version or bool(target and target != self.server_id)

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
            await self.crash()
            return False
        if behaviour.crash_part is not None and request.has_part(behaviour.crash_part):
            await self.crash(behaviour.crash_downtime_s)
            return False
        if behaviour.cut_head_at is not None:
            writer.write(_head(request, 200, [])[: behaviour.cut_head_at])
            return False
        if behaviour.reset:
            writer.transport.abort()
            return False
        if behaviour.omit_length:
            writer.write(_head(request, behaviour.status, []))
            return True
        if request.header("X-Galenascale-Model") is not None:
            return await self._stream(request, behaviour, reader, writer)
        await asyncio.sleep(behaviour.processing_time_s)
        behaviour.body = behaviour.body_by_path.get(request.target, behaviour.body)
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
        eof = asyncio.ensure_future(reader.read(1))
        for sent, number in enumerate(range(first, behaviour.events + 1)):
            if sent == behaviour.disconnect_after_events:
                event = b"id: %d\nda" % number
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                writer.close()
                return False
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(asyncio.shield(eof), behaviour.event_interval_s)
            if eof.done():
                self.early_disconnects += 1
                return False
            name = (
                request.request_id.encode() + b" " if behaviour.echo_request_id else b""
            )
            event = b"id: %d\ndata: %bword%d\n\n" % (number, name, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        eof.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await eof
        writer.write(b"0\r\n\r\n" + behaviour.trailing_bytes)
        return True


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
