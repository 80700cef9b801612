"""Fakes for tests of the online path."""

import asyncio
import random
from collections import Counter

from galenascale.clock import FakeClock
from galenascale.configuration import Configuration
from galenascale.errors import BackendError, Execution, GalenascaleError
from galenascale.generated import messages
from galenascale.online import OnlineService
from galenascale.requests import Chunk, OnlineRequest

TOKENS = 4
NOT_RUN = ("connect_failed", "overloaded", "leaving")


def failure(code):
    execution = Execution.NOT_RUN if code in NOT_RUN else Execution.FAILED
    return BackendError(code, code=code, execution=execution)


class FakeEngine:
    """
    Engines whose attempts follow scripts, then serve the answer.

    A script is (tokens repeated, tokens served, how it ends). A body with
    "poison" crashes its server, which breaks all streams there.
    """

    def __init__(self, scripts=(), hold_at=None):
        self.scripts = list(scripts)
        self.hold_at = hold_at
        self.go_on = asyncio.Event()
        self.running = {}  # attempt id -> server id
        self.crash_events = {}
        self.attempts = Counter()
        self.crashes, self.cancelled, self.ran, self.starts = [], [], [], []

    async def stream(self, server, request, attempt, resume_tokens, resume_text):
        assert resume_text == "".join(text(request, i) for i in range(resume_tokens))
        attempt_id = f"{request.request_id}/{attempt}"
        repeat, count, end = self.scripts.pop(0) if self.scripts else (0, TOKENS, "")
        self.attempts[request.request_id] += end != "leaving"
        if end in NOT_RUN:
            raise failure(end)
        self.ran.append(request.request_id)
        self.starts.append((attempt_id, server.name, set(self.running.values())))
        self.running[attempt_id] = server.name
        crash = self.crash_events.setdefault(server.name, asyncio.Event())
        try:
            if request.body.get("poison"):
                await asyncio.sleep(0)
                if crash.is_set():  # another copy crashed it just before
                    raise failure("stream_broken")
                self.crashes.append(server.name)
                self.crash_events.pop(server.name, None)
                crash.set()
            first = max(0, resume_tokens - repeat) + (end == "gap")
            for index in range(first, min(TOKENS, resume_tokens + count)):
                if index == self.hold_at:
                    await wait_any(crash, self.go_on)
                if crash.is_set():
                    raise failure("stream_broken")
                last = index == TOKENS - 1
                yield Chunk(index, text(request, index), b"", "stop" if last else None)
                await asyncio.sleep(0)
            if end == "hang":
                await asyncio.Event().wait()
            elif end not in ("", "gap", "ends_early"):
                raise failure(end)
        finally:
            self.running.pop(attempt_id, None)

    async def cancel(self, server, attempt_id):
        self.cancelled.append(attempt_id)


async def wait_any(*events):
    tasks = [asyncio.ensure_future(event.wait()) for event in events]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()


def text(request, index):
    return f"{request.body['prompt']}{index} "


class Deployment:
    """An OnlineService with fake engines and a fake clock."""

    def __init__(self, engine, servers=3, slots=2, **service):
        self.clock, self.engine = FakeClock(), engine
        self.given_way, self.shared = [], []
        config = Configuration(
            1,
            {"svc": messages.ServiceDeclaration(name="svc", **service)},
            {"m": messages.ModelDeclaration(name="m", service_name="svc")},
            {},
            {
                f"s{i}": messages.BackendServerDeclaration(
                    name=f"s{i}", service_name="svc", failure_domain="d", slots=slots
                )
                for i in range(servers)
            },
        )

        async def give_way(server_id, count):
            self.given_way.append((server_id, count))

        async def share(verdict):
            self.shared.append(verdict)

        self.service = OnlineService(
            lambda: config,
            engine,
            self.clock,
            random.Random(1),
            "d",
            give_way,
            share,
        )

    def request(self, request_id, deadline_s=60.0, **body):
        body = {"prompt": request_id} | body
        return OnlineRequest(
            request_id, "t", "/v1/completions", "m", body, 1000.0 + deadline_s
        )

    async def call(self, request):
        """Return (chunks, error or None)."""
        chunks = []
        try:
            async for chunk in self.service.complete(request):
                chunks.append(chunk)
        except GalenascaleError as error:
            return chunks, error
        return chunks, None

    async def run(self, *tasks, seconds=100.0):
        """Advance the clock until the tasks are done; return their results."""
        tasks = [asyncio.ensure_future(task) for task in tasks]
        end = self.clock.now_s + seconds
        while not all(task.done() for task in tasks):
            assert self.clock.now_s < end, "requests without an answer"
            await self.clock.advance(0.02)
        return [task.result() for task in tasks]

    async def close(self):
        """Check that nothing is left behind, and close."""
        await self.clock.advance(0.1)
        for load in self.service.loads():
            assert (load.online_in_flight, load.reserved) == (0, False)
        dispatcher = self.service.dispatcher("svc")
        assert dispatcher.admission.running("t") == dispatcher.admission.waiting() == 0
        assert not dispatcher.watchers and not dispatcher.poison._in_flight
        assert not self.engine.running
        await self.service.close()
