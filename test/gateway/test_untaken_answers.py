"""
Answers that callers have not taken as their connection or host ends.

Guards callers against hosts that end, or close with unread input, while the
kernel still holds a part of an answer (review case 9).
"""

import asyncio
import contextlib
import select

import pytest

from test.gateway.fleet import gateway_fleet, until
from test.gateway.slow_callers import connect, read_slowly, send_request, slow_socket

GRACE_S = 4.0
# Bytes of an answer that the kernel takes at once.
SMALL_BYTES = 40_000
# Bytes of one that it does not take at once.
LARGE_BYTES = 1_000_000
RECEIVE_BYTES = 4096


async def wait_for_input(sock):
    """Return once a part of an answer has arrived, and read nothing."""
    await until(lambda: select.select([sock], [], [], 0)[0])


@contextlib.asynccontextmanager
async def connected_caller(body_bytes):
    """Yield the only host of a fleet and a connected caller that is slow."""
    async with gateway_fleet(bounds={"stop_grace_s": GRACE_S}) as fleet:
        for runner in fleet.runners_of("app"):
            runner.behaviour.body = b"x" * body_bytes
        host = fleet.hosts.pop(0)
        with slow_socket(RECEIVE_BYTES) as sock:
            await connect(fleet, sock)
            await until(lambda: host._caller_server.connections)
            yield host, sock


@pytest.mark.parametrize("lines", [(), ("Connection: close",)])
@pytest.mark.parametrize("body_bytes", [SMALL_BYTES, LARGE_BYTES])
async def test_host_ends_after_its_answers_are_taken(body_bytes, lines):
    """It ended as soon as the kernel had them."""
    async with connected_caller(body_bytes) as (host, sock):
        stop = asyncio.create_task(host.stop())
        await until(lambda: host.request_handler.stopping)
        await send_request(sock, "/once/a", *lines)
        await wait_for_input(sock)
        # The listener closes after half of the grace period.
        await asyncio.sleep(GRACE_S / 2 + 0.5)
        assert not stop.done()
        data = await read_slowly(sock, body_bytes * 2)
        assert data.count(b"x") >= body_bytes
        await asyncio.wait_for(stop, 0.5)


async def test_answer_of_a_kept_connection_is_taken_before_a_stop_closes_it():
    """The connection counted as idle, as the kernel had all."""
    async with connected_caller(SMALL_BYTES) as (host, sock):
        await send_request(sock, "/once/a")
        (connection,) = host._caller_server.connections
        await wait_for_input(sock)
        await until(lambda: not connection.is_handling)
        stop = asyncio.create_task(host.stop())
        await asyncio.sleep(GRACE_S / 2 + 0.5)
        assert not stop.done()
        data = await read_slowly(sock, SMALL_BYTES * 2)
        assert data.count(b"x") >= SMALL_BYTES
        await asyncio.wait_for(stop, 0.5)


@pytest.mark.parametrize("body_bytes", [SMALL_BYTES, LARGE_BYTES])
async def test_unread_input_does_not_reset_an_answer(body_bytes):
    """A request sent ahead of a last answer made the kernel drop it."""
    async with connected_caller(body_bytes) as (host, sock):
        await send_request(sock, "/once/a", "Connection: close")
        await wait_for_input(sock)
        await send_request(sock, "/once/b")
        await asyncio.sleep(0.1)
        data = await read_slowly(sock, body_bytes * 2, pause_s=0.001)
        await host.kill()
        assert data.count(b"x") >= body_bytes
