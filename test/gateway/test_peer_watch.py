"""
Callers and backend servers that read slowly, and peers that are gone.

Guards steady readers against the kernel's user timeout, which also counts the
time in which a live peer has no room in its buffer.
"""

import asyncio
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale.gateway import peer_watch, send_queue
from galenascale.gateway.backend_connection import BackendConnection
from galenascale.gateway.peer_watch import (
    CHECK_INTERVAL_S,
    SILENCE_S,
    UNANSWERED_S,
    AckState,
    PeerWatch,
    QueueDetector,
    SilenceDetector,
    read_ack_state,
)
from galenascale.gateway.send_queue import bytes_in_flight, untaken_bytes
from galenascale.platform.headers import parse_response_head
from test.gateway.fleet import gateway_fleet
from test.gateway.slow_callers import (
    READ_BYTES,
    connect,
    read_slowly,
    send_request,
    slow_socket,
)

# Size of an answer or a body in bytes, and how a slow peer reads it: 64 KB/s.
SIZE = 250_000
PAUSE_S = 0.125
# What a caller leaves in the kernel's buffers until it goes on.
LAST_BYTES = 60_000


@pytest.mark.parametrize("lines", [(), ("Connection: close",)])
@pytest.mark.parametrize("receive_bytes", [0, 16384])
async def test_steady_reader_gets_a_whole_answer(receive_bytes, lines):
    """It was reset after 2.0 to 2.6 s, and its request had run."""
    async with gateway_fleet() as fleet:
        for runner in fleet.runners_of("app"):
            runner.behaviour.body = b"x" * SIZE
        with slow_socket(receive_bytes) as sock:
            await connect(fleet, sock)
            await send_request(sock, "/once/a", *lines)
            data = await read_slowly(sock, SIZE, PAUSE_S)
            assert data.startswith(b"HTTP/1.1 200 ")
            assert data.count(b"x") >= SIZE


async def test_server_that_reads_an_upload_slowly_gets_all_of_it():
    """The same holds on connections to servers."""
    received = []

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        received.append(head)
        while sum(map(len, received)) - len(head) < SIZE:
            received.append(await reader.read(READ_BYTES))
            await asyncio.sleep(PAUSE_S / 2)
        writer.close()

    with slow_socket(16384) as listener:
        listener.bind(("127.0.0.1", 0))
        server = await asyncio.start_server(serve, sock=listener, limit=READ_BYTES)
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: BackendConnection(parse_response_head), *listener.getsockname()
        )
        connection.send("POST", b"POST / HTTP/1.1\r\n\r\n", b"x" * SIZE, "r1")
        started_at = loop.time()
        while sum(map(len, received)) < SIZE and loop.time() < started_at + 8:
            assert not connection.closed
            await asyncio.sleep(0.05)
        server.close()
    assert b"".join(received).count(b"x") == SIZE
    assert loop.time() - started_at > SILENCE_S


# Seconds of each acknowledgement of a live peer, and how long the kernel's
# probe before it was unanswered.
ACKNOWLEDGEMENTS = st.lists(
    st.tuples(st.floats(0.01, 30.0), st.floats(0.0, UNANSWERED_S - CHECK_INTERVAL_S)),
    min_size=1,
    max_size=12,
)


def state_at(now, acks):
    """Return the AckState of a peer that acknowledges at the given times."""
    past = [at for at, _ in acks if at <= now]
    silent_s = now - max(past, default=0.0)
    is_unanswered = any(at - delay_s <= now < at for at, delay_s in acks)
    return AckState(is_unanswered, silent_s)


def check_times(until_s):
    """Yield the times of the checks of a watch."""
    now = 0.0
    while now < until_s:
        yield now
        now += CHECK_INTERVAL_S


@given(ACKNOWLEDGEMENTS)
def test_peer_that_answers_each_probe_is_never_gone(intervals):
    """The kernel doubles the time between probes; silence alone is no sign."""
    acks = []
    at = 0.0
    for interval_s, delay_s in intervals:
        at += interval_s
        acks.append((at, min(delay_s, interval_s)))
    detector = SilenceDetector()
    for now in check_times(at):
        assert not detector.is_gone(state_at(now, acks), now)


@given(st.floats(0.0, 20.0), st.floats(0.0, 3.0))
def test_peer_that_answers_nothing_is_soon_gone(last_ack_at, pause_s):
    """From the first probe without an answer it takes the same short time."""
    detector = SilenceDetector()
    probed_at = last_ack_at + pause_s
    for now in check_times(60.0):
        silent_s = max(0.0, now - last_ack_at)
        if detector.is_gone(AckState(now >= probed_at, silent_s), now):
            break
    assert now >= max(last_ack_at + SILENCE_S, probed_at + UNANSWERED_S)
    assert now <= max(last_ack_at + SILENCE_S, probed_at + UNANSWERED_S) + (
        2 * CHECK_INTERVAL_S
    )


