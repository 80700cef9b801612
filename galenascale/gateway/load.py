"""Requests in flight at backend servers, as all hosts report them."""

import functools

import attrs
import xxhash

# Peers tell their load at least once a second; a report that was missed thrice
# says nothing of the present.
PEER_REPORT_MAX_AGE_S = 3.0
# Names whose keys are kept.
_KEYS = 1 << 16


@functools.lru_cache(_KEYS)
def hash_key(name):
    """Return the 32-bit key of a name in messages between hosts."""
    value = xxhash.xxh32_intdigest(name.encode())
    # Messages hold signed integers.
    return value - (1 << 32) if value >= 1 << 31 else value


@attrs.define
class InFlight:
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
    at: float
    in_flight_by_key: dict[int, InFlight]


class FleetLoad:
    """
    Counts of this host and the last report of each peer.

    Sums are kept as reports come, as they are read for each request and each
    server.
    """

    def __init__(self, host_id):
        self._host_id = host_id
        self._own_by_key = {}
        self._reports_by_host = {}
        # Sums over all peers.
        self._peers_by_key = {}
        # Grows with each change of the own counts.
        self.changes = 0
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
        own = self._own_by_key.setdefault(key, InFlight())
        if batch:
            own.batch += step
        else:
            own.online += step
        if own.total == 0:
            del self._own_by_key[key]
        self.changes += 1

    def touch(self):
        """Let the peers be told soon, as something beside the load changed."""
        self.changes += 1

    def own(self):
        """Return this host's InFlight by server key."""
        return self._own_by_key

    def report(self, host_id, in_flight_by_key, now):
        """Keep what a peer tells of its own requests and items."""
        self.forget(host_id)
        self._reports_by_host[host_id] = _PeerReport(now, in_flight_by_key)
        for key, in_flight in in_flight_by_key.items():
            self._peers_by_key.setdefault(key, InFlight()).add(in_flight, 1)

    def forget(self, host_id):
        """Drop the report of a peer."""
        report = self._reports_by_host.pop(host_id, None)
        if report is None:
            return
        for key, in_flight in report.in_flight_by_key.items():
            total = self._peers_by_key[key]
            total.add(in_flight, -1)
            if not (total.online or total.batch):
                del self._peers_by_key[key]

    def expire(self, now):
        """Drop the reports that are too old."""
        for host_id, report in list(self._reports_by_host.items()):
            if now - report.at > PEER_REPORT_MAX_AGE_S:
                self.forget(host_id)

    def own_at(self, server_id):
        """Return the InFlight of this host at a server."""
        return self._own_by_key.get(hash_key(server_id)) or InFlight()

    def at(self, server_id):
        """Return the InFlight of all hosts at a server."""
        key = hash_key(server_id)
        total = InFlight()
        for part in (self._own_by_key.get(key), self._peers_by_key.get(key)):
            if part is not None:
                total.add(part, 1)
        return total
