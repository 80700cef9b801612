"""Requests of one connection: in order, whole, within limits."""

import asyncio
import contextlib
import re
import resource

import attrs
import pytest
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from galenascale.gateway import answer_delivery, bounded_connection, unread_answer
from galenascale.gateway.caller_memory import MEGABYTE, CallerMemory
from galenascale.gateway.configuration import CallerLimits
from galenascale.gateway.connection_limits import ConnectionLimits
from galenascale.gateway.listeners import CallerServer, ListenerBudget, listen
from galenascale.gateway.request_head import MAX_EMPTY_LINE_BYTES
from galenascale.generated.gateway_messages import GatewaySettings
from test.gateway.fleet import until

HEADER_BYTES = 2048
LIMITS = attrs.evolve(CallerLimits(), header_bytes=HEADER_BYTES, body_bytes=1 << 16)
PREFIX = "POST /"
FIELDS = "Host: a\r\n"


@attrs.define
class Listener:
    """A listening CallerServer and what its callers met."""

    port: int = 0
    memory: CallerMemory = attrs.field(factory=lambda: CallerMemory(MEGABYTE))
    met_limits: list = attrs.field(factory=list)
    # CutAnswers of callers that did not take all.
    cuts: list = attrs.field(factory=list)
    bodies: list = attrs.field(factory=list)
    server: object = None
    # Set to let requests to /wait end.
    released: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def answer(self, request):
        """Answer with the target and the body of a request."""
        body = await request.read()
        self.bodies.append(body)
        if request.path == "/wait":
            await self.released.wait()
        if request.path == "/large":
            return web.Response(body=bytes(32 * MEGABYTE))
        return web.Response(body=request.path.encode() + b" " + body)

    @property
    def connections(self):
        """Return the open connections."""
        return self.server.connections

    async def connect(self):
        """Return the (reader, writer) of a new connection."""
        return await asyncio.open_connection("127.0.0.1", self.port)


@contextlib.asynccontextmanager
async def running_listener(*, limits=LIMITS, max_connections=100):
    """Yield a Listener."""
    listener = Listener()
    budget = ListenerBudget(
        listener.memory,
        max_connections,
        lambda limit, connection: listener.met_limits.append(limit),
        lambda cut, connection: listener.cuts.append(cut),
    )
    async with contextlib.AsyncExitStack() as stack:
        server = CallerServer(listener.answer, lambda: limits, budget)
        listener.server = server
        stack.push_async_callback(server.shutdown, 0.1)
        opened = await listen(stack, server, "127.0.0.1:0", 100)
        listener.port = opened.sockets[0].getsockname()[1]
        yield listener


def by_length(body):
    """Return the header lines and the bytes of a body with a length."""
    return f"Content-Length: {len(body)}\r\n", body


def in_chunks(body, *, size=3, trailers=b""):
    """Return the header lines and the bytes of a body in chunks."""
    pieces = [body[begin : begin + size] for begin in range(0, len(body), size)]
    chunks = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces]
    data = b"".join(chunks) + b"0\r\n" + trailers + b"\r\n"
    return "Transfer-Encoding: chunked\r\n", data


def with_trailers(body):
    """Return the same with two trailers."""
    return in_chunks(body, trailers=b"X-One: 1\r\nX-Two: 2\r\n")


def encode_request(path, framing, body, prefix=b""):
    """Return the bytes of a request; `framing` is a function as above."""
    lines, data = framing(body)
    return prefix + f"{PREFIX}{path} HTTP/1.1\r\n{FIELDS}{lines}\r\n".encode() + data


