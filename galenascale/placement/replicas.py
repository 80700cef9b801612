"""How many replicas demand asks for; decision core without I/O."""

import attrs


@attrs.define
class _Trend:
    extra: int = 0
    high_since: float | None = None
    low_since: float | None = None


class ReplicaCounts:
    """
    Replicas beyond the declared ones while demand asks for them.

    A replica is added when the holders are busy above `HIGH` for a while and
    given up when the rest would stay below `LOW`; between the two a constant
    demand changes nothing.
    """

    HIGH = 0.8
    LOW = 0.5
    ADD_AFTER_S = 10.0
    DROP_AFTER_S = 300.0

    def __init__(self):
        self._trends_by_key = {}

    def count(self, now, key, declared, demand, slots, servers):
        """
        Return the replicas for a version; 0 stays 0 (all servers).

        `demand` is in requests that run or wait at a time, `slots` the slots
        of a server and `servers` the number of servers.
        """
        if declared <= 0:
            self._trends_by_key.pop(key, None)
            return 0
        trend = self._trends_by_key.setdefault(key, _Trend())
        trend.extra = max(0, min(trend.extra, servers - declared))
        count = declared + trend.extra
        is_high = demand > self.HIGH * count * slots and count < servers
        is_low = trend.extra > 0 and demand < self.LOW * (count - 1) * slots
        trend.high_since = _since(trend.high_since, is_high, now)
        trend.low_since = _since(trend.low_since, is_low, now)
        if is_high and now >= trend.high_since + self.ADD_AFTER_S:
            trend.extra, trend.high_since = trend.extra + 1, None
        elif is_low and now >= trend.low_since + self.DROP_AFTER_S:
            trend.extra, trend.low_since = trend.extra - 1, None
        return declared + trend.extra

    def keep(self, keys):
        """Forget versions that are not declared any more."""
        for key in self._trends_by_key.keys() - keys:
            del self._trends_by_key[key]


def _since(since, holds, now):
    if not holds:
        return None
    return now if since is None else since
