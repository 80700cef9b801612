"""
Memory that a host lends to its callers.

A crowd of callers must neither end the process nor keep other callers out.
All that callers make a host hold shares one budget: parts of heads, requests
that are under way, and answers that they do not read. When it is used up, the
connection that makes the least progress gives way.
"""

import attrs

MEGABYTE = 1 << 20
# Part of the host's memory for callers, its bounds, and the budget of a host
# whose memory is unknown, in bytes. The rest is for the program itself.
MEMORY_PART = 1 / 10
MIN_BUDGET_BYTES = 8 * MEGABYTE
MAX_BUDGET_BYTES = 32 * MEGABYTE
DEFAULT_BUDGET_BYTES = 16 * MEGABYTE
# Bodies of the largest size that always fit.
MIN_BODIES = 2
# Seconds without a byte after which a connection counts as stalled.
STALL_S = 1.0
# Age in seconds of the youngest request in the comparison of rates.
MIN_AGE_S = 0.1


@attrs.define(eq=False)
class HeldMemory:
    """What one connection makes the host hold."""

    # Monotonic time in seconds at which its present step began: a head, a
    # body or an answer.
    started_at: float
    # Monotonic time in seconds of the last byte in this step.
    last_at: float
    # Called when the connection has to give way; None while its request is
    # whole and has no answer.
    on_evict: object
    held_bytes: int = 0
    # Bytes that the caller has sent or taken in this step.
    moved_bytes: int = 0
    evicted: bool = False

    def begin_step(self, on_evict, now):
        """Begin to measure the progress of the next step."""
        self.started_at = self.last_at = now
        self.moved_bytes = 0
        self.on_evict = on_evict

    def record_progress(self, count, now):
        """Record that the caller has sent or taken bytes."""
        self.moved_bytes += count
        self.last_at = now

    def progress(self, now):
        """
        Return the sort key by progress; the lowest gives way first.

        Stalled connections come before the others, the longest silent one
        first, then the one with the lowest rate, of several the oldest one.
        """
        silent_s = now - self.last_at
        if silent_s >= STALL_S:
            return (0, -silent_s, self.started_at)
        rate = self.moved_bytes / max(MIN_AGE_S, now - self.started_at)
        return (1, rate, self.started_at)


class CallerMemory:
    """The budget of a host for its callers, in bytes."""

    def __init__(self, budget_bytes):
        self._budget_bytes = budget_bytes
        # Those that hold any bytes.
        self._holders = set()
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

    def add(self, held, count, limit_bytes, now):
        """
        Add bytes that arrived; return False if there is no room for them.

        `limit_bytes` is the largest size of one body. Those that make the
        least progress are evicted as long as the budget is exceeded, which may
        be `held` itself.
        """
        held.record_progress(count, now)
        return self.add_unmoved(held, count, limit_bytes, now)

    def add_unmoved(self, held, count, limit_bytes, now):
        """Add bytes that the caller did not send; otherwise the same."""
        if held.evicted:
            return False
        self._holders.add(held)
        held.held_bytes += count
        self.held_bytes += count
        budget_bytes = max(self._budget_bytes, MIN_BODIES * limit_bytes)
        while self.held_bytes > budget_bytes:
            slowest = self._slowest(now)
            if slowest is None:
                self.release(held, count)
                return False
            self._evict(slowest)
            if slowest is held:
                return False
        return True

    def release(self, held, count=None):
        """Give bytes back, all if `count` is None."""
        count = held.held_bytes if count is None else min(count, held.held_bytes)
        held.held_bytes -= count
        self.held_bytes -= count
        if not held.held_bytes:
            self._holders.discard(held)

    def _slowest(self, now):
        """Return the holder with the least progress that may give way."""
        return min(
            (held for held in self._holders if held.on_evict),
            key=lambda held: held.progress(now),
            default=None,
        )

    def _evict(self, held):
        held.evicted = True
        self.release(held)
        held.on_evict()
