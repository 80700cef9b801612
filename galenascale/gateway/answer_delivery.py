"""
Decides when the answer on a closing connection counts as taken.

Bytes that the kernel has accepted are not with the caller yet: the end of the
process, or of a socket with unread input, may lose them. So an answer counts
as taken once its caller has acknowledged the last byte.
"""

import enum

import attrs

from galenascale.gateway.send_queue import UntakenBytes

# A caller that takes fewer bytes in so many seconds is given up.
MIN_TAKEN_BYTES = 16 << 10
UNREAD_TIMEOUT_S = 10.0
# Seconds for which a connection stays open after its last byte has left the
# process, where the kernel does not tell what was acknowledged.
UNKNOWN_WAIT_S = 2.0
UNTAKEN_NOTHING = UntakenBytes(process=0, kernel=0)


class Delivery(enum.Enum):
    """What is known of the answer on a closing connection."""

    UNDER_WAY = "under_way"
    TAKEN = "taken"
    # The kernel has all of it, and does not tell more.
    UNKNOWN = "unknown"
    # The caller takes too little of it.
    ABANDONED = "abandoned"


@attrs.define
class ReadProgress:
    """Tells a caller that reads slowly from one that does not read."""

    # Time in seconds since which `taken_bytes` are counted.
    counted_since: float
    taken_bytes: int = 0

    def is_stalled(self, taken_bytes, now):
        """Count bytes taken since the last call; return True if too few."""
        self.taken_bytes += taken_bytes
        if self.taken_bytes >= MIN_TAKEN_BYTES:
            self.counted_since = now
            self.taken_bytes = 0
        return now - self.counted_since >= UNREAD_TIMEOUT_S


@attrs.define
class DeliveryTracker:
    """Follows the UntakenBytes of a connection that is to be closed."""

    _progress: ReadProgress
    # Time in seconds from which the answer is abandoned, or None.
    _give_up_at: float | None
    _untaken_total: int = 0
    # Time in seconds at which the last byte left the process, or None.
    _emptied_at: float | None = None

    @classmethod
    def begin(cls, now, limit_s=None):
        """Return a tracker; `limit_s` bounds the time for slow callers too."""
        return cls(ReadProgress(now), None if limit_s is None else now + limit_s)

    def update(self, untaken, now):
        """Return the Delivery by the UntakenBytes at a time in seconds."""
        if untaken == UNTAKEN_NOTHING:
            return Delivery.TAKEN
        if self._give_up_at is not None and now >= self._give_up_at:
            return Delivery.ABANDONED
        if untaken.kernel is None and not untaken.process:
            return self._wait_unknown(now)
        self._emptied_at = None
        taken_bytes = max(0, self._untaken_total - untaken.total)
        self._untaken_total = untaken.total
        if self._progress.is_stalled(taken_bytes, now):
            return Delivery.ABANDONED
        return Delivery.UNDER_WAY

    def _wait_unknown(self, now):
        if self._emptied_at is None:
            self._emptied_at = now
        if now - self._emptied_at >= UNKNOWN_WAIT_S:
            return Delivery.UNKNOWN
        return Delivery.UNDER_WAY
