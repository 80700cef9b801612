"""Requests in flight at backend servers, as all hosts report them."""

import attrs
import xxhash

# Peers tell their load at least once a second; a report that was missed thrice
# says nothing of the present.
PEER_REPORT_MAX_AGE_S = 3.0


def server_key(server_id):
    """Return the 32-bit key of a server in messages between hosts."""
    value = xxhash.xxh32_intdigest(server_id.encode())
    # Messages hold signed integers.
    return value - (1 << 32) if value >= 1 << 31 else value


@attrs.define
class InFlight:
    """Requests of one host at one backend server."""

    online: int = 0
    batch: int = 0

    @property
    def total(self):
        """Return the requests of both kinds."""
        return self.online + self.batch


@attrs.define
class _PeerReport:
    at: float
    in_flight_by_key: dict[int, InFlight]


class FleetLoad:
    """Counts of this host and the last report of each peer."""

    def __init__(self):
        self._own_by_key = {}
        self._reports_by_host = {}
        # Grows with each change of the own counts.
        self.changes = 0

    def start(self, server_id, *, batch=False):
        """Count a request that is sent to a server."""
        self._change(server_id, batch, 1)

    def end(self, server_id, *, batch=False):
        """Stop counting a request."""
        self._change(server_id, batch, -1)

    def _change(self, server_id, batch, step):
        key = server_key(server_id)
        own = self._own_by_key.setdefault(key, InFlight())
        if batch:
            own.batch += step
        else:
            own.online += step
        if own.total == 0:
            del self._own_by_key[key]
        self.changes += 1

    def own(self):
        """Return this host's InFlight by server key."""
        return self._own_by_key

    def own_at(self, server_id):
        """Return this host's InFlight at a server."""
        return self._own_by_key.get(server_key(server_id)) or InFlight()

    def report(self, host_id, in_flight_by_key, now):
        """Keep what a peer tells of its own requests."""
        self._reports_by_host[host_id] = _PeerReport(now, in_flight_by_key)

    def forget(self, host_id):
        """Drop the report of a peer that is gone."""
        self._reports_by_host.pop(host_id, None)

    def at(self, server_id, now):
        """Return the InFlight of all hosts at a server."""
        key = server_key(server_id)
        own = self._own_by_key.get(key)
        total = InFlight(own.online, own.batch) if own else InFlight()
        for report in self._reports_by_host.values():
            part = report.in_flight_by_key.get(key)
            if part and now - report.at <= PEER_REPORT_MAX_AGE_S:
                total.online += part.online
                total.batch += part.batch
        return total
