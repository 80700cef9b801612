"""Requests that arrive late in the planned stop of a host."""

import asyncio

import attrs
import pytest

from galenascale.gateway.stopping import StopWindow
from test.gateway.fleet import gateway_fleet, make_headers, until

GRACE_S = 2.0
BODY = b"0123456789"


@attrs.define(eq=False)
class SlowRequest:
    """A request on a raw connection, whose body is sent in two parts."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def start(cls, fleet, path, deadline_ms):
        """Send the head and a part of the body."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", fleet.ports["caller"]
        )
        headers = make_headers("late", path) | {
            "X-Galenascale-Deadline-Ms": str(deadline_ms),
            "Content-Length": str(len(BODY)),
        }
        lines = [f"POST {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + BODY[:4])
        return cls(reader, writer)

    async def finish(self):
        """Send the rest; return what the host answers until it closes."""
        self.writer.write(BODY[4:])
        received = await self.reader.read(-1)
        self.writer.close()
        return received


# Guards callers against requests that a stopping host takes late and cuts off.
@pytest.mark.parametrize("path", ["/plain/a", "/once/a", "/chat/a", "/talk/a"])
async def test_request_read_late_in_a_stop_is_refused(path):
    """
    A body that arrives after the listener closed, on a calm day.

    The server would still work on it at the end of the grace period.
    """
    service = "llm" if path[1:] in ("chat/a", "talk/a") else "app"
    async with gateway_fleet(runners=1, bounds={"stop_grace_s": GRACE_S}) as fleet:
        (runner,) = fleet.runners_of(service)
        runner.behaviour.processing_time_s = 3.0
        runner.behaviour.event_interval_s = 1.0
        host = fleet.hosts.pop(0)
        request = await SlowRequest.start(fleet, path, 4000)
        await until(lambda: host.request_handler.in_flight == 1)
        stop = asyncio.create_task(host.stop())
        await asyncio.sleep(GRACE_S / 2 + 0.2)
        received = await request.finish()
        await stop
        assert received.startswith(b"HTTP/1.1 503")
        assert b"Connection: close" in received
        assert b"Retry-After" in received
        assert not runner.requests


@pytest.mark.parametrize("path", ["/plain/a", "/once/a"])
async def test_request_that_ends_in_time_is_served_late_in_a_stop(path):
    """Guards against refusals of requests that a stop does not cut off."""
    async with gateway_fleet(runners=1, bounds={"stop_grace_s": GRACE_S}) as fleet:
        host = fleet.hosts.pop(0)
        request = await SlowRequest.start(fleet, path, 1400)
        await until(lambda: host.request_handler.in_flight == 1)
        stop = asyncio.create_task(host.stop())
        await asyncio.sleep(GRACE_S / 2 + 0.1)
        received = await request.finish()
        await stop
        assert received.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("path", ["/plain/a", "/once/a", "/chat/a"])
async def test_kept_connection_takes_no_request_late_in_a_stop(path):
    """Guards against requests on kept connections after the accept period."""
    async with gateway_fleet(runners=1, bounds={"stop_grace_s": GRACE_S}) as fleet:
        host = fleet.hosts.pop(0)
        idle = [
            await asyncio.open_connection("127.0.0.1", fleet.ports["caller"])
            for _ in range(5)
        ]
        stop = asyncio.create_task(host.stop())
        await asyncio.sleep(GRACE_S / 2 + 0.2)
        for reader, writer in idle:
            headers = make_headers("late", path) | {"Content-Length": "0"}
            lines = [f"POST {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            assert await reader.read(-1) == b""
            writer.close()
        await stop
        assert not any(runner.requests for runner in fleet.runners)


@pytest.mark.parametrize(
    ("grace_s", "read_at", "deadline", "refused"),
    [
        # Deadlines within the grace period are met, whenever it was read.
        (8.0, 5.0, 7.0, False),
        # The balancer may still send these.
        (8.0, 2.0, 12.0, False),
        (8.0, 2.9, 12.0, True),
        (8.0, 2.9, 7.7, True),
        (2.0, 1.2, 2.0, True),
        (2.0, 0.5, 2.0, False),
    ],
)
def test_stop_window(grace_s, read_at, deadline, refused):
    """Guards the moments at which requests may still be passed on."""
    window = StopWindow.from_grace(0.0, grace_s)
    assert window.would_cut(read_at, deadline) is refused


@attrs.define
class ListenerClosedAfterRequest:
    """Stands before a listener; a request is read just before it closes."""

    listener: object
    connection: object
    request: bytes

    def close(self):
        """Read the request and close the listener, in one step of the loop."""
        self.connection.data_received(self.request)
        self.listener.close()


# Guards callers against requests that are read in the moment in which a host
# looks whether any is left.
@pytest.mark.parametrize("path", ["/plain/a", "/once/a", "/nothing/a"])
async def test_request_read_as_the_listener_closes_is_answered(path):
    """The host ends once the caller has its answer."""
    async with gateway_fleet(runners=1, bounds={"stop_grace_s": GRACE_S}) as fleet:
        fleet.runners_of("app")[0].behaviour.processing_time_s = 0.2
        host = fleet.hosts.pop(0)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", fleet.ports["caller"]
        )
        await until(lambda: host._caller_server.connections)
        (connection,) = host._caller_server.connections
        fields = make_headers("late", path) | {"X-Galenascale-Deadline-Ms": "450"}
        lines = [f"GET {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        host._caller_listener = ListenerClosedAfterRequest(
            host._caller_listener,
            connection,
            "\r\n".join([*lines, "", ""]).encode(),
        )
        await host.stop()
        # The process ends here, and with it any connection.
        assert host._caller_server.connections == []
        answer = await reader.read(-1)
        status = b" 404 " if path == "/nothing/a" else b" 200 "
        assert status in answer.splitlines()[0]
        writer.close()
