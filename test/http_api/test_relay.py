"""Tests of the relay of chunks as server-sent events."""

import asyncio

import pytest

from galenascale.errors import BackendError
from galenascale.http_api.relay import _write_all, finish_step
from galenascale.metrics import Metrics
from galenascale.requests import Chunk
from galenascale.sse import DONE_EVENT
from test.http_api.test_limits import AUTH, CHAT
from test.loopback import api


class Sink:
    """Records writes; `error` is raised by each write."""

    def __init__(self, error=None):
        self.writes = []
        self.error = error

    async def write(self, data):
        self.writes.append(data)
        if self.error:
            await asyncio.sleep(0)
            raise self.error


async def groups(sizes, closed=None):
    """Yield numbered chunks in groups that arrive together."""
    number = 0
    try:
        for size in sizes:
            await asyncio.sleep(0)
            for _ in range(size):
                yield Chunk(number, "x", b"%d" % number)
                number += 1
        if closed is not None:
            await asyncio.Event().wait()
    finally:
        if closed is not None:
            await asyncio.sleep(0)
            closed.append(True)


def events(*numbers):
    """Return the bytes of the events of numbered chunks."""
    return b"".join(b"data: %d\n\n" % number for number in numbers)


async def test_chunks_that_arrive_together_are_written_together():
    """Guards the cost of a token: one write for each read, in order."""
    sink = Sink()
    timer = Metrics().start_request("online")
    await _write_all(sink, groups([1, 3, 2]), [], timer)
    assert sink.writes == [events(0), events(1, 2, 3), events(4, 5) + DONE_EVENT]


@pytest.mark.parametrize("error", [ConnectionResetError(), asyncio.CancelledError()])
async def test_failed_write_ends_the_stream_and_its_clean_up(error):
    """Guards against streams that go on after their caller is gone."""
    closed = []
    chunks = groups([2], closed)
    timer = Metrics().start_request("online")
    with pytest.raises(type(error)):
        await _write_all(Sink(error), chunks, [], timer)
    assert closed == [True]
    await chunks.aclose()


async def test_deadline_during_a_slow_write_is_reported_as_timeout():
    """Guards the code of a deadline that passes in a slow write."""

    async def chunks():
        yield Chunk(0, "x", b"0")
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError as error:
            raise BackendError("late", code="timeout") from error

    timer = Metrics().start_request("online")
    with pytest.raises(BackendError, match="late"):
        await _write_all(Sink(asyncio.CancelledError()), chunks(), [], timer)


async def test_cancellation_is_passed_on_to_the_step():
    """Guards a waiting step against surviving the task that awaits it."""
    closed = []
    steps = groups([], closed).__anext__().__await__()
    task = asyncio.create_task(_finish(steps, next(steps)))
    for _ in range(5):
        await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert closed == [True]


async def _finish(steps, pending):
    return await finish_step(steps, pending)


async def test_caller_that_leaves_stops_the_answer():
    """Guards backend servers against work that nobody reads."""
    started, stopped = asyncio.Event(), asyncio.Event()

    class Online:
        async def complete(self, _):
            try:
                started.set()
                await asyncio.Event().wait()
                yield
            finally:
                stopped.set()

    async with api(online=Online()) as (session, url, context):
        post = asyncio.create_task(
            session.post(
                f"{url}/v1/chat/completions",
                json={**CHAT, "stream": True},
                headers=AUTH,
            )
        )
        await started.wait()
        post.cancel()
        await asyncio.wait_for(stopped.wait(), 10)
        for _ in range(20):
            await asyncio.sleep(0)
        assert b'code="caller_gone"} 1.0' in context.metrics.render()
