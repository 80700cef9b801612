"""Servers that send endless bytes which never form a complete response."""

import asyncio
import contextlib
import tracemalloc
from asyncio import selector_events

import aiohttp
import attrs
import pytest

from galenascale.errors import BackendError
from galenascale.gateway.event_stream import MAX_EVENT_BYTES, EventStreamParser
from galenascale.gateway.jobs.relaying_store import call_store
from galenascale.gateway.sockets import RECEIVE_BYTES
from galenascale.generated.gateway_messages import StoreCall, StoreOutcome
from galenascale.platform.store import StoreClient
from galenascale.standins.endless_response import (
    EndlessResponse,
    send_endless_response,
)
from test.gateway.fleet import ROUTES, gateway_fleet, until
from test.gateway.test_jobs import output_of, submit, wait_for_results

# Largest traced memory of the process: one such connection, the other work of
# the host in the test, and the stand-ins, which run in the same process.
MEMORY_BYTES = 900 << 10
# Largest traced memory of a store call: aiohttp keeps interim responses until
# the timeout.
STORE_CALL_MEMORY_BYTES = 16 << 20
CLOSE_TIMEOUT_S = 2.0
# Request timeout in milliseconds while memory is traced, as tracing slows down
# the host and the source.
TRACED_TIMEOUT_MS = 20_000
LONG_DEADLINE_HEADERS = {"X-Galenascale-Deadline-Ms": str(TRACED_TIMEOUT_MS)}

MATCHED_HEAD = b"HTTP/1.1 200 OK\r\nX-Galenascale-Attempt-Id: @ID\r\n"
SIGNED_HEAD = MATCHED_HEAD + b"X-Galenascale-Response-Signature: s\r\n"
CHUNKED_HEAD = SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
EVENT_STREAM_HEAD = SIGNED_HEAD + b"Content-Type: text/event-stream\r\n\r\n"
UNMATCHED_HEAD = b"HTTP/1.1 200 OK\r\nX-Galenascale-Attempt-Id: other\r\n"


@attrs.frozen
class ByteSource:
    """First bytes of a response, and the bytes then repeated endlessly."""

    name: str
    first: bytes
    then: bytes


ENDLESS_HEADS = [
    ByteSource("status line", b"HTTP/1.1 200 ", b"a"),
    ByteSource("white space before the head", b"", b"\r\n"),
    ByteSource("header name", MATCHED_HEAD, b"a"),
    ByteSource("header value", MATCHED_HEAD + b"X-A: ", b"a"),
    ByteSource("header lines", MATCHED_HEAD, b"X-A: b\r\n"),
    ByteSource("interim answers", b"", b"HTTP/1.1 103 Early\r\n\r\n"),
    ByteSource("interim headers", b"HTTP/1.1 100 Continue\r\n", b"X-A: b\r\n"),
    ByteSource("chunk size", CHUNKED_HEAD, b"0"),
    ByteSource("chunk extension", CHUNKED_HEAD + b"1;", b"a"),
    ByteSource("trailer lines", CHUNKED_HEAD + b"0\r\n", b"X-A: b\r\n"),
    ByteSource("trailer value", CHUNKED_HEAD + b"0\r\nX-A: ", b"a"),
    ByteSource("no protocol", b"", b"\0\xff"),
]
UNMATCHED_RESPONSES = [
    ByteSource("body of another answer", UNMATCHED_HEAD + b"\r\n", b"a"),
    ByteSource("other answers", b"", UNMATCHED_HEAD + b"Content-Length: 1\r\n\r\na"),
]
ENDLESS_BODIES = [
    ByteSource("answer without length", SIGNED_HEAD + b"\r\n", b"a"),
    ByteSource("tiny chunks", CHUNKED_HEAD, b"1\r\na\r\n"),
]
ENDLESS_STREAMS = [
    ByteSource("event", EVENT_STREAM_HEAD + b"id: 1\ndata: ", b"a"),
    ByteSource("blank lines", EVENT_STREAM_HEAD, b"\n"),
    ByteSource("comments", EVENT_STREAM_HEAD, b": wait\n\n"),
    ByteSource("tiny chunks of an event", CHUNKED_HEAD, b"1\r\na\r\n"),
]


@pytest.fixture(autouse=True)
def small_receive_calls_of_standins(monkeypatch):
    """
    Limit the receive calls of the stand-ins and of the test's own clients.

    They run in the traced process. The event loop allocates 256 KB for each
    call, however few bytes arrive. The gateway limits its own connections; see
    test_received_bytes_are_limited_on_all_connections().
    """
    monkeypatch.setattr(selector_events._SelectorTransport, "max_size", RECEIVE_BYTES)


