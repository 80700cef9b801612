"""How long a message takes from this host to the owners of other pools."""

import attrs

# Weight of the newest round trip in the average.
ROUND_TRIP_WEIGHT = 0.2
# Longest round trip in seconds that is believed; a report that waited longer
# was held by a host that did not run.
MAX_ROUND_TRIP_S = 2.0
MICROSECONDS = 1e6


@attrs.define
class _Peer:
    # Time stamp of its last report, by its own clock, and monotonic time in
    # seconds at which that came.
    stamp_us: int
    received_at: float


class CrossingTimes:
    """
    Round trips to the owners of other pools, from the reports between them.

    Each report has a time stamp of its sender's clock and returns the last one
    of the receiver, advanced by the time for which it lay there. So clocks
    need not agree.
    """

    def __init__(self):
        self._peers_by_pool = {}
        self._round_trip_s_by_pool = {}

    def record(self, pool_key, stamp_us, echo_us, now):
        """Record the stamps of a report from a pool that arrives `now`."""
        if stamp_us:
            self._peers_by_pool[pool_key] = _Peer(stamp_us, now)
        round_trip_s = now - echo_us / MICROSECONDS
        if not echo_us or not 0.0 <= round_trip_s <= MAX_ROUND_TRIP_S:
            return
        known_s = self._round_trip_s_by_pool.setdefault(pool_key, round_trip_s)
        known_s += ROUND_TRIP_WEIGHT * (round_trip_s - known_s)
        self._round_trip_s_by_pool[pool_key] = known_s

    def echo_us(self, pool_key, now):
        """Return the stamp to send back to a pool's owner, 0 without one."""
        peer = self._peers_by_pool.get(pool_key)
        if peer is None:
            return 0
        return peer.stamp_us + to_stamp(now - peer.received_at)

    def crossing_s(self, pool_key):
        """
        Return the seconds that a request loses by going to another pool.

        It goes there and its answer comes back; 0 if unknown.
        """
        return self._round_trip_s_by_pool.get(pool_key, 0.0)


def to_stamp(seconds):
    """Return a time in whole microseconds."""
    return round(seconds * MICROSECONDS)
