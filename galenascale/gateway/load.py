"""Requests in flight at backend servers, as all hosts report them."""

import functools

import attrs
import xxhash

# Peers tell their load at least once a second; a report that was missed thrice
# says nothing of the present.
PEER_REPORT_MAX_AGE_S = 3.0
# Names whose keys are kept.
_MAX_CACHED_KEYS = 1 << 16


@functools.lru_cache(_MAX_CACHED_KEYS)
def hash_key(name):
    """Return the 32-bit key of a name in messages between hosts."""
    value = xxhash.xxh32_intdigest(name.encode())
    # Messages hold signed integers.
    return value - (1 << 32) if value >= 1 << 31 else value


@attrs.define
class InFlightCounts:
    """Requests of one host, or of all, at one backend server."""

    online: int = 0
    batch: int = 0

    @property
    def total(self):
        """Return the requests of both kinds."""
        return self.online + self.batch

    def add(self, other, sign):
        """Add another one's counts, or subtract them with sign -1."""
        self.online += sign * other.online
        self.batch += sign * other.batch


@attrs.define
class _PeerReport:
    received_at: float
    in_flight_by_key: dict[int, InFlightCounts]


class FleetLoad:
    """
    Counts of this host and the last report of each peer.

    Sums are kept as reports come, as they are read for each request and each
    server.
    """

    def __init__(self, host_id):
        self._host_id = host_id
        self._local_by_key = {}
        self._reports_by_host = {}
        # Sums over all peers.
        self._peers_by_key = {}
        # Grows with each change of the own counts.
        self.change_count = 0
        # Keys of the jobs that this host runs.
        self.active_jobs = ()

    def start(self, server_id, *, batch=False):
        """Count a request that is sent to a server."""
        self._change(server_id, batch, 1)

    def end(self, server_id, *, batch=False):
        """Stop counting a request."""
        self._change(server_id, batch, -1)

    def _change(self, server_id, batch, step):
        key = hash_key(server_id)
        counts = self._local_by_key.setdefault(key, InFlightCounts())
        if batch:
            counts.batch += step
        else:
            counts.online += step
        if counts.total == 0:
            del self._local_by_key[key]
        self.change_count += 1

    def mark_changed(self):
        """Let the peers be told soon, as something beside the load changed."""
        self.change_count += 1

    def local_counts(self):
        """Return this host's InFlightCounts by server key."""
        return self._local_by_key

    def set_peer_report(self, host_id, in_flight_by_key, now):
        """Keep what a peer tells of its own requests and items."""
        self.remove_peer(host_id)
        self._reports_by_host[host_id] = _PeerReport(now, in_flight_by_key)
        for key, in_flight in in_flight_by_key.items():
            self._peers_by_key.setdefault(key, InFlightCounts()).add(in_flight, 1)

    def remove_peer(self, host_id):
        """Drop the report of a peer."""
        report = self._reports_by_host.pop(host_id, None)
        if report is None:
            return
        for key, in_flight in report.in_flight_by_key.items():
            total = self._peers_by_key[key]
            total.add(in_flight, -1)
            if not (total.online or total.batch):
                del self._peers_by_key[key]

    def expire_reports(self, now):
        """Drop the reports that are too old."""
        for host_id, report in list(self._reports_by_host.items()):
            if now - report.received_at > PEER_REPORT_MAX_AGE_S:
                self.remove_peer(host_id)

    def local_at(self, server_id):
        """Return the InFlightCounts of this host at a server."""
        return self._local_by_key.get(hash_key(server_id)) or InFlightCounts()

    def total_at(self, server_id):
        """Return the InFlightCounts of all hosts at a server."""
        key = hash_key(server_id)
        total = InFlightCounts()
        for part in (self._local_by_key.get(key), self._peers_by_key.get(key)):
            if part is not None:
                total.add(part, 1)
        return total
