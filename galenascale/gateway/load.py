"""In-flight requests at backend servers, as reported by all hosts."""

import functools

import attrs
import xxhash

# Maximum age in seconds of a peer's load report. Peers report at least once a
# second; after three missed reports the last one is obsolete.
PEER_REPORT_MAX_AGE_S = 3.0
# Maximum number of names whose hashes are cached.
_MAX_CACHED_KEYS = 1 << 16


@functools.lru_cache(_MAX_CACHED_KEYS)
def hash_key(name):
    """Return the signed 32-bit hash that stands for a name in messages."""
    value = xxhash.xxh32_intdigest(name.encode())
    # Integers in messages between hosts are signed.
    return value - (1 << 32) if value >= 1 << 31 else value


@attrs.define
class InFlightCounts:
    """Requests and items in flight at a server, of one host or of all."""

    online: int = 0
    batch: int = 0

    @property
    def total(self):
        """Return the sum of both kinds."""
        return self.online + self.batch

    @property
    def is_possible(self):
        """Return True if neither count is negative, and one is not 0."""
        return self.online >= 0 and self.batch >= 0 and self.total > 0

    def add(self, other, sign):
        """Add other counts, or subtract them if `sign` is -1."""
        self.online += sign * other.online
        self.batch += sign * other.batch


@attrs.define
class _PeerReport:
    # Monotonic time in seconds.
    received_at: float
    in_flight_by_key: dict[int, InFlightCounts]


class FleetLoad:
    """
    In-flight counts of this host and the last report of each peer.

    The sums over all peers are updated when a report arrives, because they are
    read for each server on each request.
    """

    def __init__(self, host_id):
        self._host_id = host_id
        self._local_by_key = {}
        self._reports_by_host = {}
        # Sums over the reports of all peers.
        self._peers_by_key = {}
        # Incremented on each change that peers must be told of.
        self.change_count = 0
        # Hash keys of the jobs that this host runs.
        self.active_jobs = ()

    def start(self, server_id, *, batch=False):
        """Count a request or item sent to a server."""
        self._change(server_id, batch, 1)

    def end(self, server_id, *, batch=False):
        """Uncount a request or item that ended."""
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
        """Trigger a report to the peers for a change other than the load."""
        self.change_count += 1

    def local_counts(self):
        """Return this host's InFlightCounts by server key."""
        return self._local_by_key

    def set_peer_report(self, host_id, in_flight_by_key, now):
        """
        Replace the last report of a peer's own requests and items.

        Counts that cannot be are left out.
        """
        self.remove_peer(host_id)
        in_flight_by_key = {
            key: in_flight
            for key, in_flight in in_flight_by_key.items()
            if in_flight.is_possible
        }
        self._reports_by_host[host_id] = _PeerReport(now, in_flight_by_key)
        for key, in_flight in in_flight_by_key.items():
            self._peers_by_key.setdefault(key, InFlightCounts()).add(in_flight, 1)

    def remove_peer(self, host_id):
        """Remove the report of a peer."""
        report = self._reports_by_host.pop(host_id, None)
        if report is None:
            return
        for key, in_flight in report.in_flight_by_key.items():
            total = self._peers_by_key[key]
            total.add(in_flight, -1)
            if not (total.online or total.batch):
                del self._peers_by_key[key]

    def expire_reports(self, now):
        """Remove reports older than PEER_REPORT_MAX_AGE_S."""
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
