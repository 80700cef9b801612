"""Ejection of failing backend servers with half-open return."""

import enum

import attrs

FAILURES_TO_EJECT = 3
BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 30.0
# More failing servers than this share means that the cause lies elsewhere,
# and that the rest could not carry the load.
MAX_EJECTED_SHARE = 0.5


class Health(enum.Enum):
    """State of a server in ejection."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    HALF_OPEN = "half_open"


@attrs.define
class _Record:
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    # False when only a peer's word led to the ejection.
    from_own_failures: bool = True
    health: Health = Health.HEALTHY


class Ejector:
    """Health of the servers of one service."""

    def __init__(self):
        self._records_by_id = {}
        self._ejected = set()

    def set_servers(self, server_ids):
        """Keep records for these servers only."""
        self._records_by_id = {
            server_id: self._records_by_id.get(server_id) or _Record()
            for server_id in server_ids
        }
        self._ejected &= self._records_by_id.keys()

    def health(self, server_id):
        """Return the Health of a server."""
        return self._records_by_id[server_id].health

    def ejected(self):
        """Return the ids of the servers that get no requests."""
        return frozenset(self._ejected)

    def is_ejected_locally(self, server_id):
        """Return True for a server ejected because of own failures."""
        return (
            server_id in self._ejected
            and self._records_by_id[server_id].from_own_failures
        )

    def record_success(self, server_id):
        """Note a request that the server served."""
        record = self._records_by_id.get(server_id)
        if record is None or record.health == Health.EJECTED:
            return
        record.failures = 0
        record.ejections = 0
        record.health = Health.HEALTHY

    def record_failure(self, server_id, now, decisive=False):
        """
        Note a failed request; a decisive one ejects the server by itself.

        Failures of requests sent before an ejection do not prolong it.
        """
        record = self._records_by_id.get(server_id)
        if record is None or record.health == Health.EJECTED:
            return
        record.failures += 1
        if (
            decisive
            or record.health == Health.HALF_OPEN
            or record.failures >= FAILURES_TO_EJECT
        ) and self._eject(server_id, record, now):
            record.ejections += 1
            record.from_own_failures = True

    def note_peer_ejection(self, server_id, now):
        """Eject a server for the shortest time because a peer ejected it."""
        record = self._records_by_id.get(server_id)
        if record is not None and record.health == Health.HEALTHY:
            record.from_own_failures = not self._eject(server_id, record, now)

    def refresh(self, now):
        """Let ejected servers return half-open in time; return their ids."""
        if not self._ejected:
            return []
        due = [
            server_id
            for server_id in sorted(self._ejected)
            if now >= self._records_by_id[server_id].ejected_until
        ]
        for server_id in due:
            self._records_by_id[server_id].health = Health.HALF_OPEN
            self._ejected.discard(server_id)
        return due

    def _eject(self, server_id, record, now):
        limit = int(len(self._records_by_id) * MAX_EJECTED_SHARE)
        if len(self._ejected) >= limit:
            return False
        duration_s = min(
            MAX_EJECTION_S, BASE_EJECTION_S * 2 ** min(16, record.ejections)
        )
        record.failures = 0
        record.ejected_until = now + duration_s
        record.health = Health.EJECTED
        self._ejected.add(server_id)
        return True
