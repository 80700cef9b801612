"""
Servers that answer a long upload before they have read it.

Guards callers against a part of an answer that looks like the whole one. The
request is still being written when the answer begins, so its connection may
break from either side.
"""

import asyncio
import socket

import pytest

from galenascale.standins.runner import RunnerStandin
from test.gateway.fleet import gateway_fleet, until
from test.gateway.test_jobs import output_of, submit, wait_for_results

HEAD = (
    "HTTP/1.1 @STATUS Status\r\nX-Galenascale-Attempt-Id: @ID\r\n"
    "X-Galenascale-Response-Signature: signed\r\n"
)
EVENT = "id: 1\ndata: word1\n\n"
LONG_EVENTS = "".join(f"id: {n}\ndata: word{n}\n\n" for n in range(1, 20_000))
FRAMINGS_BY_NAME = {
    "no length": "\r\n" + EVENT,
    "no length, long": "\r\n" + LONG_EVENTS,
    "close": "Connection: close\r\n\r\n" + EVENT,
    "cut by length": f"Content-Length: 10000\r\n\r\n{EVENT}",
    "cut chunks": f"Transfer-Encoding: chunked\r\n\r\n{len(EVENT):x}\r\n{EVENT}\r\n",
}
# Bytes of an upload, above what the buffers of the kernel hold.
UPLOAD_BYTES = 12 << 20
LIMITS = {"BodyBytes": 16 << 20}
# Bytes that the kernel buffers for a server.
RECEIVE_BUFFER_BYTES = 4096
CLOSING_WAYS = ("reset", "reset later", "end, reset later")
PATHS = ("/plain/a", "/once/a", "/chat/a", "/talk/a")
STATUSES = ("000", "0", "20", "099", "600", "999")


class EarlyRunner(RunnerStandin):
    """Answers the head of a request, and closes the connection some way."""

    def __init__(self, server_id, service, *, answer, closing):
        super().__init__(server_id, service)
        self.answer = answer
        self.closing = closing
        self.answered = 0

    async def start(self, host="127.0.0.1", port=0):
        """Listen with a small receive buffer."""
        sock = socket.create_server((host, port))
        option = (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setsockopt(*option)
        self._server = await asyncio.start_server(self._serve, sock=sock, limit=1024)
        self.address = f"{host}:{sock.getsockname()[1]}"

    async def _serve(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
        by_name = {name.lower(): value for name, value in fields.items()}
        request_id = by_name["x-galenascale-attempt-id"]
        writer.write(self.answer.replace("@ID", request_id).encode())
        await writer.drain()
        self.answered += 1
        if self.closing == "whole":
            return
        if self.closing.startswith("end"):
            writer.write_eof()
        if self.closing != "reset":
            await asyncio.sleep(0.1)
        if self.closing == "end":
            while await reader.read(65536):
                pass
        writer.transport.abort()


async def add_early_servers(fleet, service, answer, closing):
    """Add two servers that give the same answer to all requests."""
    for number in range(2):
        runner = EarlyRunner(f"early-{number}", service, answer=answer, closing=closing)
        await runner.start()
        fleet.runners.append(runner)
        fleet.register(runner)
    servers = fleet.hosts[0].context.servers
    await until(lambda: len(servers.usable(service, 0.0)) == 2)
    return fleet.runners[-2:]


def service_of(path):
    """Return the service of a path."""
    return "llm" if path in ("/chat/a", "/talk/a") else "app"


@pytest.mark.parametrize("closing", CLOSING_WAYS)
@pytest.mark.parametrize("name", FRAMINGS_BY_NAME)
@pytest.mark.parametrize("path", PATHS)
async def test_part_of_an_early_answer_is_no_answer(path, name, closing):
    """The caller gets an error, or an answer that is visibly cut off."""
    async with gateway_fleet(runners=0, caller_limits=LIMITS) as fleet:
        answer = HEAD.replace("@STATUS", "200") + FRAMINGS_BY_NAME[name]
        runners = await add_early_servers(fleet, service_of(path), answer, closing)
        for number in range(3):
            reply = await fleet.request(
                path, request_id=f"r{number}", data=bytes(UPLOAD_BYTES)
            )
            assert reply.status >= 500 or not reply.complete
            if reply.status != 200:
                assert reply.status in (502, 504)
                assert b'"may_have_run"' in reply.body
        assert sum(runner.answered for runner in runners) >= 3


@pytest.mark.parametrize("name", ["no length", "close"])
@pytest.mark.parametrize("path", ["/plain/a", "/once/a"])
async def test_early_answer_is_whole_if_the_server_takes_the_request(path, name):
    """An answer without a length ends with its side of the connection."""
    async with gateway_fleet(runners=0, caller_limits=LIMITS) as fleet:
        answer = HEAD.replace("@STATUS", "200") + FRAMINGS_BY_NAME[name]
        await add_early_servers(fleet, "app", answer, "end")
        for number in range(3):
            reply = await fleet.request(
                path, request_id=f"r{number}", data=bytes(UPLOAD_BYTES)
            )
            assert (reply.status, reply.body) == (200, EVENT.encode())


@pytest.mark.parametrize("size", [10, UPLOAD_BYTES])
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("path", PATHS)
async def test_status_that_does_not_exist_is_no_answer(path, status, size):
    """Only statuses from 200 to 599 end a request."""
    async with gateway_fleet(runners=0, caller_limits=LIMITS) as fleet:
        body = "Content-Length: 7\r\n\r\npartial"
        answer = HEAD.replace("@STATUS", status) + body
        await add_early_servers(fleet, service_of(path), answer, "reset later")
        for number in range(2):
            reply = await fleet.request(path, request_id=f"r{number}", data=bytes(size))
            assert reply.status in (502, 504)
            assert b'"may_have_run"' in reply.body
            assert b"partial" not in reply.body


@pytest.mark.parametrize(
    ("status", "name"),
    [
        *(("200", name) for name in FRAMINGS_BY_NAME),
        *((status, "cut by length") for status in STATUSES),
    ],
)
async def test_early_answer_is_no_output_of_an_item(status, name):
    """The item runs again at a sound server."""
    async with gateway_fleet(runners=0, caller_limits=LIMITS) as fleet:
        answer = HEAD.replace("@STATUS", status) + FRAMINGS_BY_NAME[name]
        early = await add_early_servers(fleet, "llm", answer, "reset")
        assert await submit(fleet, "job-1", items=1, body=bytes(1 << 20)) == 202
        await until(lambda: sum(runner.answered for runner in early) >= 1)
        for runner in early:
            fleet.unregister(runner)
        await fleet.add_runner("sound", "llm")
        (result,) = await wait_for_results(fleet, "job-1", 1)
        assert (result["State"], result["Text"]) == ("completed", output_of(5))
