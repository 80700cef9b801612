"""Servers that send bytes without end which never become an answer."""

import asyncio
import contextlib
import tracemalloc

import aiohttp
import attrs
import pytest

from galenascale.errors import BackendError
from galenascale.gateway.event_stream import MAX_EVENT_BYTES, EventStreamParser
from galenascale.gateway.jobs.relaying_store import call_store
from galenascale.generated.gateway_messages import StoreCall, StoreOutcome
from galenascale.platform.store import StoreClient
from galenascale.standins.runner import EndlessResponse, send_endless_response
from test.gateway.fleet import ROUTES, gateway_fleet, until
from test.gateway.test_jobs import submit, wait_for_results, words

# Memory that a host may need for one such connection, for its other work in
# the test, and for the stand-ins, which share its process.
MEMORY_BYTES = 900 << 10
# The library that calls the store keeps interim answers until the timeout.
LIBRARY_MEMORY_BYTES = 16 << 20
CLOSED_IN_S = 2.0
# Time of a request in milliseconds while its memory is traced, which slows the
# host and the source down.
TRACED_MS = 20_000
PATIENT = {"X-Galenascale-Deadline-Ms": str(TRACED_MS)}

OK = b"HTTP/1.1 200 OK\r\nX-Galenascale-Attempt-Id: @ID\r\n"
SIGNED = OK + b"X-Galenascale-Response-Signature: s\r\n"
CHUNKED = SIGNED + b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = SIGNED + b"Content-Type: text/event-stream\r\n\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nX-Galenascale-Attempt-Id: other\r\n"


@attrs.frozen
class Source:
    """First bytes of an answer, and those that follow without end."""

    name: str
    first: bytes
    then: bytes


HEADS = [
    Source("status line", b"HTTP/1.1 200 ", b"a"),
    Source("white space before the head", b"", b"\r\n"),
    Source("header name", OK, b"a"),
    Source("header value", OK + b"X-A: ", b"a"),
    Source("header lines", OK, b"X-A: b\r\n"),
    Source("interim answers", b"", b"HTTP/1.1 103 Early\r\n\r\n"),
    Source("interim headers", b"HTTP/1.1 100 Continue\r\n", b"X-A: b\r\n"),
    Source("chunk size", CHUNKED, b"0"),
    Source("chunk extension", CHUNKED + b"1;", b"a"),
    Source("trailer lines", CHUNKED + b"0\r\n", b"X-A: b\r\n"),
    Source("trailer value", CHUNKED + b"0\r\nX-A: ", b"a"),
    Source("no protocol", b"", b"\0\xff"),
]
SKIPPED = [
    Source("body of another answer", OTHER + b"\r\n", b"a"),
    Source("other answers", b"", OTHER + b"Content-Length: 1\r\n\r\na"),
]
BODIES = [
    Source("answer without length", SIGNED + b"\r\n", b"a"),
    Source("tiny chunks", CHUNKED, b"1\r\na\r\n"),
]
STREAMS = [
    Source("event", EVENTS + b"id: 1\ndata: ", b"a"),
    Source("blank lines", EVENTS, b"\n"),
    Source("comments", EVENTS, b": wait\n\n"),
    Source("tiny chunks of an event", CHUNKED, b"1\r\na\r\n"),
]


def by_name(sources):
    """Return the parameters of a test over sources."""
    return pytest.mark.parametrize("source", sources, ids=lambda source: source.name)


async def add_endless(fleet, service, source):
    """Add a server with endless answers."""
    runner = await fleet.add_runner(f"{service}-endless", service)
    runner.behaviour.endless = EndlessResponse(source.first, source.then)
    servers = fleet.hosts[0].parts.servers
    await until(lambda: len(servers.usable(service, 0.0)) == 2)
    return runner


async def allow_time(fleet):
    """Let requests take long, as they are traced."""
    times = {"TimeoutMs": TRACED_MS, "SloMs": TRACED_MS}
    fleet.write_config([{**route, **times} for route in ROUTES])
    configuration = fleet.hosts[0].parts.configuration
    await until(lambda: configuration.version == fleet.version)


def ask(fleet, path):
    """Return the coroutine of a request with much time."""
    return fleet.request(path, headers=PATIENT, data=b"x")


async def serve_beside(fleet, service, source, call):
    """Return what a call returns that an endless server gets first."""
    (sound,) = fleet.runners_of(service)
    await allow_time(fleet)
    endless = await add_endless(fleet, service, source)
    sound.behaviour.refuse = True
    tracemalloc.start()
    try:
        task = asyncio.create_task(call())
        await until(lambda: endless.requests)
        sound.behaviour.refuse = False
        endless.behaviour.refuse = True
        result = await task
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    await until(lambda: endless.endless_responses_aborted, CLOSED_IN_S)
    assert peak < MEMORY_BYTES
    return result


@by_name(HEADS + SKIPPED + BODIES)
async def test_plain_request_goes_on_elsewhere(source):
    """Guards callers and the host's memory against heads and bodies."""
    async with gateway_fleet(runners=1) as fleet:
        reply = await serve_beside(fleet, "app", source, lambda: ask(fleet, "/plain/a"))
        assert (reply.status, reply.body) == (200, b"done")


@by_name(HEADS + SKIPPED + STREAMS)
async def test_stream_goes_on_elsewhere(source):
    """Guards a resumable stream; no byte of the source reaches the caller."""
    async with gateway_fleet(runners=1) as fleet:
        reply = await serve_beside(fleet, "llm", source, lambda: ask(fleet, "/chat/a"))
        events = b"".join(b"id: %d\ndata: word%d\n\n" % (n, n) for n in range(1, 6))
        assert (reply.status, reply.complete, reply.body) == (200, True, events)


