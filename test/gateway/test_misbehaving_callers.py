"""
Crowds of callers that hold requests open, send too much or read nothing.

Guards a host against callers that grow its memory with their number, until it
ends. Each case starts a process of its own and checks that it lives, what
memory and descriptors it took, and that an ordinary request is answered while
the crowd is still there.
"""

import asyncio
import contextlib
import itertools

import pytest

from test.gateway.fleet import HOST_NAME
from test.gateway.host_process import running_host

CROWD = 40
# Largest body of the configuration, in bytes.
BODY_BYTES = 1 << 20
# Memory for the bodies of callers in the settings, in megabytes.
CALLER_MEMORY_MB = 8
# Largest growth of the process in bytes.
MAX_GROWTH_BYTES = 24 << 20
# Descriptors that a host may open besides one for each caller.
MAX_OTHER_DESCRIPTORS = 40
# Seconds in which a caller hands over its bytes, or is refused.
SEND_TIMEOUT_S = 5.0
CALLER_PATHS = ("/plain/a", "/once/a", "/chat/a", "/jobs/a", "/nothing/a", "/ready")
OTHER_LISTENERS = ("ready", "peer", "metrics")
_numbers = itertools.count()


def head_of(path, *lines, method="POST"):
    """Return the head of a request with more header lines."""
    number = next(_numbers)
    fields = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Galenascale-Attempt-Id: r{number}",
        "X-Galenascale-Deadline-Ms: 3000",
        *lines,
    ]
    return "\r\n".join([*fields, "", ""]).encode()


def short_body(path):
    """Yield a request whose body lacks its last byte."""
    yield head_of(path, f"Content-Length: {BODY_BYTES}")
    yield b"x" * (BODY_BYTES - 1)


def chunk_of(data):
    """Return a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def short_chunks(path):
    """Yield a chunked body in pieces that never ends."""
    yield head_of(path, "Transfer-Encoding: chunked")
    for _ in range(BODY_BYTES // 4096 - 1):
        yield chunk_of(b"x" * 4096)


def tiny_chunks(path):
    """Yield a body in chunks of one byte that never ends."""
    yield head_of(path, "Transfer-Encoding: chunked")
    for _ in range(8):
        yield chunk_of(b"x") * 4096


def many_fields(path):
    """Yield 240 short header fields and a body that lacks its last byte."""
    lines = [f"X-{number}: v" for number in range(240)]
    yield head_of(path, f"Content-Length: {BODY_BYTES}", *lines)
    yield b"x" * (BODY_BYTES - 1)


def endless_chunks(path):
    """Yield a chunked body of eight times the limit."""
    yield head_of(path, "Transfer-Encoding: chunked")
    for _ in range(8 * BODY_BYTES // 65536):
        yield chunk_of(b"x" * 65536)


def huge_length(path):
    """Yield a body whose stated length is far over the limit."""
    yield head_of(path, f"Content-Length: {64 * BODY_BYTES}")
    for _ in range(4):
        yield b"x" * BODY_BYTES


def empty_fields(path):
    """Yield a whole job within the limit, made of very many empty fields."""
    fields = ",".join(f'"{number:x}":""' for number in range(85_000))
    item = '{"Id":"a","Path":"/jobs/a","Headers":{' + fields + "}}"
    body = ('{"Items":[' + item + "]}").encode()
    assert len(body) <= BODY_BYTES
    yield head_of(path, f"Content-Length: {len(body)}") + body


def empty_lists(path):
    """Yield a whole job within the limit, made of very many empty lists."""
    body = b'{"Items":[%b[]]}' % (b"[]," * ((BODY_BYTES - 20) // 3))
    yield head_of(path, f"Content-Length: {len(body)}") + body


def sent_ahead(path):
    """Yield many requests whose answers are never read."""
    body = b"x" * 2048
    for _ in range(200):
        yield head_of(path, f"Content-Length: {len(body)}") + body


def read_nothing(path):
    """Yield one request whose answer is never read."""
    yield head_of(path, "Content-Length: 4") + b"body"


def stop_in_head(path):
    """Yield a part of a head."""
    yield head_of(path, "X-Long: " + "v" * 8000)[:-2]


BODY_WAYS = (short_body, short_chunks, many_fields, endless_chunks, huge_length)
CASES = [
    *((way, "caller", path) for way in BODY_WAYS for path in CALLER_PATHS),
    *((way, name, "/ready") for way in BODY_WAYS for name in OTHER_LISTENERS),
    *((way, "caller", "/jobs/a") for way in (empty_fields, empty_lists, tiny_chunks)),
    *((way, "caller", "/plain/a") for way in (tiny_chunks, stop_in_head)),
    *((way, "caller", "/chat/a") for way in (sent_ahead, read_nothing)),
    (sent_ahead, "caller", "/plain/a"),
    (sent_ahead, "caller", "/nothing/a"),
    (short_body, "caller", "/lots/a"),
    (sent_ahead, "ready", "/ready"),
]


async def misbehave(port, way, path):
    """Open a connection, send a request, and return the open writer."""
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_TIMEOUT_S):
            for data in way(path):
                writer.write(data)
                await writer.drain()
    return writer


@pytest.mark.parametrize(
    ("way", "listener", "path"),
    CASES,
    ids=lambda item: getattr(item, "__name__", str(item).strip("/")),
)
async def test_crowd_ends_no_host(way, listener, path, tmp_path):
    """A crowd takes a bounded part of the memory, and others are served."""
    async with running_host(tmp_path, CALLER_MEMORY_MB) as (fleet, host):
        assert (await fleet.request("/plain/a", data=b"warm")).status == 200
        peak_before, descriptors_before = host.peak_bytes, host.descriptors
        port = host.ports[listener]
        writers = await asyncio.gather(
            *(misbehave(port, way, path) for _ in range(CROWD))
        )
        try:
            reply = await fleet.request("/plain/a", request_id="after", data=b"body")
            assert reply.status == 200
            assert host.process.poll() is None
            descriptors = host.descriptors - descriptors_before
            assert descriptors <= CROWD + MAX_OTHER_DESCRIPTORS
            assert host.peak_bytes - peak_before <= MAX_GROWTH_BYTES
        finally:
            for writer in writers:
                writer.transport.abort()


async def test_largest_body_is_served_in_calm(tmp_path):
    """A limit must not meet a caller within the limits of the pages."""
    async with running_host(tmp_path, CALLER_MEMORY_MB) as (fleet, _):
        for number in range(3):
            reply = await fleet.request(
                "/plain/a", request_id=f"large-{number}", data=b"x" * BODY_BYTES
            )
            assert reply.status == 200