async def read_response(reader):
    """Return the status and the body of the next response."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    length = re.search(rb"content-length: (\d+)", head)
    return int(head.split()[1]), await reader.readexactly(int(length[1]))


BODIES = st.one_of(
    st.binary(max_size=30),
    st.sampled_from((b"\r\n\r\n", b"0\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n")),
)
REQUESTS = st.tuples(
    st.sampled_from((by_length, in_chunks, with_trailers)),
    BODIES,
    st.sampled_from((b"", b"\r\n")),
)


@settings(max_examples=60)
@given(st.lists(REQUESTS, min_size=1, max_size=6), st.integers(1, 200))
def test_requests_sent_ahead_are_answered_in_order(requests, piece_size):
    """However the bytes arrive, each request has its own body and answer."""

    async def play():
        async with running_listener() as listener:
            reader, writer = await listener.connect()
            data = b"".join(
                encode_request(number, framing, body, prefix)
                for number, (framing, body, prefix) in enumerate(requests)
            )
            for begin in range(0, len(data), piece_size):
                writer.write(data[begin : begin + piece_size])
                await asyncio.sleep(0)
            async with asyncio.timeout(10):
                answers = [await read_response(reader) for _ in requests]
            writer.close()
            bodies = [body for _, body, _ in requests]
            assert listener.bodies == bodies
            assert answers == [
                (200, f"/{number} ".encode() + body)
                for number, body in enumerate(bodies)
            ]
            assert listener.met_limits == []
            assert listener.memory.held_bytes == 0

    asyncio.run(play())


async def test_next_request_waits_until_the_answer_is_taken():
    """Guards the memory against requests whose answers nobody reads."""
    async with running_listener() as listener:
        reader, writer = await listener.connect()
        writer.write(encode_request("wait", by_length, b"first"))
        writer.write(encode_request("next", by_length, b"second") * 1000)
        await until(lambda: listener.bodies)
        await asyncio.sleep(0.1)
        assert listener.bodies == [b"first"]
        kept = 2 * bounded_connection.CALLER_RECEIVE_BYTES
        assert listener.memory.held_bytes <= kept
        listener.released.set()
        async with asyncio.timeout(10):
            assert await read_response(reader) == (200, b"/wait first")
            for _ in range(1000):
                assert await read_response(reader) == (200, b"/next second")
        writer.close()


def head_of_size(size):
    """Return a head whose target and fields have `size` bytes."""
    field = "X-Long: "
    counted = len("/a") + len("Host") + len("a") + len("X-Long")
    return (
        f"GET /a HTTP/1.1\r\n{FIELDS}{field}{'v' * (size - counted)}\r\n\r\n".encode()
    )


MANY_FIELDS = b"X: v\r\n" * (bounded_connection.MAX_HEADERS + 1)
REFUSED_BY_NAME = {
    "head above the limit": (head_of_size(HEADER_BYTES + 1), 431, "header_bytes"),
    "head without end": (b"GET /" + b"a" * 9000, 431, "header_bytes"),
    "fields without end": (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 2000, 431, None),
    "too many fields": (
        b"GET / HTTP/1.1\r\nHost: a\r\n" + MANY_FIELDS + b"\r\n",
        400,
        "malformed",
    ),
    "no request": (b"\x16\x03\x01", 400, "malformed"),
    "line feeds alone": (b"GET / HTTP/1.1\nHost: a\n\n", 400, "malformed"),
    "unknown method": (b"NONE / HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed"),
    "connect": (b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed"),
    "other protocol": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400, "malformed"),
    "two lengths": (
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        400,
        "malformed",
    ),
    "length and chunks": (
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        400,
        "malformed",
    ),
    "empty lines": (b"\r\n" * MAX_EMPTY_LINE_BYTES, 400, "malformed"),
}


@pytest.mark.parametrize("later", [False, True])
@pytest.mark.parametrize("name", REFUSED_BY_NAME)
async def test_head_that_is_no_request_is_refused_at_once(name, later):
    """The connection closes; what is left of the caller's bytes is lost."""
    data, status, limit = REFUSED_BY_NAME[name]
    async with running_listener() as listener:
        reader, writer = await listener.connect()
        if later:
            writer.write(encode_request("first", in_chunks, b"body"))
            assert await read_response(reader) == (200, b"/first body")
        writer.write(data)
        async with asyncio.timeout(3):
            answer = await reader.read()
        assert f" {status} ".encode() in answer.splitlines()[0]
        assert b"not_run" in answer
        assert len(answer) < 1000
        assert listener.met_limits == [limit or "header_bytes"]
        writer.close()
        assert listener.memory.held_bytes == 0


async def test_head_of_the_limit_is_served():
    """The limit must not meet callers inside it."""
    async with running_listener() as listener:
        reader, writer = await listener.connect()
        writer.write(head_of_size(HEADER_BYTES))
        assert await read_response(reader) == (200, b"/a ")
        writer.close()