@by_name(HEADS + SKIPPED + STREAMS)
async def test_item_goes_on_elsewhere(source):
    """Guards items of jobs, whose runs have no deadline of a caller."""

    async def run(fleet):
        assert await submit(fleet, "job-1", items=1) == 202
        return await wait_for_results(fleet, "job-1", 1)

    async with gateway_fleet(runners=1) as fleet:
        (result,) = await serve_beside(fleet, "llm", source, lambda: run(fleet))
        assert (result["State"], result["Text"]) == ("completed", words(5))


@by_name(HEADS[:2] + BODIES)
async def test_request_that_must_not_run_twice_ends_truthfully(source):
    """Guards against 503 for a request whose answer has no end."""
    async with gateway_fleet(runners=1) as fleet:
        reply = await serve_beside(fleet, "app", source, lambda: ask(fleet, "/once/a"))
        assert reply.status == 502
        assert b'"may_have_run"' in reply.body


async def test_bytes_on_an_idle_connection_end_it():
    """Guards kept connections and those of checks, where nothing is asked."""
    async with gateway_fleet(runners=1) as fleet:
        (runner,) = fleet.runners_of("app")
        closed = []

        async def serve(reader, writer):
            closed.append(await send_endless_response(HEADS[3], "", writer))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        (entry,) = fleet.hosts[0].parts.servers.usable("app", 0.0)
        entry = attrs.evolve(entry, address=f"127.0.0.1:{port}")
        await fleet.hosts[0].parts.reachability.check(entry)
        await until(lambda: closed == [True], CLOSED_IN_S)
        server.close()


async def test_long_answer_with_a_length_is_passed_on():
    """Guards large answers, which are not held whole, in full and broken."""
    async with gateway_fleet() as fleet:
        body = fleet.rng.randbytes(3 << 20)
        for runner in fleet.runners_of("app"):
            runner.behaviour.body = body
        reply = await fleet.request("/plain/a", data=b"x")
        assert (reply.status, reply.complete, reply.body) == (200, True, body)


async def test_head_of_a_long_answer_is_passed_on():
    """Guards questions for the length of an answer, which has no body."""
    async with gateway_fleet() as fleet:
        for runner in fleet.runners_of("app"):
            runner.behaviour.body = bytes(3 << 20)
        reply = await fleet.request("/plain/a", method="HEAD")
        assert (reply.status, reply.complete, reply.body) == (200, True, b"")


async def test_long_answer_that_breaks_off_does_not_look_complete():
    """Guards callers against two halves of two answers."""
    source = Source("half", SIGNED + b"Content-Length: 1000000000\r\n\r\n", b"a")
    async with gateway_fleet(runners=1) as fleet:
        endless = await add_endless(fleet, "app", source)
        fleet.runners_of("app")[0].behaviour.refuse = True
        task = asyncio.create_task(fleet.request("/plain/a", data=b"x"))
        await until(lambda: endless.requests)
        fleet.runners_of("app")[0].behaviour.refuse = False
        reply = await task
        assert (reply.status, reply.complete) == (200, False)
        assert not fleet.runners_of("app")[0].requests


@contextlib.asynccontextmanager
async def endless_store(source):
    """Yield a client of a store that answers with a source, and its ends."""
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


@by_name(HEADS + BODIES)
async def test_calls_of_the_store_end_in_time(source):
    """Guards the host against a store that answers without end."""
    async with endless_store(source) as (store, closed):
        async with asyncio.timeout(2 * CLOSED_IN_S):
            reading = await call_store(store, READ)
            appending = await call_store(store, APPEND)
        assert reading.outcome == StoreOutcome.NOT_DONE
        assert appending.outcome == StoreOutcome.UNKNOWN
        await until(lambda: len(closed) >= 2, CLOSED_IN_S)


@by_name(HEADS + BODIES)
async def test_calls_of_the_store_need_little_memory(source):
    """Guards the memory of the host against answers without end."""
    async with endless_store(source) as (store, _):
        tracemalloc.start()
        try:
            await call_store(store, READ)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert peak < LIBRARY_MEMORY_BYTES


@pytest.mark.parametrize("piece", [1, 7, 4096])
@by_name(STREAMS[:3])
def test_splitter_is_bounded_and_linear(source, piece):
    """Guards the loop against bytes that are searched again and again."""
    splitter = EventStreamParser()
    data = (source.then * MAX_EVENT_BYTES)[: MAX_EVENT_BYTES // 8]
    for start in range(0, len(data), piece):
        assert splitter.feed(data[start : start + piece]) == []
    with pytest.raises(BackendError):
        splitter.feed(b"x" * MAX_EVENT_BYTES)


def test_comments_go_with_the_event_after_them():
    """Guards streams with comments: all bytes pass, with whole events."""
    splitter = EventStreamParser()
    assert splitter.feed(b": one\n\n") == []
    assert not splitter.is_inside_event
    (event,) = splitter.feed(b": two\r\n\r\nid: 1\ndata: a\n\n: three\n\n")
    assert event.raw == b": one\n\n: two\r\n\r\nid: 1\ndata: a\n\n"
    assert (event.event_id, event.data) == (1, b"a")
    assert splitter.pending == b": three\n\n"
    splitter.feed(b"id: 2")
    assert splitter.is_inside_event
