"""
Crowds that send no end of what stands before a body, or read no answers.

Guards the memory of a host against heads that never end and requests that are
sent ahead. All figures are those of the smallest host, divided by eight: 800
callers, a budget of 16 MB, and the 115 MB that a process of 45 MB has left of
160 MB. Each case starts a process of its own.
"""

import asyncio
import contextlib
import re

import pytest

from test.gateway.host_process import running_host
from test.gateway.test_misbehaving_callers import chunk_of, head_of

CROWD = 100
CALLER_MEMORY_MB = 2
# Largest growth of the process in bytes.
MAX_GROWTH_BYTES = 14 << 20
# Descriptors that a host may open besides two for each caller, of which one is
# the connection to a backend server.
MAX_OTHER_DESCRIPTORS = 40
# Bytes that each caller of a crowd tries to send at most, and seconds in which
# the crowd does so.
SENT_BYTES = 2 << 20
SEND_TIMEOUT_S = 3.0
# Seconds after which a request that was not answered fails the test.
ANSWER_TIMEOUT_S = 30.0
# Descriptors of the process, and a crowd of more connections than these.
MAX_DESCRIPTORS = 1638 // 8
LARGE_CROWD = 300
# Longer than a test: what is idle stays until others need its place.
PATIENT_LIMITS = {"HeaderTimeoutMs": 60_000, "IdleTimeoutMs": 60_000}
PIECE = 1 << 14
# Buffer of a caller, above the largest answer in bytes.
READ_LIMIT_BYTES = 2 << 20


