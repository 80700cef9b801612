"""Timeouts of callers' connections."""

import asyncio
import contextlib
import socket

import aiohttp
import attrs
import pytest
from aiohttp import web

from galenascale.gateway.bounded_connection import CALLER_RECEIVE_BYTES
from galenascale.gateway.caller_memory import MEGABYTE, CallerMemory
from galenascale.gateway.configuration import CallerLimits
from galenascale.gateway.listeners import CallerServer, ListenerBudget, listen
from galenascale.gateway.sockets import RECEIVE_BYTES, BoundedSocket
from galenascale.platform.adapter import PlatformAdapter
from test.gateway.fleet import gateway_fleet

HEADER_TIMEOUT_S = 0.2
IDLE_TIMEOUT_S = 0.6
# Seconds after a timeout within which the connection must be closed.
TOLERANCE_S = 0.3
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


@contextlib.asynccontextmanager
async def caller_connection(work_s=0.0):
    """Yield (reader, writer) of a connection to a listening CallerServer."""

    async def answer(request):
        await asyncio.sleep(work_s)
        await request.read()
        return web.Response(text="done")

    limits = attrs.evolve(
        CallerLimits(),
        header_timeout_s=HEADER_TIMEOUT_S,
        idle_timeout_s=IDLE_TIMEOUT_S,
    )
    async with contextlib.AsyncExitStack() as stack:
        budget = ListenerBudget(CallerMemory(MEGABYTE), 10, lambda *_: None)
        server = CallerServer(answer, lambda: limits, budget)
        stack.push_async_callback(server.shutdown, 0.1)
        listener = await listen(stack, server, "127.0.0.1:0", 10)
        port = listener.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        stack.callback(writer.close)
        yield reader, writer


async def seconds_until_closed(reader):
    """Return the seconds until the server closes the connection."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    async with asyncio.timeout(5):
        assert await reader.read() == b""
    return loop.time() - started_at


@pytest.mark.parametrize(
    ("sent", "limit_s"),
    [(b"", IDLE_TIMEOUT_S), (REQUEST[:-2], HEADER_TIMEOUT_S)],
    ids=["nothing", "half of the headers"],
)
@pytest.mark.parametrize("after_request", [False, True])
async def test_stalled_connection_is_closed(sent, limit_s, after_request):
    """Callers that never complete a request must not hold connections."""
    async with caller_connection() as (reader, writer):
        if after_request:
            writer.write(REQUEST)
            assert (await reader.readuntil(b"done")).startswith(b"HTTP/1.1 200")
        writer.write(sent)
        waited_s = await seconds_until_closed(reader)
        assert limit_s * 0.8 <= waited_s <= limit_s + TOLERANCE_S


async def test_slow_headers_do_not_extend_the_header_timeout():
    """A caller could otherwise hold a connection by sending single bytes."""
    async with caller_connection() as (reader, writer):
        closed = asyncio.create_task(seconds_until_closed(reader))
        for byte in REQUEST[:-2]:
            if closed.done():
                break
            writer.write(bytes([byte]))
            await asyncio.sleep(HEADER_TIMEOUT_S / 8)
        assert await closed <= HEADER_TIMEOUT_S + TOLERANCE_S


async def test_request_longer_than_the_timeouts_is_answered():
    """The idle and header timeouts must not end a request in progress."""
    async with caller_connection(work_s=IDLE_TIMEOUT_S * 1.5) as (reader, writer):
        writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n1")
        await asyncio.sleep(HEADER_TIMEOUT_S * 1.5)
        writer.write(b"2")
        assert (await reader.readuntil(b"done")).startswith(b"HTTP/1.1 200")


async def test_received_bytes_are_limited_on_all_connections():
    """
    Guards small hosts against 256 KB allocated for each receive call.

    That is what the event loop asks for, however few bytes have arrived.
    """
    sizes = []

    class RecordingSocket(BoundedSocket):
        def recv(self, size, flags=0):
            data = super().recv(size, flags)
            sizes.append(len(data))
            return data

    one, other = socket.socketpair()
    with one, other:
        one.sendall(bytes(3 * RECEIVE_BYTES)[: 1 << 17])
        receiver = RecordingSocket(fileno=other.detach())
        with receiver:
            receiver.recv(1 << 18)
    assert sizes == [RECEIVE_BYTES]
    async with (
        gateway_fleet() as fleet,
        aiohttp.ClientSession() as session,
        session.get(fleet.url("/none")),
    ):
        (connection,) = fleet.hosts[0]._caller_server.connections
        assert connection.transport.max_size == CALLER_RECEIVE_BYTES <= RECEIVE_BYTES
    async with PlatformAdapter().make_session() as session:
        sock = session.connector._socket_factory((socket.AF_INET, 1, 6, "", None))
        with sock:
            assert isinstance(sock, BoundedSocket)
