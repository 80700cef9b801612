"""Small fakes at the interfaces, driven by tests."""

import asyncio

from galenascale.errors import PeerError
from galenascale.shards import Shards
from galenascale.standins.log_store import LogStore
from galenascale.store import (
    OffsetRange,
    ReadResult,
    StoreOutcomeUnknown,
    StoreUnavailable,
)


class FakeLog:
    """A log client over a LogStore, with one fault for each coming append."""

    def __init__(self, store=None):
        self.store = store or LogStore()
        # "ok", "down", "lost_answer", "duplicate" or "late", used up in order.
        self.append_faults = []
        self.read_down = False
        self.late = []
        self.appends = 0

    async def append(self, stream, body):
        """Append with the next fault; the rest is without faults."""
        fault = self.append_faults.pop(0) if self.append_faults else "ok"
        if fault == "down":
            raise StoreUnavailable("down")
        if fault == "late":
            self.late.append((stream, body))
            raise StoreOutcomeUnknown("no answer")
        self.appends += 1
        offset = self.store.append(stream, body)
        if fault == "duplicate":
            self.store.append(stream, body)
        if fault == "lost_answer":
            raise StoreOutcomeUnknown("no answer")
        return offset

    def deliver_late(self):
        """Let the delayed appends take effect."""
        for stream, body in self.late:
            self.store.append(stream, body)
        self.late.clear()

    async def read(self, stream, offset, limit=500):
        """Return records as LogClient.read does."""
        if self.read_down:
            raise StoreUnavailable("down")
        return ReadResult(
            self.store.read(stream, offset, limit), *self.store.bounds(stream)
        )

    async def bounds(self, stream):
        """Return the bounds of a stream."""
        if self.read_down:
            raise StoreUnavailable("down")
        return OffsetRange(*self.store.bounds(stream))


class FakeHost:
    """What the services of a host need, over a shared log and clock."""

    def __init__(self, host_id, log, clock, settings, ownership=None, peers=None):
        self.host_id = host_id
        self.incarnation = f"{host_id}-1"
        self.log_client = log
        self.clock = clock
        self.settings = settings
        self.peers = peers
        self.shards = Shards(log, clock, settings.log, host_id, ownership, peers)


class FakePeers:
    """Calls between hosts in one process; `cut` holds unreachable host ids."""

    def __init__(self):
        self.handlers = {}
        self.cut = set()

    async def call(self, host_id, method, message, reply_type, timeout_s):
        """Call a handler by host id and method name."""
        if host_id in self.cut or (host_id, method) not in self.handlers:
            raise PeerError("cut off", peer=host_id)
        reply = await self.handlers[host_id, method](message)
        assert isinstance(reply, reply_type)
        return reply


async def run_with_clock(clock, coroutine, step_s=0.1, steps=2000):
    """Return the coroutine's result while fake time passes."""
    task = asyncio.create_task(coroutine)
    for _ in range(steps):
        if task.done():
            break
        await clock.advance(step_s)
    assert task.done(), "did not end in the given time"
    return await task
