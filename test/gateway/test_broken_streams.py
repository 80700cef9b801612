"""Answers that end with their connection, break off or go on as an error."""

import asyncio
import socket
import struct

import attrs
import pytest

from galenascale.gateway.sockets import split_address
from galenascale.standins.runner import RunnerStandin
from test.gateway.fleet import gateway_fleet, make_headers, make_route, until

EVENTS = [b"id: %d\ndata: word%d\n\n" % (number, number) for number in range(1, 6)]
WHOLE = b"".join(EVENTS)


@attrs.frozen
class Script:
    """Bytes of an answer: status, header lines, body, and how it ends."""

    body: bytes
    status: int = 200
    lines: tuple[bytes, ...] = (b"Content-Type: text/event-stream",)
    reset: bool = False


def chunked(body, **fields):
    """Return a Script with a body that is complete by its framing."""
    lines = (b"Content-Type: text/event-stream", b"Transfer-Encoding: chunked")
    framed = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return Script(framed, lines=lines, **fields)


class ScriptedRunner(RunnerStandin):
    """Answers with scripts in turn, which all runners of a list share."""

    def __init__(self, server_id, service, scripts):
        super().__init__(server_id, service)
        self.scripts = scripts

    async def _run(self, request, behaviour, reader, writer):
        if not self.scripts:
            return await super()._run(request, behaviour, reader, writer)
        script = self.scripts.pop(0)
        lines = [
            b"HTTP/1.1 %d Status" % script.status,
            b"X-Galenascale-Attempt-Id: " + request.request_id.encode(),
            b"X-Galenascale-Response-Signature: signed",
            *script.lines,
        ]
        writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + script.body)
        await writer.drain()
        # The client reads the bytes before it sees how the connection ends.
        await asyncio.sleep(0.05)
        if script.reset:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        return False


async def raw_request(fleet, path):
    """Return all bytes that a caller gets until its connection ends."""
    address, port = split_address(fleet.settings(1).caller_listen)
    reader, writer = await asyncio.open_connection(address, port)
    headers = make_headers("r1", path) | {"Connection": "close", "Content-Length": "1"}
    lines = [f"POST {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\nx")
    received = b""
    try:
        while piece := await reader.read(65536):
            received += piece
    except ConnectionError:
        # An answer that breaks off may end with a reset.
        pass
    writer.close()
    return received


def parse_reply(received):
    """Return the status, the decoded body and whether it is complete."""
    head, _, rest = received.partition(b"\r\n\r\n")
    status = int(head.split()[1]) if head else 0
    if b"chunked" not in head.lower():
        return status, rest, status != 0
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        length = int(size, 16)
        if length == 0:
            return status, body, True
        body += rest[:length]
        rest = rest[length + 2 :]
    return status, body, False


async def play(scripts, path="/chat/a", *, service="llm", attempts=3):
    """Return what a caller gets if runners answer with scripts in turn."""
    async with gateway_fleet(runners=0) as fleet:
        fleet.routes = [
            make_route("chat", "streaming", "llm", CanResume=True, Attempts=attempts),
            make_route("talk", "streaming", "llm", CanResume=False, Attempts=1),
            make_route("plain", "idempotent", "app", Attempts=attempts),
            make_route("once", "non_idempotent", "app", Attempts=1),
        ]
        fleet.write_config()
        for number in range(3):
            runner = ScriptedRunner(f"{service}-{number}", service, scripts)
            await runner.start()
            fleet.runners.append(runner)
            fleet.register(runner)
        servers = fleet.hosts[0].context.servers
        await until(lambda: len(servers.usable(service, 0.0)) == 3)
        return parse_reply(await raw_request(fleet, path))


INSIDE = EVENTS[0] + EVENTS[1] + b"id: 3\ndata: wo"


@pytest.mark.parametrize(
    "case, path, script, expected",
    [
        ("whole, no length", "/chat/a", Script(WHOLE), (200, WHOLE, True)),
        ("inside an event", "/chat/a", Script(INSIDE), (200, WHOLE, True)),
        ("inside, chunked", "/chat/a", chunked(INSIDE), (200, WHOLE, True)),
        ("before the blank line", "/chat/a", Script(INSIDE + b"rd3\n"), None),
        ("reset", "/chat/a", Script(INSIDE, reset=True), (200, WHOLE, True)),
        (
            "reset between events",
            "/chat/a",
            Script(EVENTS[0], reset=True),
            (200, WHOLE, True),
        ),
        (
            "inside, must not run twice",
            "/talk/a",
            Script(INSIDE),
            (200, EVENTS[0] + EVENTS[1], False),
        ),
        ("comment at the end", "/chat/a", Script(WHOLE + b": bye\n\n"), None),
        ("comment without a blank line", "/chat/a", Script(WHOLE + b": bye\n"), None),
    ],
)
async def test_stream_without_length(case, path, script, expected):
    """Guards callers against streams that end inside an event as if whole."""
    status, body, complete = await play([script], path)
    if expected is None:
        assert (status, complete) == (200, True)
        assert body.startswith(WHOLE)
    else:
        assert (status, body, complete) == expected


@pytest.mark.parametrize(
    "case, path, script, expected",
    [
        ("whole", "/plain/a", Script(b"whole", lines=()), (200, b"whole")),
        ("reset", "/plain/a", Script(b"par", lines=(), reset=True), (200, b"done")),
        ("once, whole", "/once/a", Script(b"whole", lines=()), (200, b"whole")),
    ],
)
async def test_plain_answer_without_length(case, path, script, expected):
    """Guards callers against plain answers that were cut off."""
    status, body, complete = await play([script], path, service="app")
    assert (status, body) == expected
    assert complete


async def test_unrepeatable_answer_that_is_reset_is_not_whole():
    """Guards callers whose request may not run again."""
    script = Script(b"par", lines=(), reset=True)
    status, body, _ = await play([script], "/once/a", service="app")
    assert status == 502
    assert b"par" not in body.split(b"message")[0]
