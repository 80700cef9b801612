"""Answers that stop before, inside or right after their head."""

import asyncio

import attrs
import pytest

from galenascale.errors import BackendError, Execution
from galenascale.gateway.backend_connection import BackendConnection
from galenascale.platform.headers import parse_response_head
from test.gateway.fleet import gateway_fleet

FIRST = (
    b"HTTP/1.1 204 No Content\r\n"
    b"X-Galenascale-Attempt-Id: r1\r\n"
    b"X-Galenascale-Response-Signature: s\r\n\r\n"
)
FIRST_WITH_LENGTH = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Galenascale-Attempt-Id: r1\r\n"
    b"X-Galenascale-Response-Signature: s\r\n"
    b"Content-Length: 2\r\n\r\nok"
)
HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Galenascale-Attempt-Id: r2\r\n"
    b"X-Galenascale-Response-Signature: s\r\n"
    b"Content-Length: 4\r\n\r\n"
)


class _Transport(asyncio.Transport):
    """Transport that keeps nothing."""

    def write(self, data):
        """Discard bytes."""

    def get_write_buffer_size(self):
        """Return 0 bytes."""
        return 0

    def is_closing(self):
        """Return False."""
        return False

    def abort(self):
        """Do nothing."""

    def pause_reading(self):
        """Do nothing."""

    def resume_reading(self):
        """Do nothing."""


def feed(connection, data):
    """Let a connection receive bytes."""
    if data:
        connection.get_buffer(-1)[: len(data)] = data
        connection.buffer_updated(len(data))


async def read_all(connection):
    """Return the head and the body of an answer."""
    head = await connection.read()
    chunks = []
    while (chunk := await connection.read()) is not None:
        chunks.append(chunk)
    return head, b"".join(chunks)


@attrs.frozen
class Cut:
    """The answer before on the connection, and what comes of the next one."""

    name: str
    before: bytes | None
    received: bytes


CUTS = [
    Cut(f"{name}, {size} bytes", before, HEAD[:size])
    for name, before in (
        ("new connection", None),
        ("after 204", FIRST),
        ("after 200", FIRST_WITH_LENGTH),
    )
    for size in (0, 1, 9, 17, 40, 60, len(HEAD) - 3, len(HEAD) - 1)
]


# Guards callers against an answer that stops inside its head and looks whole.
@pytest.mark.parametrize("cut", CUTS, ids=lambda cut: cut.name)
@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
async def test_answer_cut_in_its_head_is_broken(cut, reset):
    """The close must not count as the end of an answer without a length."""
    connection = BackendConnection(parse_response_head)
    connection.connection_made(_Transport())
    if cut.before is not None:
        connection.send("GET", b"", b"", "r1")
        feed(connection, cut.before)
        head, _ = await read_all(connection)
        assert head.status in (200, 204)
        assert connection.can_be_reused()
    connection.send("GET", b"", b"", "r2")
    feed(connection, cut.received)
    if reset:
        connection.connection_lost(ConnectionResetError())
    else:
        connection.eof_received()
    with pytest.raises(BackendError) as raised:
        await connection.read()
    assert raised.value.execution is Execution.MAY_HAVE_RUN
    assert not connection.can_be_reused()


@pytest.mark.parametrize("path", ["/plain/a", "/once/a", "/chat/a", "/talk/a"])
@pytest.mark.parametrize("size", [0, 17, 60, -1])
async def test_caller_gets_no_success_of_a_cut_head(path, size):
    """Guards callers on the whole way, on connections that are used again."""
    service = "llm" if path[1:] in ("chat/a", "talk/a") else "app"
    async with gateway_fleet(runners=1) as fleet:
        (runner,) = fleet.runners_of(service)
        runner.behaviour.status = 204
        runner.behaviour.omit_length = True
        assert (await fleet.request(path, data=b"x")).status == 204
        runner.behaviour = attrs.evolve(
            runner.behaviour, status=200, cut_head_at=size, omit_length=False
        )
        reply = await fleet.request(path, request_id="r2", data=b"x")
        assert reply.status in (502, 503, 504)
        assert "X-Galenascale-Response-Signature" not in reply.headers
        runner.behaviour = attrs.evolve(runner.behaviour, cut_head_at=None)
        assert (await fleet.request(path, request_id="r3", data=b"x")).status == 200
