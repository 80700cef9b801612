"""Online requests through a complete host, with faulty backend servers."""

import asyncio

import attrs
import pytest

from test.gateway.fleet import gateway_fleet, make_headers, until


async def test_request_is_forwarded_unchanged():
    """Guards method, target and body against normalisation."""
    async with gateway_fleet() as fleet:
        body = bytes(range(256))
        path = "/plain/a%2Fb//c?x=%20&y=1;2"
        reply = await fleet.request(path, method="PUT", data=body)
        assert (reply.status, reply.body) == (200, b"done")
        assert reply.headers["X-Galenascale-Response-Signature"] == "signed"
        (request,) = [r for runner in fleet.runners_of("app") for r in runner.requests]
        assert request.method == "PUT"
        assert request.target == path.encode()
        assert request.body == body
        assert request.request_id == "r1"
        assert 2000 < int(request.header("X-Galenascale-Deadline-Ms")) <= 3000


@attrs.frozen
class Case:
    """Faults of all runners, and the expected status and number of runs."""

    path: str
    faults: dict
    status: int
    runs: int


@pytest.mark.parametrize(
    "case",
    [
        # Refused by all servers: the request certainly did not run.
        Case("/plain/a", {"refuse": True}, 503, 0),
        Case("/once/a", {"refuse": True}, 503, 0),
        # Sent, but the response was lost: it may have run, so no 503.
        Case("/once/a", {"close_without_response": True}, 502, 1),
        Case("/once/a", {"reset": True}, 502, 1),
        Case("/talk/a", {"close_without_response": True}, 502, 1),
        # Repeatable requests are retried up to the route's attempt limit.
        Case("/plain/a", {"close_without_response": True}, 502, 2),
        Case("/chat/a", {"reset": True}, 502, 2),
        # Error responses of servers are forwarded with their status.
        Case("/once/a", {"status": 500}, 500, 1),
        Case("/plain/a", {"status": 500}, 500, 2),
        Case("/plain/a", {"status": 422}, 422, 1),
    ],
    ids=lambda case: f"{case.path}-{next(iter(case.faults))}-{case.status}",
)
async def test_status_tells_whether_a_failed_request_ran(case):
    """Guards against 503 for requests that may have run, and extra runs."""
    async with gateway_fleet() as fleet:
        for runner in fleet.runners:
            runner.behaviour = attrs.evolve(runner.behaviour, **case.faults)
        reply = await fleet.request(case.path, data=b"x")
        assert reply.status == case.status
        assert sum(len(runner.requests) for runner in fleet.runners) == case.runs


async def test_unknown_route_is_404_and_unknown_configuration_503():
    """Guards against 404 (a denied request) without a configuration."""
    async with gateway_fleet() as fleet:
        assert (await fleet.request("/nowhere/a")).status == 404
        fleet.hosts[0].context.configuration.current = None
        reply = await fleet.request("/plain/a")
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0


async def test_broken_stream_resumes_at_another_server():
    """Guards against lost or partial events if a server dies within one."""
    async with gateway_fleet() as fleet:
        for runner in fleet.runners_of("llm"):
            runner.behaviour.events = 6
        first, second = fleet.runners_of("llm")
        fleet.unregister(second)
        await until(
            lambda: len(fleet.hosts[0].context.servers.usable("llm", 1e12)) == 1
        )
        first.behaviour.disconnect_after_events = 3
        fleet.register(second)
        await until(
            lambda: len(fleet.hosts[0].context.servers.usable("llm", 1e12)) == 2
        )
        second.behaviour.refuse = True
        task = asyncio.create_task(fleet.request("/chat/a", data=b"x"))
        await until(lambda: first.requests)
        second.behaviour.refuse = False
        reply = await task
        words = b"".join(b"id: %d\ndata: word%d\n\n" % (n, n) for n in range(1, 7))
        assert (reply.complete, reply.body) == (True, words)
        assert second.requests[0].header("Last-Event-Id") == "3"


async def test_stream_that_must_not_run_twice_ends_incomplete():
    """Guards against an interrupted stream that looks complete."""
    async with gateway_fleet() as fleet:
        for runner in fleet.runners_of("llm"):
            runner.behaviour.disconnect_after_events = 2
        reply = await fleet.request("/talk/a", data=b"x")
        assert not reply.complete
        assert sum(len(runner.requests) for runner in fleet.runners_of("llm")) == 1


