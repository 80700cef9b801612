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
    waiting_items: int = 0


class FleetLoad:
    """Counts of this host and the last report of each peer."""

    def __init__(self, host_id):
        self._host_id = host_id
        self._own_by_key = {}
        self._reports_by_host = {}
        # Grows with each change of the own counts.
        self.changes = 0
        # Items of this host that wait for a slot.
        self.waiting_items = 0

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

    def report(self, host_id, in_flight_by_key, waiting_items, now):
        """Keep what a peer tells of its own requests and waiting items."""
        self._reports_by_host[host_id] = _PeerReport(
            now, in_flight_by_key, waiting_items
        )

    def forget(self, host_id):
        """Drop the report of a peer that is gone."""
        self._reports_by_host.pop(host_id, None)

    def set_waiting_items(self, count):
        """Set how many items wait for a slot on this host."""
        if (count > 0) != (self.waiting_items > 0):
            self.changes += 1
        self.waiting_items = count

    def _recent_reports(self, now):
        for host_id, report in self._reports_by_host.items():
            if now - report.at <= PEER_REPORT_MAX_AGE_S:
                yield host_id, report

    def hosts_with_waiting_items(self, now):
        """Return the sorted ids of the hosts whose items wait for a slot."""
        hosts = [
            host_id
            for host_id, report in self._recent_reports(now)
            if report.waiting_items
        ]
        if self.waiting_items:
            hosts.append(self._host_id)
        return tuple(sorted(hosts))

    def batch_by_host(self, server_id, now):
        """Return the items at a server by the host that runs them."""
        key = server_key(server_id)
        counts = {
            host_id: report.in_flight_by_key[key].batch
            for host_id, report in self._recent_reports(now)
            if key in report.in_flight_by_key
        }
        counts[self._host_id] = self.own_at(server_id).batch
        return {host_id: count for host_id, count in counts.items() if count}

    def at(self, server_id, now):
        """Return the InFlight of all hosts at a server."""
        key = server_key(server_id)
        own = self._own_by_key.get(key)
        total = InFlight(own.online, own.batch) if own else InFlight()
        for _, report in self._recent_reports(now):
            part = report.in_flight_by_key.get(key)
            if part:
                total.online += part.online
                total.batch += part.batch
        return total
