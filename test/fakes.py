"""Small fakes at the interfaces, driven by tests."""

from galenascale.errors import AppendUnknown, LogUnavailable
from galenascale.log_client import Bounds, ReadResult
from galenascale.standins.log_store import LogStore


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
            raise LogUnavailable("down")
        if fault == "late":
            self.late.append((stream, body))
            raise AppendUnknown("no answer")
        self.appends += 1
        offset = self.store.append(stream, body)
        if fault == "duplicate":
            self.store.append(stream, body)
        if fault == "lost_answer":
            raise AppendUnknown("no answer")
        return offset

    def deliver_late(self):
        """Let the delayed appends take effect."""
        for stream, body in self.late:
            self.store.append(stream, body)
        self.late.clear()

    async def read(self, stream, offset, limit=500):
        """Return records as LogClient.read does."""
        if self.read_down:
            raise LogUnavailable("down")
        return ReadResult(
            self.store.read(stream, offset, limit), *self.store.bounds(stream)
        )

    async def bounds(self, stream):
        """Return the bounds of a stream."""
        if self.read_down:
            raise LogUnavailable("down")
        return Bounds(*self.store.bounds(stream))