def endless(data):
    """Yield some bytes again and again."""
    piece = data * (PIECE // len(data))
    for _ in range(SENT_BYTES // len(piece)):
        yield piece


def open_head(path):
    """Return a head that lacks its last line break."""
    return head_of(path, "X-First: v")[:-2]


def no_line_break(path):
    """Yield bytes that never form a line."""
    yield from endless(b"x")


def endless_target(path):
    """Yield a request line whose target never ends."""
    yield f"POST {path}/".encode()
    yield from endless(b"a")


def endless_name(path):
    """Yield a header name without end."""
    yield open_head(path) + b"X-"
    yield from endless(b"n")


def endless_value(path):
    """Yield a header value without end."""
    yield open_head(path) + b"X-Long: "
    yield from endless(b"v")


def endless_lines(path):
    """Yield short header lines without end."""
    yield open_head(path)
    yield from endless(b"X: v\r\n")


def long_lines(path):
    """Yield header lines without end, each of which is within the limit."""
    yield open_head(path)
    yield from endless(b"X-Line: " + b"v" * 8000 + b"\r\n")


def folded_lines(path):
    """Yield a header field that goes on in further lines without end."""
    yield open_head(path) + b"X-Folded: v\r\n"
    yield from endless(b" v\r\n")


def empty_lines(path):
    """Yield empty lines in place of a request."""
    yield from endless(b"\r\n")


def bare_line_feeds(path):
    """Yield line feeds in place of a request."""
    yield from endless(b"\n")


def endless_trailers(path):
    """Yield a body whose trailers never end."""
    yield head_of(path, "Transfer-Encoding: chunked") + chunk_of(b"body") + b"0\r\n"
    yield from endless(b"X-Line: " + b"v" * 8000 + b"\r\n")


def endless_extension(path):
    """Yield a chunk extension without end."""
    yield head_of(path, "Transfer-Encoding: chunked") + b"1;e="
    yield from endless(b"x")


def endless_chunk_size(path):
    """Yield the size of a chunk without end."""
    yield head_of(path, "Transfer-Encoding: chunked")
    yield from endless(b"0")


def long_heads_ahead(path):
    """Yield requests with heads of 6 KB whose answers are never read."""
    for _ in range(200):
        yield head_of(path, "X-Long: " + "v" * 6000, "Content-Length: 1") + b"x"


def small_requests_ahead(path):
    """Yield many small requests whose answers are never read."""
    for _ in range(60):
        yield b"".join(head_of(path, "Content-Length: 0") for _ in range(40))


def requests_after_empty_lines(path):
    """Yield requests, each after 80 KB of empty lines."""
    for _ in range(20):
        yield b"\r\n" * 40_000 + head_of(path, "Content-Length: 1") + b"x"


def long_answers(path):
    """Yield requests for answers of 1 MB, which are never read."""
    for _ in range(20):
        yield head_of(path, "Content-Length: 1") + b"x"


def body_for_store(path):
    """Yield a body for the store that lacks its last byte."""
    yield head_of("/store", f"Content-Length: {1 << 20}")
    yield b"x" * ((1 << 20) - 1)


HEADS = (
    no_line_break,
    endless_target,
    endless_name,
    endless_value,
    endless_lines,
    long_lines,
    folded_lines,
    empty_lines,
    bare_line_feeds,
)
IN_BODIES = (endless_trailers, endless_extension, endless_chunk_size)
AHEAD = (long_heads_ahead, small_requests_ahead, requests_after_empty_lines)
SOME = (no_line_break, long_lines, endless_trailers, long_heads_ahead)
CALLER_PATHS = ("/once/a", "/chat/a", "/jobs/a", "/nothing/a", "/ready")
LISTENERS = (("ready", "/ready"), ("peer", "/state"), ("metrics", "/metrics"))
# Way, listener, path, and whether each connection had an answer before.
CASES = [
    *(
        (way, "caller", "/plain/a", later)
        for way in (*HEADS, *IN_BODIES, *AHEAD, long_answers)
        for later in (False, True)
    ),
    *((way, "caller", path, False) for way in SOME for path in CALLER_PATHS),
    *(
        (way, *listener, later)
        for way in (*SOME, small_requests_ahead, endless_value)
        for listener in LISTENERS
        for later in (False, True)
    ),
    *((body_for_store, "peer", "/state", later) for later in (False, True)),
]


def case_id(value):
    """Return the name of a part of a case."""
    if isinstance(value, bool):
        return "later" if value else "first"
    return getattr(value, "__name__", str(value).strip("/"))


async def read_answer(reader):
    """Read one answer, with a stated length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    if b"transfer-encoding: chunked" in head:
        await reader.readuntil(b"0\r\n\r\n")
        return
    length = re.search(rb"content-length: (\d+)", head)
    await reader.readexactly(int(length[1]))


async def misbehave(port, way, path, later):
    """Open a connection, send what the way says, and return its writer."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", port, limit=READ_LIMIT_BYTES
    )
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        if later:
            writer.write(head_of(path, "Content-Length: 0"))
            await read_answer(reader)
        async with asyncio.timeout(SEND_TIMEOUT_S):
            for data in way(path):
                writer.write(data)
                await writer.drain()
    return writer


@pytest.mark.parametrize(("way", "listener", "path", "later"), CASES, ids=case_id)
async def test_crowd_stays_within_the_memory(way, listener, path, later, tmp_path):
    """A crowd takes a bounded part of the memory, and others are served."""
    async with running_host(tmp_path, CALLER_MEMORY_MB) as (fleet, host):
        if way is long_answers:
            for runner in fleet.runners_of("app"):
                runner.behaviour.body = bytes(1 << 20)
        assert (await fleet.request("/plain/a", data=b"warm")).status == 200
        peak_before, descriptors_before = host.peak_bytes, host.descriptors
        port = host.ports[listener]
        writers = await asyncio.gather(
            *(misbehave(port, way, path, later) for _ in range(CROWD))
        )
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                reply = await fleet.request(
                    "/plain/a", request_id="after", data=b"body"
                )
            assert reply.status == 200
            assert host.process.poll() is None
            descriptors = host.descriptors - descriptors_before
            assert descriptors <= 2 * CROWD + MAX_OTHER_DESCRIPTORS
            assert host.peak_bytes - peak_before <= MAX_GROWTH_BYTES
        finally:
            for writer in writers:
                writer.transport.abort()


def send_nothing(path):
    """Yield nothing."""
    return ()


def part_of_a_head(path):
    """Yield a head that lacks its last line break."""
    yield open_head(path)


def part_of_a_body(path):
    """Yield a body that lacks its last byte."""
    yield head_of(path, "Content-Length: 2") + b"x"


def one_request(path):
    """Yield one request."""
    yield head_of(path, "Content-Length: 0")


DESCRIPTOR_CASES = [
    (way, *listener)
    for way in (send_nothing, part_of_a_head, part_of_a_body, one_request)
    for listener in (("caller", "/once/a"), *LISTENERS)
]


async def request_until_taken(fleet):
    """Send an ordinary request; come again if it is refused as not run."""
    while True:
        reply = await fleet.request("/plain/a", request_id="after", data=b"body")
        if reply.status != 503:
            return reply
        await asyncio.sleep(float(reply.headers["Retry-After"]))


@pytest.mark.parametrize(("way", "listener", "path"), DESCRIPTOR_CASES, ids=case_id)
async def test_crowd_leaves_descriptors(way, listener, path, tmp_path):
    """More connections than descriptors at any listener keep nobody out."""
    async with running_host(
        tmp_path, CALLER_MEMORY_MB, MAX_DESCRIPTORS, PATIENT_LIMITS
    ) as (fleet, host):
        for runner in fleet.runners_of("app"):
            runner.behaviour.processing_time_s = 1.0
        assert (await fleet.request("/plain/a", data=b"warm")).status == 200
        port = host.ports[listener]
        writers = await asyncio.gather(
            *(misbehave(port, way, path, False) for _ in range(LARGE_CROWD))
        )
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                reply = await request_until_taken(fleet)
            assert reply.status == 200
            assert host.process.poll() is None
            assert host.descriptors < MAX_DESCRIPTORS
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                ready = await asyncio.open_connection("127.0.0.1", host.ports["ready"])
                writers.append(ready[1])
                ready[1].write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                assert b" 200 " in await ready[0].readline()
        finally:
            for writer in writers:
                writer.transport.abort()
