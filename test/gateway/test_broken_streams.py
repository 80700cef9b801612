"""Answers that end with their connection, break off or go on as an error."""

import asyncio
import socket
import struct

import attrs
import pytest

from galenascale.errors import BackendError
from galenascale.gateway.event_stream import EventStreamParser
from galenascale.gateway.sockets import split_address
from galenascale.standins.runner import RunnerStandin
from test.gateway.fleet import gateway_fleet, make_headers, make_route, until

EVENTS = [b"id: %d\ndata: word%d\n\n" % (number, number) for number in range(1, 6)]
WHOLE = b"".join(EVENTS)
ERROR_TEXT = b"boom happened"
ERROR_HEAD = b"HTTP/1.1 500 Internal Server Error"


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


def with_length(status, body, content_type=b"text/plain", *lines):
    """Return a Script with a Content-Length."""
    head = (b"Content-Type: " + content_type, b"Content-Length: %d" % len(body))
    return Script(body, status, (*head, *lines))


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


NOT_RUN = b"X-Galenascale-Not-Executed: 1"
JSON_ERROR = b'{"error": "' + ERROR_TEXT + b'"}'
BROKEN = Script(EVENTS[0] + EVENTS[1], reset=True)
RESUMED = b"".join(EVENTS[2:])


@pytest.mark.parametrize(
    "case, error",
    [
        ("500", with_length(500, ERROR_TEXT)),
        ("500, no length", Script(ERROR_TEXT, 500, ())),
        ("400", with_length(400, ERROR_TEXT)),
        ("422", with_length(422, ERROR_TEXT)),
        ("503, not run", with_length(503, ERROR_TEXT, b"text/plain", NOT_RUN)),
        ("204", Script(b"", 204, ())),
        ("200 with a text", with_length(200, ERROR_TEXT)),
        ("200 with JSON", with_length(200, JSON_ERROR, b"application/json")),
        ("200 with JSON and a blank line", Script(JSON_ERROR + b"\n\n")),
        ("error event", chunked(b"event: error\ndata: " + ERROR_TEXT + b"\n\n")),
        (
            "an event, then an error event",
            chunked(EVENTS[2] + b"event: error\ndata: " + ERROR_TEXT + b"\n\n"),
        ),
        ("head as body", Script(ERROR_HEAD + b"\r\nA: b\r\n\r\n" + ERROR_TEXT)),
        ("head, then text", Script(ERROR_HEAD + b"\r\n\r\n" + ERROR_TEXT + b"\n\n")),
        ("event is missing", chunked(b"".join(EVENTS[3:]))),
    ],
)
@pytest.mark.parametrize("attempts", [2, 3])
async def test_error_after_a_broken_stream_stays_out_of_it(case, error, attempts):
    """Guards callers against the text of an error in their stream."""
    status, body, complete = await play([BROKEN, error], attempts=attempts)
    assert status == 200
    assert ERROR_TEXT not in body
    assert ERROR_HEAD not in body
    assert WHOLE.startswith(body)
    assert complete == (body == WHOLE)


@pytest.mark.parametrize(
    "case, tail",
    [
        ("between events", ERROR_HEAD + b"\r\nContent-Length: 4\r\n\r\nboom"),
        ("inside an event", b"id: 3\nda" + ERROR_HEAD + b"\r\nA: b\r\n\r\nboom"),
        ("JSON", JSON_ERROR + b"\n\n"),
    ],
)
async def test_error_behind_a_stream_without_length_stays_out_of_it(case, tail):
    """Guards callers against an error on the connection of the stream."""
    status, body, complete = await play([Script(EVENTS[0] + EVENTS[1] + tail)])
    assert (status, body, complete) == (200, WHOLE, True)


@pytest.mark.parametrize(
    "raw",
    [
        b"id: 1\ndata: {a: 1}\n\n",
        b"x-weight-version: 4\r\nid: 1\r\ndata: b\r\n\r\n",
        b": comment\n\nid: 1\ndata: b\n\n",
        b"event: ping\nid: 1\ndata\n\n",
        b"retry: 100\n\nid: 1\ndata: b\n\n",
    ],
)
def test_events_are_accepted(raw):
    """Guards sound streams: all that the format allows is passed on."""
    (event,) = EventStreamParser().feed(raw)
    assert event.raw == raw
    assert event.event_id == 1


@pytest.mark.parametrize(
    "raw", [ERROR_HEAD + b"\r\n\r\n", JSON_ERROR + b"\n\n", b"boom\n\n"]
)
def test_other_bytes_are_no_event(raw):
    """Guards callers against bytes that are no part of a stream."""
    with pytest.raises(BackendError):
        EventStreamParser().feed(raw)
