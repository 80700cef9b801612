"""The platform's host list, which lags behind the announcements."""

import collections

import attrs

STATES = ("live", "leaving")


@attrs.frozen
class ListedHost:
    """Announcement of a host."""

    host_id: str
    failure_domain: str = ""
    url: str = ""
    peer_url: str = ""
    state: str = attrs.field(default="live", validator=attrs.validators.in_(STATES))


class LaggedHostList:
    """
    Host list whose views are `lag_s` seconds old.

    A host that is not announced again within `ttl_s` seconds expires.
    """

    def __init__(self, lag_s, ttl_s):
        self.lag_s = lag_s
        self.ttl_s = ttl_s
        # Deques of (time, ListedHost), ordered by time.
        self._history_by_id = collections.defaultdict(collections.deque)

    def announce(self, now, host):
        """Record an announcement or its renewal at time `now`."""
        history = self._history_by_id[host.host_id]
        history.append((now, host))
        self._prune(history, now - self.lag_s)

    def view(self, now):
        """Return the hosts known `lag_s` seconds ago, ordered by id."""
        as_of = now - self.lag_s
        hosts = []
        for host_id in sorted(self._history_by_id):
            history = self._history_by_id[host_id]
            self._prune(history, as_of)
            at, host = history[0]
            if as_of - history[-1][0] > self.ttl_s:
                del self._history_by_id[host_id]
            elif at <= as_of <= at + self.ttl_s:
                hosts.append(host)
        return hosts

    def _prune(self, history, as_of):
        while len(history) > 1 and history[1][0] <= as_of:
            history.popleft()
