"""Delayed load reports and cache events of the engine stand-in."""

import collections

import attrs
import xxhash

MAX_CACHE_EVENTS = 4096


class LaggedReport:
    """History of a value, read as it was at an earlier time."""

    def __init__(self):
        self._samples = collections.deque()

    def add(self, now, value):
        """Add a sample taken at time `now`, in seconds."""
        self._samples.append((now, value))

    def read(self, as_of):
        """
        Return the newest sample taken at or before `as_of`.

        Without one, return the oldest sample, or None if there is none.
        Discard the samples before the returned one.
        """
        while len(self._samples) > 1 and self._samples[1][0] <= as_of:
            self._samples.popleft()
        return self._samples[0][1] if self._samples else None


@attrs.define
class CacheEventLog:
    """Numbered cache events that become visible late; some are lost."""

    lag_s: float
    # On average, one in this many events is lost; 0 disables the loss.
    loss_interval: int
    seed: int
    next_seq: int = 0
    _events: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_CACHE_EVENTS)
    )

    def add(self, now, event):
        """
        Number an event and store it, unless it is lost.

        A hash of its number and the seed decides, so runs are repeatable.
        """
        seq, self.next_seq = self.next_seq, self.next_seq + 1
        digest_value = xxhash.xxh3_64_intdigest(
            seq.to_bytes(8, "little"), seed=self.seed
        )
        if not self.loss_interval or digest_value % self.loss_interval:
            self._events.append((now, seq, event))

    def read(self, now, after):
        """
        Return the visible events numbered above `after`, as JSON fields.

        `next` is the number of the last one, to be passed as `after`.
        """
        events = [
            {
                "seq": seq,
                "type": event.type,
                "prefix": f"{event.prefix:016x}",
                "tokens": event.tokens,
            }
            for at, seq, event in self._events
            if seq > after and at + self.lag_s <= now
        ]
        return {"events": events, "next": events[-1]["seq"] if events else after}