# Steps of a peer: how long it has no room in its buffer, and the bytes that it
# acknowledges then.
READS = st.lists(st.tuples(st.floats(0.0, 30.0), st.integers(1, 1 << 20)), max_size=9)


@given(READS)
def test_peer_without_room_is_not_gone_by_its_queue(reads):
    """What it has room for is acknowledged at once: nothing is in flight."""
    detector = QueueDetector()
    untaken = sum(count for _, count in reads)
    now = 0.0
    for pause_s, count in reads:
        until_s = now + pause_s
        while now < until_s:
            assert not detector.is_gone(0, untaken, now)
            now += CHECK_INTERVAL_S
        untaken -= count
        assert not detector.is_gone(min(count, untaken), untaken, now)


@given(READS, st.integers(1, 1 << 20), st.lists(st.integers(0, 999), max_size=20))
def test_peer_that_acknowledges_nothing_is_gone_by_its_queue(reads, in_flight, written):
    """Also while more is written to it."""
    detector = QueueDetector()
    now = 0.0
    for pause_s, count in reads:
        detector.is_gone(0, count, now)
        now += pause_s
    silent_from = now
    untaken = in_flight
    while not detector.is_gone(in_flight, untaken, now):
        untaken += written.pop() if written else 0
        now += CHECK_INTERVAL_S
        assert now - silent_from <= SILENCE_S + 2 * CHECK_INTERVAL_S
    assert now - silent_from >= SILENCE_S - CHECK_INTERVAL_S


def tell_nothing(*_):
    """Stand for a question that the kernel does not answer."""


def hide_ack_state(monkeypatch):
    """Let the kernel answer without TCP_INFO."""
    monkeypatch.setattr(peer_watch, "read_ack_state", tell_nothing)


def hide_everything(monkeypatch):
    """Let it tell neither that nor the size of its queue."""
    hide_ack_state(monkeypatch)
    monkeypatch.setattr(send_queue, "_ask_kernel", tell_nothing)


# Guards callers that pause against kernels that tell less of them.
@pytest.mark.parametrize("hide", [lambda _: None, hide_ack_state, hide_everything])
@pytest.mark.parametrize("size", [30_000, 1_000_000])
async def test_caller_that_pauses_gets_a_whole_answer(monkeypatch, hide, size):
    """The user timeout ended it after 1.5 s without TCP_INFO."""
    hide(monkeypatch)
    async with gateway_fleet() as fleet:
        for runner in fleet.runners_of("app"):
            runner.behaviour.body = b"x" * size
        with slow_socket(16384) as sock:
            await connect(fleet, sock)
            await send_request(sock, "/once/a", "Connection: close")
            data = await read_slowly(sock, 1, pause_s=3.0)
            # The process holds nothing any more at the second pause.
            data += await read_slowly(sock, size - LAST_BYTES - len(data))
            await asyncio.sleep(3.0)
            data += await read_slowly(sock, size)
            assert data.count(b"x") >= size


async def test_kernel_that_answers_with_zeros_tells_nothing():
    """Such an answer looked like that of a peer that is never silent."""
    sock = SimpleNamespace(getsockopt=lambda level, option, size: bytes(size))
    assert read_ack_state(sock) is None


async def test_peer_is_gone_by_its_queue_without_tcp_info(monkeypatch):
    """Where TCP_INFO told nothing, a silent peer was not noticed."""
    hide_ack_state(monkeypatch)
    monkeypatch.setattr(peer_watch, "bytes_in_flight", lambda sock: 1000)
    gone = asyncio.Event()
    with slow_socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        _, writer = await asyncio.open_connection(*listener.getsockname())
        writer.write(b"x" * (8 << 20))
        watch = PeerWatch(asyncio.get_running_loop(), gone.set)
        watch.begin(writer.transport)
        await asyncio.wait_for(gone.wait(), 2 * SILENCE_S)
        watch.end()
        writer.transport.abort()


async def test_kernel_tells_what_a_peer_has_acknowledged():
    """The layout of the kernel's answer is known by offsets only."""
    loop = asyncio.get_running_loop()
    with slow_socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        with (await loop.sock_accept(listener))[0] as peer:
            writer.write(b"x" * 1000)
            await asyncio.sleep(0.3)
            sock = writer.get_extra_info("socket")
            state = read_ack_state(sock)
            assert not state.is_unanswered
            assert 0.2 < state.silent_s < 5.0
            assert untaken_bytes(writer.transport) == 0
            writer.write(b"x" * (8 << 20))
            await asyncio.sleep(0.1)
            assert untaken_bytes(writer.transport) > 1 << 20
            assert read_ack_state(peer).is_unanswered is False
            # The peer has no room, and has acknowledged what it had room for.
            assert bytes_in_flight(sock) == 0
        writer.transport.abort()
        del reader
