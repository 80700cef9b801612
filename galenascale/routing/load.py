"""Estimate of the load of one backend server.

A host combines three sources: its own counts, which are exact; the digests of
its peers; and the load reports of the server, which cover all hosts but lag.
"""

from collections import deque

import attrs

# Age at which reports and digests are dropped.
STALE_S = 3.0
# Time for which a server counts as running batch after a peer last reported
# batch there: batch may start again before a digest reports it.
RECENT_BATCH_S = 30.0
# Maximum lag of a peer's digest behind a load report.
MAX_DIGEST_LAG_S = 1.0
# Time for which own counts are kept; the maximum lag of a load report.
HISTORY_S = 3.0
# Time without new requests for a server that refused one as overloaded or
# broke a stream. After a crash, all broken streams are noticed within it.
PAUSE_S = 0.1
# Time after the first sign of leaving during which load reports cannot end the
# leaving state: the sources lag and contradict each other until then, so the
# earliest sign counts.
LEAVING_HOLD_S = 10.0


@attrs.define(eq=False)
class ServerState:
    """Load and condition of one backend server as one host knows them."""

    declaration: object
    own_online: int = 0
    own_batch: int = 0
    # (time, own requests in flight since then)
    own_history: deque = attrs.field(factory=deque)
    # Requests in the newest load report, and this host's share of them.
    reported: int = 0
    reported_own: int = 0
    reported_at: float = float("-inf")
    # (time received, online requests, batch requests) by peer id.
    peer_loads: dict = attrs.field(factory=dict)
    peer_online: int = 0
    peer_batch: int = 0
    # (time, requests of all peers since then)
    peer_history: deque = attrs.field(factory=deque)
    batch_seen_at: float = float("-inf")
    reserved: bool = False
    # Ids of the peers that ejected the server for failures of own requests.
    ejected_by: set = attrs.field(factory=set)
    # Ids of the peers that reserve the server for one suspect request.
    reserved_by: set = attrs.field(factory=set)
    leaving_since: float | None = None
    # Keys of models, versions and adapters that the server holds.
    loaded: frozenset = frozenset()
    groups: tuple = ()

    def change_own(self, now, online=0, batch=0):
        """Add to the own counts and to their history."""
        self.own_online += online
        self.own_batch += batch
        self.own_history.append((now, self.own_online + self.own_batch))
        while len(self.own_history) > 1 and self.own_history[1][0] < now - HISTORY_S:
            self.own_history.popleft()

    def own_in_flight_at(self, at):
        """Return the number of own requests in flight at a past time."""
        count = self.own_history[0][1] if self.own_history else 0
        if self.own_history and self.own_history[0][0] > at:
            count = 0
        for time, value in self.own_history:
            if time > at:
                break
            count = value
        return count

    def note_report(self, report, as_of):
        """Store a ServerReport of the time `as_of`, unless it is outdated."""
        if as_of < self.reported_at:
            return
        self.reported = report.running + report.queued
        self.reported_own = self.own_in_flight_at(as_of)
        self.reported_at = as_of

    def note_peer(self, peer_id, load, now):
        """Store the load of a peer's own requests on the server."""
        self._set_peer(peer_id, now, load.online_in_flight, load.batch_in_flight)
        if load.reserved:
            self.reserved_by.add(peer_id)
        else:
            self.reserved_by.discard(peer_id)

    def note_peer_online(self, peer_id, online, now):
        """Store a peer's online requests that it sent ahead of its digest."""
        _, _, batch = self.peer_loads.get(peer_id, (now, 0, 0))
        self._set_peer(peer_id, now, online, batch)

    def _set_peer(self, peer_id, now, online, batch):
        _, old_online, old_batch = self.peer_loads.get(peer_id, (now, 0, 0))
        self.peer_loads[peer_id] = (now, online, batch)
        self.peer_online += online - old_online
        self.peer_batch += batch - old_batch
        self._note_peer_total(now)

    def drop_stale(self, now):
        """Drop stale loads and reports; return True if there were any."""
        stale = [
            peer for peer, load in self.peer_loads.items() if load[0] < now - STALE_S
        ]
        for peer in stale:
            _, online, batch = self.peer_loads.pop(peer)
            self.peer_online -= online
            self.peer_batch -= batch
            self._note_peer_total(now)
            self.reserved_by.discard(peer)
            self.ejected_by.discard(peer)
        old_report = self.reported and self.reported_at < now - STALE_S
        if old_report:
            self.reported = self.reported_own = 0
        return bool(stale or old_report)

    def _note_peer_total(self, now):
        history = self.peer_history
        history.append((now, self.peer_online + self.peer_batch))
        if self.peer_batch:
            self.batch_seen_at = now
        while len(history) > 1 and history[1][0] < now - MAX_DIGEST_LAG_S:
            history.popleft()

    @property
    def unattributed(self):
        """
        Requests in the report that are neither own ones nor in digests.

        Digests and reports lag differently, so the report may hold requests of
        peers that have just ended. The maximum of the recent digests is used,
        lest those count as requests of unknown hosts.
        """
        known = max((count for _, count in self.peer_history), default=0)
        return max(0, self.reported - self.reported_own - known)

    @property
    def online(self):
        """Online requests in flight: own, of peers, and unattributed ones."""
        return self.own_online + self.peer_online + self.unattributed

    @property
    def batch(self):
        """Batch requests in flight, own and of peers."""
        return self.own_batch + self.peer_batch


def loaded_keys(report):
    """
    Return the keys of the models and adapters loaded in a ServerReport.

    A key is (model, version) or (model, version, adapter).
    """
    keys = set()
    for model, version in report.models:
        keys.add((model, version))
        by_model = report.adapters_by_model.get(model, ())
        for adapter in report.adapters_by_version.get((model, version), by_model):
            keys.add((model, version, adapter))
    return frozenset(keys)
