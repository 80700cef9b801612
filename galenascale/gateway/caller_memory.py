"""
Memory that a host lends to the bodies of its callers' requests.

A crowd of callers that stop short of the end of their bodies must neither end
the process nor keep other callers out. All bodies share one budget. When it
is used up, the body that makes the least progress gives way.
"""

import contextlib

import attrs

MEGABYTE = 1 << 20
# Part of the host's memory for bodies, its bounds, and the budget of a host
# whose memory is unknown, in bytes. The rest is for the program itself.
MEMORY_PART = 1 / 10
MIN_BUDGET_BYTES = 8 * MEGABYTE
MAX_BUDGET_BYTES = 32 * MEGABYTE
DEFAULT_BUDGET_BYTES = 16 * MEGABYTE
# Bodies of the largest size that always fit.
MIN_BODIES = 2
# Seconds without a byte after which a body counts as stalled.
STALL_S = 1.0
# Age in seconds of the youngest body in the comparison of rates.
MIN_AGE_S = 0.1


@attrs.define(eq=False)
class HeldBody:
    """The body of a request, from its first byte to the answer."""

    started_at: float
    # Monotonic time in seconds of the last byte.
    last_at: float
    # Called when the body has to give way; None once it is whole.
    on_evict: object
    held_bytes: int = 0
    evicted: bool = False

    def progress(self, now):
        """
        Return the sort key by progress; the lowest gives way first.

        Stalled bodies come before the others, the longest silent one first,
        then the one with the lowest rate.
        """
        silent_s = now - self.last_at
        if silent_s >= STALL_S:
            return (0, -silent_s)
        return (1, self.held_bytes / max(MIN_AGE_S, now - self.started_at))


class CallerMemory:
    """The budget of a host for the bodies of its callers, in bytes."""

    def __init__(self, budget_bytes):
        self._budget_bytes = budget_bytes
        self._bodies = set()
        self.held_bytes = 0

    @classmethod
    def from_config(cls, settings):
        """Return the budget by the settings of a host."""
        if settings.caller_memory_mb:
            return cls(settings.caller_memory_mb * MEGABYTE)
        if not settings.host_memory_mb:
            return cls(DEFAULT_BUDGET_BYTES)
        part = int(settings.host_memory_mb * MEGABYTE * MEMORY_PART)
        return cls(min(max(part, MIN_BUDGET_BYTES), MAX_BUDGET_BYTES))

    @contextlib.contextmanager
    def hold(self, on_evict, now):
        """Yield a HeldBody whose bytes are given back at the end."""
        body = HeldBody(now, now, on_evict)
        self._bodies.add(body)
        try:
            yield body
        finally:
            self._bodies.discard(body)
            self._release(body)

    def _release(self, body):
        self.held_bytes -= body.held_bytes
        body.held_bytes = 0

    def add(self, body, count, limit_bytes, now):
        """
        Add bytes that arrived; return False if the body has to give way.

        `limit_bytes` is the largest size of one body. Others that make less
        progress are evicted as long as the budget is exceeded.
        """
        if body.evicted:
            return False
        body.held_bytes += count
        body.last_at = now
        self.held_bytes += count
        budget_bytes = max(self._budget_bytes, MIN_BODIES * limit_bytes)
        while self.held_bytes > budget_bytes:
            slowest = self._slowest(body, now)
            self._evict(slowest)
            if slowest is body:
                return False
        return True

    def _slowest(self, newcomer, now):
        """Return the unfinished body with the least progress."""
        unfinished = [
            body for body in self._bodies if body.on_evict and body.held_bytes
        ]
        return min(unfinished, key=lambda body: body.progress(now), default=newcomer)

    def _evict(self, body):
        body.evicted = True
        self._release(body)
        if body.on_evict is not None:
            body.on_evict()