async def test_second_answer_is_given_to_nobody():
    """Guards the next request on a connection against a late response."""
    async with gateway_fleet(runners=1) as fleet:
        (runner,) = fleet.runners_of("app")
        late = (
            b"HTTP/1.1 200 OK\r\nX-Galenascale-Attempt-Id: r1\r\n"
            b"X-Galenascale-Response-Signature: old\r\nContent-Length: 3\r\n\r\nold"
        )
        runner.behaviour.trailing_bytes = late
        for number in range(1, 5):
            runner.behaviour.body = b"new%d" % number
            reply = await fleet.request("/plain/a", request_id=f"r{number}", data=b"x")
            assert reply.body == b"new%d" % number
            assert reply.headers["X-Galenascale-Attempt-Id"] == f"r{number}"


async def test_response_without_length_ends_with_its_connection():
    """Guards responses that are delimited by the end of the connection."""
    async with gateway_fleet(runners=1) as fleet:
        (runner,) = fleet.runners_of("app")
        runner.behaviour.omit_content_length = True
        reply = await fleet.request("/plain/a", data=b"x")
        assert (reply.status, reply.body) == (200, b"done")


async def test_server_stops_when_the_caller_leaves():
    """Guards servers against work for callers that disconnected."""
    async with gateway_fleet(runners=1) as fleet:
        (runner,) = fleet.runners_of("app")
        runner.behaviour.hang = True
        task = asyncio.create_task(fleet.request("/plain/a", data=b"x"))
        await until(lambda: runner.requests)
        task.cancel()
        await until(lambda: runner.early_disconnects == 1, 1.0)


async def test_late_request_on_a_kept_connection_is_not_left_open():
    """
    Guards against requests that are read during a stop and never answered.

    Found in the trouble-2 load of a site, 3.2 s after SIGTERM.
    """
    async with gateway_fleet(runners=1) as fleet:
        host = fleet.hosts[0]
        address, port = fleet.settings(1).caller_listen.split(":")
        reader, writer = await asyncio.open_connection(address, int(port))
        stop = asyncio.create_task(host.stop())
        await until(lambda: not host._caller_listener.is_serving())
        headers = make_headers("late", "/plain/a")
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"GET /plain/a HTTP/1.1\r\n{lines}\r\n".encode())
        async with asyncio.timeout(0.2):
            with pytest.raises((ConnectionError, EOFError)):
                while True:
                    if not await reader.read(1):
                        raise EOFError
        await stop


async def test_ambiguous_framing_is_rejected_and_closed():
    """Guards servers against request smuggling."""
    async with gateway_fleet(runners=1) as fleet:
        address, port = fleet.settings(1).caller_listen.split(":")
        reader, writer = await asyncio.open_connection(address, int(port))
        writer.write(
            b"POST /plain/a HTTP/1.1\r\nHost: front.example\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /plain/b HTTP/1.1\r\n\r\n"
        )
        answer = await reader.read()
        assert b" 400 " in answer.partition(b"\r\n")[0]
        assert not fleet.runners_of("app")[0].requests


# Guards operators against requests that end with 500 and no log line.
async def test_unexpected_error_of_a_request_is_logged():
    """The request gets no promise that it did not run, and others go on."""
    async with gateway_fleet() as fleet:
        host = fleet.hosts[0]
        lines = []
        write = host.context.log.write

        def keep(event, level="info", **fields):
            lines.append((event, fields))
            write(event, level, **fields)

        host.context.log.write = keep
        servers = host.context.servers
        usable = servers.usable
        servers.usable = lambda *_: 1 / 0
        reply = await fleet.request("/plain/a", request_id="r1")
        servers.usable = usable
        assert reply.status == 500
        (fields,) = [fields for event, fields in lines if event == "request"]
        assert fields["request"] == "r1"
        assert fields["outcome"] == "request_fault"
        assert "ZeroDivisionError" in fields["reason"]
        assert (await fleet.request("/plain/a", request_id="r2")).status == 200