def parametrize_sources(sources):
    """Parametrize a test over sources, with their names as ids."""
    return pytest.mark.parametrize("source", sources, ids=lambda source: source.name)


async def add_endless_server(fleet, service, source):
    """Add a server that sends endless responses."""
    runner = await fleet.add_runner(f"{service}-endless", service)
    runner.behaviour.endless = EndlessResponse(source.first, source.then)
    servers = fleet.hosts[0].context.servers
    await until(lambda: len(servers.usable(service, 0.0)) == 2)
    return runner


async def raise_route_timeouts(fleet):
    """Raise the timeouts of all routes, as tracing slows requests down."""
    times = {"TimeoutMs": TRACED_TIMEOUT_MS, "SloMs": TRACED_TIMEOUT_MS}
    fleet.write_config([{**route, **times} for route in ROUTES])
    configuration = fleet.hosts[0].context.configuration
    await until(lambda: configuration.version == fleet.version)


def send_request(fleet, path):
    """Return the coroutine of a request with a long deadline."""
    return fleet.request(path, headers=LONG_DEADLINE_HEADERS, data=b"x")


async def call_with_endless_server(
    fleet, service, source, call, memory_bytes=MEMORY_BYTES
):
    """
    Return the result of a call that reaches an endless server first.

    The call can succeed only on the healthy server, which accepts requests
    once the endless one has received the call. Check that the connection to
    the endless server is closed and that the memory stays small.
    """
    (healthy,) = fleet.runners_of(service)
    await raise_route_timeouts(fleet)
    endless = await add_endless_server(fleet, service, source)
    healthy.behaviour.refuse = True
    tracemalloc.start()
    try:
        task = asyncio.create_task(call())
        await until(lambda: endless.requests)
        healthy.behaviour.refuse = False
        endless.behaviour.refuse = True
        result = await task
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    await until(lambda: endless.endless_responses_aborted, CLOSE_TIMEOUT_S)
    assert peak < memory_bytes
    return result


@parametrize_sources(ENDLESS_HEADS + UNMATCHED_RESPONSES + ENDLESS_BODIES)
async def test_plain_request_is_retried_on_another_server(source):
    """An endless head or body must not reach the caller or fill memory."""
    async with gateway_fleet(runners=1) as fleet:
        reply = await call_with_endless_server(
            fleet, "app", source, lambda: send_request(fleet, "/plain/a")
        )
        assert (reply.status, reply.body) == (200, b"done")


@parametrize_sources(ENDLESS_HEADS + UNMATCHED_RESPONSES + ENDLESS_STREAMS)
async def test_stream_resumes_on_another_server(source):
    """A resumable stream is complete and has no byte of the endless one."""
    async with gateway_fleet(runners=1) as fleet:
        reply = await call_with_endless_server(
            fleet, "llm", source, lambda: send_request(fleet, "/chat/a")
        )
        events = b"".join(b"id: %d\ndata: word%d\n\n" % (n, n) for n in range(1, 6))
        assert (reply.status, reply.complete, reply.body) == (200, True, events)


@parametrize_sources(ENDLESS_HEADS + UNMATCHED_RESPONSES + ENDLESS_STREAMS)
async def test_job_item_is_retried_on_another_server(source):
    """Job items have no caller deadline that would end an endless response."""

    async def run(fleet):
        assert await submit(fleet, "job-1", items=1) == 202
        return await wait_for_results(fleet, "job-1", 1)

    async with gateway_fleet(runners=1) as fleet:
        (result,) = await call_with_endless_server(
            fleet, "llm", source, lambda: run(fleet)
        )
        assert (result["State"], result["Text"]) == ("completed", output_of(5))


@parametrize_sources(ENDLESS_HEADS[:2] + ENDLESS_BODIES)
async def test_non_idempotent_request_reports_that_it_may_have_run(source):
    """The response is 502, not 503: a 503 would state that nothing ran."""
    async with gateway_fleet(runners=1) as fleet:
        reply = await call_with_endless_server(
            fleet, "app", source, lambda: send_request(fleet, "/once/a")
        )
        assert reply.status == 502
        assert b'"may_have_run"' in reply.body


async def test_unrequested_bytes_close_an_idle_connection():
    """Pooled and health check connections have no request in flight."""
    async with gateway_fleet(runners=1) as fleet:
        (runner,) = fleet.runners_of("app")
        closed = []

        async def serve(reader, writer):
            closed.append(await send_endless_response(ENDLESS_HEADS[3], "", writer))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        (entry,) = fleet.hosts[0].context.servers.usable("app", 0.0)
        entry = attrs.evolve(entry, address=f"127.0.0.1:{port}")
        await fleet.hosts[0].context.reachability.check(entry)
        await until(lambda: closed == [True], CLOSE_TIMEOUT_S)
        server.close()


