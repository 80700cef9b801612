"""Estimate of the load of one backend server."""

from collections import deque

import attrs

# Reports and digests older than this are ignored.
STALE_S = 3.0
# A server that ran batch lately may run it again before a digest tells so.
RECENT_BATCH_S = 30.0
# Digests of peers are at most this much older than a load report.
MAX_DIGEST_LAG_S = 1.0
# Own counts are remembered for as long as a report may lag.
HISTORY_S = 3.0
# A server that refused as overloaded or broke a stream gets nothing for this
# long; by then all breaks of a crash are noticed.
PAUSE_S = 0.1
# Reports made later than this after the first sign of leaving may end it;
# until then lagged sources contradict each other and the earliest wins.
LEAVING_HOLD_S = 10.0


@attrs.define(eq=False)
class ServerState:
    """What a host knows about one backend server."""

    declaration: object
    own_online: int = 0
    own_batch: int = 0
    # (time, own requests in flight from then on)
    own_history: deque = attrs.field(factory=deque)
    reported: int = 0
    reported_own: int = 0
    reported_at: float = float("-inf")
    peer_loads: dict = attrs.field(factory=dict)
    peer_online: int = 0
    peer_batch: int = 0
    # (time, requests of peers from then on)
    peer_history: deque = attrs.field(factory=deque)
    batch_seen_at: float = float("-inf")
    reserved: bool = False
    # Peers that ejected the server because of what they saw themselves.
    ejected_by: set = attrs.field(factory=set)
    # Peers that keep the server for one suspect request.
    reserved_by: set = attrs.field(factory=set)
    leaving_since: float | None = None
    # Keys of models, versions and adapters that the server holds.
    loaded: frozenset = frozenset()
    groups: tuple = ()

    def change_own(self, now, online=0, batch=0):
        """Change the own counts, keeping their history."""
        self.own_online += online
        self.own_batch += batch
        self.own_history.append((now, self.own_online + self.own_batch))
        while len(self.own_history) > 1 and self.own_history[1][0] < now - HISTORY_S:
            self.own_history.popleft()

    def own_in_flight_at(self, at):
        """Return the own requests that were in flight at a past time."""
        count = self.own_history[0][1] if self.own_history else 0
        if self.own_history and self.own_history[0][0] > at:
            count = 0
        for time, value in self.own_history:
            if time > at:
                break
            count = value
        return count

    def note_report(self, report, as_of):
        """Take over a ServerReport of the state at the time `as_of`."""
        if as_of < self.reported_at:
            return
        self.reported = report.running + report.queued
        self.reported_own = self.own_in_flight_at(as_of)
        self.reported_at = as_of

    def note_peer(self, peer_id, load, now):
        """Take over the load that a peer itself puts on the server."""
        self._set_peer(peer_id, now, load.online_in_flight, load.batch_in_flight)
        if load.reserved:
            self.reserved_by.add(peer_id)
        else:
            self.reserved_by.discard(peer_id)

    def note_peer_online(self, peer_id, online, now):
        """Take over a peer's online requests, told ahead of its digest."""
        _, _, batch = self.peer_loads.get(peer_id, (now, 0, 0))
        self._set_peer(peer_id, now, online, batch)

    def _set_peer(self, peer_id, now, online, batch):
        _, old_online, old_batch = self.peer_loads.get(peer_id, (now, 0, 0))
        self.peer_loads[peer_id] = (now, online, batch)
        self.peer_online += online - old_online
        self.peer_batch += batch - old_batch
        self._note_peer_total(now)

    def drop_stale(self, now):
        """Forget what is too old; return True when something was forgotten."""
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
        Requests in the report that neither own counts nor digests explain.

        Reports and digests have different lags, so requests that ended lately
        may be in the report; they must not look like those of other hosts.
        """
        known = max((count for _, count in self.peer_history), default=0)
        return max(0, self.reported - self.reported_own - known)

    @property
    def online(self):
        """Online requests in flight, own and estimated ones of others."""
        return self.own_online + self.peer_online + self.unattributed

    @property
    def batch(self):
        """Batch requests in flight, own ones and those of peers."""
        return self.own_batch + self.peer_batch


def loaded_keys(report):
    """Return the keys of the versions and adapters in a ServerReport."""
    keys = set()
    for model, version in report.models:
        keys.add((model, version))
        by_model = report.adapters_by_model.get(model, ())
        for adapter in report.adapters_by_version.get((model, version), by_model):
            keys.add((model, version, adapter))
    return frozenset(keys)
