"""
Callers that read at random moments and paces while a process stops.

Guards callers against answers that a stopping process cuts off (review case
9). The bounds are those of the rule: an answer is whole, or ends later than 1
s after the grace period, or within 0.2 s of its request.
"""

import asyncio
import random
import signal

import attrs
import httptools
import pytest

from test.gateway.host_process import running_host
from test.gateway.slow_callers import connect, run_job, send_request, slow_socket
from test.gateway.test_jobs import TOKENS

GRACE_S = 8.0
LOSS_SLACK_S = 0.2
# Seconds for which the kernel may deliver after the end of the process.
AFTER_GRACE_S = 1.0
CALLER_MEMORY_MB = 32
READERS = 24
RECEIVE_BYTES = 16384
# A job, a page of whose results the kernel does not hold.
ITEMS = 12
EVENTS = 3000
# Seconds from SIGTERM until which the balancer may still send requests.
ASKED_UNTIL_S = 2.7
# Answers that the kernel holds are read as late as this.
BUSY_UNTIL_S = 8.7
# Those that it does not hold are read until then, at a steady pace.
READ_UNTIL_S = 7.0
# Bodies of servers in bytes, by path.
SHORT_BYTES = 30_000
LONG_BYTES = 600_000
# One that the kernel holds only with its largest send buffer.
MEDIUM_BYTES = 150_000


PATHS = ("/lots/job-1?After=0", "/plain/a", "/once/long", "/once/medium", "/chat/a")


@attrs.define
class Reply:
    """What a caller got; the callbacks are those of the parser."""

    caller: object
    size: int = 0
    is_whole: bool = False
    status: int = 0
    # Seconds from SIGTERM, and from the request.
    ended_at: float = 0.0
    elapsed_s: float = 0.0
    parser: object = attrs.field(default=None, repr=False)

    def __attrs_post_init__(self):
        self.parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self):
        self.status = self.parser.get_status_code()

    def on_body(self, body):
        self.size += len(body)

    def on_message_complete(self):
        self.is_whole = True

    @property
    def breaks_rule(self):
        """Return True if the connection ended sooner than it may."""
        return (
            not self.is_whole
            and self.elapsed_s > LOSS_SLACK_S
            and self.ended_at <= GRACE_S + AFTER_GRACE_S
        )


@attrs.frozen
class Caller:
    """How one caller asks and reads; times are in seconds from SIGTERM."""

    path: str
    asked_at: float
    # It reads the first bytes, is busy until then, and reads at its pace.
    busy_until: float
    pause_s: float
    receive_bytes: int

    @classmethod
    def draw(cls, rng):
        """Return a random caller whose answer can be whole in time."""
        path = rng.choice(PATHS)
        asked_at = rng.uniform(0.0, ASKED_UNTIL_S)
        receive_bytes = rng.choice((4096, 16384, 0))
        if path == "/once/long":
            left_s = READ_UNTIL_S - asked_at
            busy_s = rng.uniform(0.0, left_s / 2)
            # It may read as little as half of its buffer at once.
            pause_s = left_s / 4 / (LONG_BYTES / max(receive_bytes / 2, 4096))
            return cls(path, asked_at, asked_at + busy_s, pause_s, receive_bytes)
        busy_until = rng.uniform(asked_at, BUSY_UNTIL_S)
        return cls(path, asked_at, busy_until, rng.uniform(0, 0.01), receive_bytes)

    async def connect(self, fleet):
        """Return a connection that was opened before the stop."""
        sock = slow_socket(self.receive_bytes)
        await connect(fleet, sock)
        return sock

    async def play(self, sock, number, began_at):
        """Ask and read; return the Reply."""
        loop = asyncio.get_running_loop()
        await _sleep_until(began_at + self.asked_at)
        await self._ask(sock, number)
        sent_at = loop.time()
        reply = Reply(self)
        is_first = True
        while not reply.is_whole:
            try:
                data = await loop.sock_recv(sock, RECEIVE_BYTES)
            except OSError:
                break
            if not data:
                break
            reply.parser.feed_data(data)
            if is_first:
                await _sleep_until(began_at + self.busy_until)
                is_first = False
            await asyncio.sleep(self.pause_s)
        sock.close()
        reply.ended_at = loop.time() - began_at
        reply.elapsed_s = loop.time() - sent_at
        return reply

    async def _ask(self, sock, number):
        method = "GET" if self.path.startswith("/lots") else "POST"
        lines = []
        if self.path.startswith("/chat"):
            lines = [f"{name}: {value}" for name, value in TOKENS.items()]
        request_id = f"reader-{number}"
        await send_request(
            sock, self.path, *lines, request_id=request_id, method=method
        )


async def _sleep_until(time_s):
    await asyncio.sleep(max(0.0, time_s - asyncio.get_running_loop().time()))


async def _prepare(fleet):
    """Run a job, and let servers answer as the callers expect."""
    await run_job(fleet, ITEMS, EVENTS)
    for runner in fleet.runners_of("llm"):
        runner.behaviour.events = 20
        runner.behaviour.event_interval_s = 0.02
    _set_bodies(fleet)


def _set_bodies(fleet):
    for runner in fleet.runners_of("app"):
        runner.behaviour.body = b"x" * SHORT_BYTES
        runner.behaviour.body_by_path = {
            b"/once/long": b"x" * LONG_BYTES,
            b"/once/medium": b"x" * MEDIUM_BYTES,
        }


# Guards callers that read late against the end of the process.
@pytest.mark.parametrize("path", ["/plain/a", "/once/medium"])
async def test_kernel_delivers_after_the_process_has_ended(tmp_path, path):
    """The kernel took 47 KB, and the rest ended with the process."""
    grace_s = 4.0
    caller = Caller(path, 1.0, grace_s + AFTER_GRACE_S / 2, 0.0, 4096)
    bounds = {"stop_grace_s": grace_s}
    async with running_host(tmp_path, CALLER_MEMORY_MB, bounds=bounds) as running:
        fleet, host = running
        _set_bodies(fleet)
        sock = await caller.connect(fleet)
        began_at = asyncio.get_running_loop().time()
        host.process.send_signal(signal.SIGTERM)
        play = asyncio.create_task(caller.play(sock, 1, began_at))
        await asyncio.sleep(grace_s)
        assert host.process.poll() == 0
        reply = await play
        assert reply.status == 200
        assert reply.is_whole


@pytest.mark.parametrize("seed", [1, 2])
async def test_readers_get_whole_answers_while_a_process_stops(tmp_path, seed):
    """Pages, plain answers and streams, from SIGTERM on."""
    rng = random.Random(seed)
    bounds = {"stop_grace_s": GRACE_S}
    async with running_host(tmp_path, CALLER_MEMORY_MB, bounds=bounds) as running:
        fleet, host = running
        await _prepare(fleet)
        callers = [Caller.draw(rng) for _ in range(READERS)]
        socks = [await caller.connect(fleet) for caller in callers]
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        host.process.send_signal(signal.SIGTERM)
        plays = zip(callers, socks, range(READERS), strict=True)
        replies = await asyncio.gather(
            *(caller.play(sock, number, began_at) for caller, sock, number in plays)
        )
        assert [reply for reply in replies if reply.breaks_rule] == []
        assert {reply.status for reply in replies} == {200}
        # It ends by itself.
        assert host.process.wait(GRACE_S) == 0