@pytest.mark.parametrize("later", [False, True])
async def test_some_empty_lines_before_a_request_are_passed_over(later):
    """Some clients end a body with a line break that is not part of it."""
    async with running_listener() as listener:
        reader, writer = await listener.connect()
        for _ in range(1 + later):
            writer.write(b"\r\n" * (MAX_EMPTY_LINE_BYTES // 2))
            await asyncio.sleep(0.01)
            writer.write(encode_request("a", by_length, b"body"))
            assert await read_response(reader) == (200, b"/a body")
        writer.close()


@pytest.mark.parametrize("framing", [by_length, in_chunks, with_trailers])
async def test_idle_connection_outlives_the_header_timeout(framing):
    """After a request, and a stray line break, the connection is idle."""
    limits = attrs.evolve(LIMITS, header_timeout_s=0.1)
    async with running_listener(limits=limits) as listener:
        reader, writer = await listener.connect()
        for _ in range(2):
            writer.write(encode_request("a", framing, b"body") + b"\r\n")
            assert await read_response(reader) == (200, b"/a body")
            await asyncio.sleep(0.3)
        writer.close()


async def test_upgrade_is_a_request_like_any_other():
    """The host speaks no other protocol."""
    async with running_listener() as listener:
        reader, writer = await listener.connect()
        upgrade = b"Connection: upgrade\r\nUpgrade: websocket\r\n"
        data = encode_request("a", by_length, b"body")
        for _ in range(2):
            writer.write(data.replace(b"Host: a\r\n", b"Host: a\r\n" + upgrade))
            assert await read_response(reader) == (200, b"/a body")
        writer.close()


MALFORMED_BODIES_BY_NAME = {
    "size of a chunk": b"nonsense\r\n",
    "trailers without end": b"4\r\nbody\r\n0\r\n" + b"X: v\r\n" * 2000,
    "extension without end": b"4;" + b"x" * 9000,
}


@pytest.mark.parametrize("name", MALFORMED_BODIES_BY_NAME)
async def test_malformed_body_is_refused_at_once(name):
    """The handler of the request must not wait for more of it."""
    async with running_listener() as listener:
        reader, writer = await listener.connect()
        writer.write(
            f"POST / HTTP/1.1\r\n{FIELDS}Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        writer.write(MALFORMED_BODIES_BY_NAME[name])
        async with asyncio.timeout(3):
            answer = await reader.read()
        # The handler of this test does not translate the error.
        assert b" 500 " in answer.splitlines()[0]
        assert listener.bodies == []
        writer.close()


async def test_caller_that_reads_nothing_is_reset(monkeypatch):
    """Its answer holds memory until then."""
    monkeypatch.setattr(unread_answer, "CHECK_INTERVAL_S", 0.05)
    monkeypatch.setattr(answer_delivery, "UNREAD_TIMEOUT_S", 0.2)
    async with running_listener() as listener:
        reader, writer = await listener.connect()
        reader._transport.pause_reading()
        writer.write(encode_request("large", by_length, b""))
        await until(lambda: listener.met_limits == ["unread_answer"])
        await until(lambda: listener.memory.held_bytes == 0)
        writer.transport.abort()


async def test_longest_idle_connection_gives_way_to_a_new_one():
    """Too many connections must not keep a new caller out."""
    async with running_listener(max_connections=3) as listener:
        connections = []
        for number in range(3):
            reader, writer = await listener.connect()
            connections.append((reader, writer))
            if number != 1:
                writer.write(encode_request("a", by_length, b"body"))
                assert await read_response(reader) == (200, b"/a body")
        connections.append(await listener.connect())
        reader, writer = connections[3]
        writer.write(encode_request("new", by_length, b"body"))
        assert await read_response(reader) == (200, b"/new body")
        assert await connections[0][0].read() == b""
        assert listener.met_limits == ["connections"]
        for reader, writer in connections[1:]:
            writer.write(encode_request("again", by_length, b"body"))
            assert await read_response(reader) == (200, b"/again body")
        for _, writer in connections:
            writer.close()


async def test_connection_is_refused_at_once_if_all_are_busy():
    """The refusal says that nothing ran, and when to come back."""
    async with running_listener(max_connections=2) as listener:
        busy = [await listener.connect() for _ in range(2)]
        for _, writer in busy:
            writer.write(encode_request("wait", by_length, b"body"))
        await until(lambda: len(listener.bodies) == 2)
        reader, writer = await listener.connect()
        answer = await reader.read()
        assert b" 503 " in answer.splitlines()[0]
        assert b"not_run" in answer
        assert b"\r\nRetry-After: 0.500\r\n" in answer
        writer.close()
        listener.released.set()
        for reader, writer in busy:
            assert await read_response(reader) == (200, b"/wait body")
            writer.close()


async def test_head_that_gives_way_is_refused_as_not_run():
    """Its caller may come again elsewhere."""
    async with running_listener() as listener:
        reader, writer = await listener.connect()
        writer.write(b"GET / HTTP/1.1\r\n")
        await until(lambda: listener.memory.held_bytes)
        (held,) = listener.memory._holders
        listener.memory._evict(held)
        answer = await reader.read()
        assert b" 503 " in answer.splitlines()[0]
        assert b"not_run" in answer
        assert listener.met_limits == ["caller_memory"]
        writer.close()


SMALL_HOST = {"host_memory_mb": 160, "host_descriptors": 1638}


@pytest.mark.parametrize(
    ("fields", "callers", "internal", "backlog"),
    [
        (SMALL_HOST, 409, 102, 204),
        (SMALL_HOST | {"host_descriptors": 8200}, 853, 512, 1024),
        (SMALL_HOST | {"max_caller_connections": 50}, 50, 102, 204),
        ({"host_descriptors": 40}, 16, 16, 16),
    ],
)
def test_connection_limits_follow_from_the_host(
    fields, callers, internal, backlog, monkeypatch
):
    """Descriptors and memory bear all connections at once."""
    monkeypatch.setattr(resource, "getrlimit", lambda _: (10_000, 10_000))
    limits = ConnectionLimits.from_config(GatewaySettings(**fields))
    assert limits == ConnectionLimits(callers, internal, backlog)
    descriptors = 2 * limits.callers + 3 * limits.internal + limits.backlog
    assert fields["host_descriptors"] < 100 or descriptors < fields["host_descriptors"]
