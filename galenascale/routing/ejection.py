"""Ejection of failing backend servers, with a half-open state on return."""

import enum

import attrs

# Consecutive failures that eject a server.
FAILURES_TO_EJECT = 3
# Duration of the first ejection; each further one lasts twice as long.
BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 30.0
# If a larger share of the servers fails, the cause is not the servers, and the
# remaining ones could not carry the load.
MAX_EJECTED_SHARE = 0.5


class Health(enum.Enum):
    """Whether a server gets all, one or no requests."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    HALF_OPEN = "half_open"


@attrs.define
class _Record:
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    # False if a peer's digest caused the ejection.
    from_own_failures: bool = True
    health: Health = Health.HEALTHY


class Ejector:
    """Health of the servers of one service."""

    def __init__(self):
        self._records_by_id = {}
        self._ejected = set()

    def set_servers(self, server_ids):
        """Track these servers; drop the records of all others."""
        self._records_by_id = {
            server_id: self._records_by_id.get(server_id) or _Record()
            for server_id in server_ids
        }
        self._ejected &= self._records_by_id.keys()

    def health(self, server_id):
        """Return the Health of a tracked server."""
        return self._records_by_id[server_id].health

    def ejected(self):
        """Return the ids of the ejected servers."""
        return frozenset(self._ejected)

    def is_ejected_locally(self, server_id):
        """Return True for a server ejected for failures of own requests."""
        return (
            server_id in self._ejected
            and self._records_by_id[server_id].from_own_failures
        )

    def record_success(self, server_id):
        """Record a request that the server completed."""
        record = self._records_by_id.get(server_id)
        if record is None or record.health == Health.EJECTED:
            return
        record.failures = 0
        record.ejections = 0
        record.health = Health.HEALTHY

    def record_failure(self, server_id, now, decisive=False):
        """
        Record a failed request and eject the server if it fails repeatedly.

        A decisive failure ejects it at once. Failures reported during an
        ejection come from requests sent before it and do not extend it.
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
        """Eject a healthy server that a peer ejected, for the base time."""
        record = self._records_by_id.get(server_id)
        if record is not None and record.health == Health.HEALTHY:
            record.from_own_failures = not self._eject(server_id, record, now)

    def refresh(self, now):
        """End the ejections that are over and return their servers' ids."""
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