async def test_large_response_with_content_length_is_forwarded():
    """A large response is not held in memory, and still arrives complete."""
    async with gateway_fleet() as fleet:
        body = fleet.rng.randbytes(3 << 20)
        for runner in fleet.runners_of("app"):
            runner.behaviour.body = body
        reply = await fleet.request("/plain/a", data=b"x")
        assert (reply.status, reply.complete, reply.body) == (200, True, body)


async def test_head_request_for_a_large_response_is_forwarded():
    """A HEAD response states a large length but has no body to wait for."""
    async with gateway_fleet() as fleet:
        for runner in fleet.runners_of("app"):
            runner.behaviour.body = bytes(3 << 20)
        reply = await fleet.request("/plain/a", method="HEAD")
        assert (reply.status, reply.complete, reply.body) == (200, True, b"")


async def test_truncated_large_response_does_not_look_complete():
    """A retry would join the start of one response to the end of another."""
    source = ByteSource(
        "half", SIGNED_HEAD + b"Content-Length: 1000000000\r\n\r\n", b"a"
    )
    async with gateway_fleet(runners=1) as fleet:
        endless = await add_endless_server(fleet, "app", source)
        fleet.runners_of("app")[0].behaviour.refuse = True
        task = asyncio.create_task(fleet.request("/plain/a", data=b"x"))
        await until(lambda: endless.requests)
        fleet.runners_of("app")[0].behaviour.refuse = False
        reply = await task
        assert (reply.status, reply.complete) == (200, False)
        assert not fleet.runners_of("app")[0].requests


@contextlib.asynccontextmanager
async def endless_store(source):
    """
    Yield (client, results) of a store that responds with a source.

    `results` has one entry per ended response: True if the client closed it.
    """
    closed = []

    async def serve(reader, writer):
        await reader.read(65536)
        closed.append(await send_endless_response(source, "", writer))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with aiohttp.ClientSession() as session:
        yield StoreClient(f"http://127.0.0.1:{port}", session, timeout_s=1.0), closed
    server.close()


READ = StoreCall(topic="jobs")
APPEND = StoreCall(topic="jobs", records=[b"x"])


@parametrize_sources(ENDLESS_HEADS + ENDLESS_BODIES)
async def test_store_calls_time_out(source):
    """A store that sends endless bytes must not block its callers."""
    async with endless_store(source) as (store, closed):
        async with asyncio.timeout(2 * CLOSE_TIMEOUT_S):
            reading = await call_store(store, READ)
            appending = await call_store(store, APPEND)
        assert reading.outcome == StoreOutcome.NOT_DONE
        assert appending.outcome == StoreOutcome.UNKNOWN
        await until(lambda: len(closed) >= 2, CLOSE_TIMEOUT_S)


@parametrize_sources(ENDLESS_HEADS + ENDLESS_BODIES)
async def test_store_calls_use_bounded_memory(source):
    """A store that sends endless bytes must not exhaust the host's memory."""
    async with endless_store(source) as (store, _):
        tracemalloc.start()
        try:
            await call_store(store, READ)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert peak < STORE_CALL_MEMORY_BYTES


@pytest.mark.parametrize("piece", [1, 7, 4096])
@parametrize_sources(ENDLESS_STREAMS[:3])
def test_event_stream_parser_is_bounded_and_linear(source, piece):
    """Searching all pending bytes on each read would block the event loop."""
    parser = EventStreamParser()
    data = (source.then * MAX_EVENT_BYTES)[: MAX_EVENT_BYTES // 8]
    for start in range(0, len(data), piece):
        assert parser.feed(data[start : start + piece]) == []
    with pytest.raises(BackendError):
        parser.feed(b"x" * MAX_EVENT_BYTES)


def test_comments_stay_with_the_event_after_them():
    """Comments are forwarded byte for byte, together with whole events."""
    parser = EventStreamParser()
    assert parser.feed(b": one\n\n") == []
    assert not parser.is_inside_event
    (event,) = parser.feed(b": two\r\n\r\nid: 1\ndata: a\n\n: three\n\n")
    assert event.raw == b": one\n\n: two\r\n\r\nid: 1\ndata: a\n\n"
    assert (event.event_id, event.data) == (1, b"a")
    assert parser.pending == b": three\n\n"
    parser.feed(b"id: 2")
    assert parser.is_inside_event
