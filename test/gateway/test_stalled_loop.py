"""
Answers that the kernel has received while the event loop of a host stalls.

Guards against a host that takes servers and owners of slots for lost because
it was late itself.
"""

import asyncio
import contextlib
import socket
import time

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from galenascale.errors import BackendError
from galenascale.gateway.backend_pool import REQUEST_CONNECT_TIMEOUT_S, BackendPool
from galenascale.gateway.slots.acquisition import ANSWER_TIMEOUT_S
from galenascale.gateway.slots.leases import PendingRequest
from galenascale.gateway.slots.wait_queue import SlotRequest

# Seconds that a connect may take beyond its timeout and the stall.
MARGIN_S = 0.5
# Connections that fill the queue of a socket that accepts none.
QUEUE_FILLERS = 4
ANSWER = b"answer"
# Turns of the event loop before it stalls.
TURNS = st.integers(0, 8)


@attrs.frozen
class Server:
    """The fields of a ServerEntry that the pool reads."""

    address: str
    server_id: str = "s1"
    incarnation: str = "s1"


def listen(stack, backlog):
    """Return a listening socket that the stack closes."""
    listener = stack.enter_context(socket.socket())
    listener.bind(("127.0.0.1", 0))
    listener.listen(backlog)
    return listener


def accepting_peer(stack):
    """Return the address of a peer whose kernel accepts connections."""
    return listen(stack, 128).getsockname()


def refusing_peer(stack):
    """Return an address at which nobody listens."""
    sock = stack.enter_context(socket.socket())
    sock.bind(("127.0.0.1", 0))
    return sock.getsockname()


def silent_peer(stack):
    """Return the address of a peer that does not answer connects."""
    address = listen(stack, 0).getsockname()
    for _ in range(QUEUE_FILLERS):
        sock = stack.enter_context(socket.socket())
        sock.setblocking(False)
        sock.connect_ex(address)
    return address


def stall(seconds):
    """Block the event loop."""
    time.sleep(seconds)


async def stall_after(turns, seconds):
    """Block the event loop after some of its turns."""
    for _ in range(turns):
        await asyncio.sleep(0)
    stall(seconds)


async def connect_codes(address, connects, turns, stall_s):
    """Return the code of each connect's error, None where it succeeded."""
    pool = BackendPool(parse_head=None)
    server = Server("{}:{}".format(*address))

    async def connect():
        try:
            connection = await pool.acquire(server, "r1", repeatable=True)
        except BackendError as error:
            return error.code
        connection.abort()
        return None

    results = await asyncio.gather(
        *(connect() for _ in range(connects)), stall_after(turns, stall_s)
    )
    return results[:-1]


@pytest.mark.parametrize(
    ("make_peer", "code"),
    [
        (accepting_peer, None),
        (refusing_peer, "connect_failed"),
        (silent_peer, "connect_timeout"),
    ],
)
@settings(max_examples=20)
@given(
    connects=st.integers(1, 30),
    turns=TURNS,
    stall_s=st.one_of(st.just(0.0), st.floats(0.05, 0.4)),
)
def test_stall_of_the_host_hides_no_answer_of_a_peer(
    make_peer, code, connects, turns, stall_s
):
    """A peer counts as silent only if its kernel did not answer in time."""
    with contextlib.ExitStack() as stack:
        address = make_peer(stack)
        started_at = time.monotonic()
        codes = asyncio.run(connect_codes(address, connects, turns, stall_s))
        duration_s = time.monotonic() - started_at
    assert codes == [code] * connects
    assert duration_s < REQUEST_CONNECT_TIMEOUT_S + stall_s + MARGIN_S


async def is_answered(is_sent, datagrams_ahead, turns, stall_s):
    """Return whether a stalled host sees the answer of an owner of slots."""
    loop = asyncio.get_running_loop()
    pending = PendingRequest(SlotRequest("", 1), "pool", "owner", 0.0, 0.0, None)

    class Receiver(asyncio.DatagramProtocol):
        def datagram_received(self, data, address):
            if data == ANSWER:
                pending.answered.set()

    transport, _ = await loop.create_datagram_endpoint(
        Receiver, local_addr=("127.0.0.1", 0)
    )
    address = transport.get_extra_info("sockname")
    with contextlib.closing(transport), socket.socket(type=socket.SOCK_DGRAM) as sender:
        for _ in range(datagrams_ahead):
            sender.sendto(b"other", address)
        if is_sent:
            sender.sendto(ANSWER, address)
        answered, _ = await asyncio.gather(
            pending.wait_for_answer(ANSWER_TIMEOUT_S), stall_after(turns, stall_s)
        )
    return answered


@pytest.mark.parametrize("is_sent", [True, False])
@settings(max_examples=20)
@given(
    datagrams_ahead=st.integers(0, 3),
    turns=TURNS,
    stall_s=st.one_of(st.just(0.0), st.floats(0.03, 0.4)),
)
def test_stall_of_the_host_hides_no_answer_of_an_owner(
    is_sent, datagrams_ahead, turns, stall_s
):
    """An owner of slots counts as silent only if it did not answer in time."""
    answered = asyncio.run(is_answered(is_sent, datagrams_ahead, turns, stall_s))
    assert answered == is_sent
