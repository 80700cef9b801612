"""List of the backend servers, built from their entries in the store."""

import attrs

from galenascale.gateway.load import hash_key

# Seconds for which a server that announced that it is leaving gets no
# requests, whatever its entry in the store says.
LEAVING_EXCLUSION_S = 600.0
# Seconds for which the announcement is passed on to the other hosts.
LEAVING_BROADCAST_S = 60.0


@attrs.frozen
class ServerEntry:
    """The entry that a backend server registers in the store."""

    server_id: str
    service: str
    # IP address and port.
    address: str
    failure_domain: str
    slots: int
    draining: bool
    # Wall time in milliseconds at which the server started; 0 if unknown.
    started_ms: int = 0
    # Increases with each entry of a running server.
    sequence: int = 0

    @property
    def incarnation(self):
        """Return the key of this run of the server."""
        return (self.server_id, self.started_ms, self.address)

    @property
    def run_key(self):
        """Return the 32-bit key of this run in messages between hosts."""
        return hash_key(f"{self.server_id}/{self.started_ms}")


def find_by_key(entries, server_key):
    """Return the entry with a server key from a message, or None."""
    for entry in entries:
        if hash_key(entry.server_id) == server_key:
            return entry
    return None


@attrs.define
class _ServerRecord:
    offset: int
    entry: ServerEntry | None
    # Monotonic time in seconds at which a removal takes effect.
    removed_at: float | None = None


class ServerList:
    """
    Applies records from the store and lists the usable servers.

    Of each server, the record with the highest offset counts. Entries also
    expire while the store is unreachable, although their servers are running.
    A removal that is read shortly after the store recovers therefore takes
    effect only after `RECOVERY_GRACE_S`, in which live servers register again.
    """

    # The platform documents about 2 s until expired entries are registered
    # again.
    RECOVERY_GRACE_S = 2.2

    def __init__(self):
        self._records_by_id = {}
        self._position = 0
        self._grace_until = float("-inf")
        self._listeners = []
        # Monotonic time in seconds by run key at which this host learned, from
        # the server or from another host, that the server is leaving.
        self._leaving_at_by_key = {}
        # Same, but only for servers that announced their leaving to this host
        # directly.
        self._reported_at_by_key = {}
        # True once a whole list was applied.
        self.loaded = False
        # Monotonic time in seconds of the last successful read.
        self.read_at = None

    @property
    def position(self):
        """Return the offset before which all records were applied."""
        return self._position

    def on_change(self, callback):
        """
        Call `callback(change, entry)` on each change of a server's state.

        `change` is "added", "draining", "leaving" (announced by the server in
        a response) or "removed". A removed server is passed with its last
        entry.
        """
        self._listeners.append(callback)

    def store_recovered(self, now):
        """Start the grace period for removals after a store outage."""
        self._grace_until = now + self.RECOVERY_GRACE_S

    def apply(self, server_id, offset, entry, now):
        """Apply one record; `entry` is None for a removal."""
        known = self._records_by_id.get(server_id)
        if known is not None and offset <= known.offset:
            return
        if entry is not None and known is not None and known.entry is entry:
            known.offset = offset
            known.removed_at = None
        elif entry is not None:
            self._replace(server_id, known, _ServerRecord(offset, entry))
        elif known is None or known.entry is None:
            self._records_by_id[server_id] = _ServerRecord(offset, None)
        else:
            known.offset = offset
            known.removed_at = max(now, self._grace_until)

    def _replace(self, server_id, known, new):
        self._records_by_id[server_id] = new
        before = known.entry if known else None
        if before and before.incarnation != new.entry.incarnation:
            self._notify("removed", before)
            before = None
        if before is None:
            self._notify("added", new.entry)
        elif new.entry.draining and not before.draining:
            self._notify("draining", new.entry)

    def _notify(self, change, entry):
        for callback in self._listeners:
            callback(change, entry)

    def apply_snapshot(self, records, end_offset, now):
        """
        Apply a snapshot of (server id, offset, entry or None) tuples.

        A server that is missing from the snapshot was removed, unless its
        known record is newer than the snapshot.
        """
        for server_id, offset, entry in records:
            self.apply(server_id, offset, entry, now)
        present = {server_id for server_id, _, entry in records if entry}
        for server_id, known in self._records_by_id.items():
            if server_id not in present and known.offset < end_offset:
                self._schedule_removal(known, now)
        self.advance(end_offset, now)
        self.loaded = True

    def _schedule_removal(self, known, now):
        if known.entry is not None and known.removed_at is None:
            known.removed_at = max(now, self._grace_until)

    def advance(self, position, now):
        """Record that all records before an offset were applied."""
        self._position = max(self._position, position)
        self.read_at = now

    def expire(self, now):
        """Remove the servers whose removal takes effect by now."""
        for known in self._records_by_id.values():
            if known.removed_at is not None and known.removed_at <= now:
                entry = known.entry
                known.entry = None
                known.removed_at = None
                self._notify("removed", entry)

    def record_leaving(self, entry, now):
        """Record a server's announcement; return True if it is new."""
        self._reported_at_by_key[entry.run_key] = now
        if not self.merge_leaving((entry.run_key,), now):
            return False
        self._notify("leaving", entry)
        return True

    def merge_leaving(self, run_keys, now):
        """Record leaving server runs by key; return True if one is new."""
        known = len(self._leaving_at_by_key)
        self._leaving_at_by_key.update(dict.fromkeys(run_keys, now))
        return len(self._leaving_at_by_key) > known

    def recent_leaving(self, now):
        """Return keys of runs that recently announced leaving to this host."""
        for key, at in list(self._leaving_at_by_key.items()):
            if now - at > LEAVING_EXCLUSION_S:
                del self._leaving_at_by_key[key]
        for key, at in list(self._reported_at_by_key.items()):
            if now - at > LEAVING_BROADCAST_S:
                del self._reported_at_by_key[key]
        return list(self._reported_at_by_key)

    def _accepts_requests(self, entry, now):
        """Return True unless the server is draining or announced leaving."""
        if entry.draining:
            return False
        if not self._leaving_at_by_key:
            return True
        leaving_at = self._leaving_at_by_key.get(entry.run_key)
        return leaving_at is None or now - leaving_at > LEAVING_EXCLUSION_S

    def usable(self, service, now):
        """Return a service's entries whose servers accept new requests."""
        self.expire(now)
        return [
            known.entry
            for known in self._records_by_id.values()
            if known.entry is not None
            and known.entry.service == service
            and self._accepts_requests(known.entry, now)
        ]

    def is_usable(self, entry, now):
        """Return True if this run of a server still accepts new requests."""
        known = self._records_by_id.get(entry.server_id)
        if known is None or known.entry is None:
            return False
        is_removed = known.removed_at is not None and known.removed_at <= now
        is_same_run = known.entry.incarnation == entry.incarnation
        return (
            is_same_run and not is_removed and self._accepts_requests(known.entry, now)
        )

    def find(self, incarnation):
        """Return the entry of a run of a server, or None if it is removed."""
        known = self._records_by_id.get(incarnation[0])
        if known is None or known.entry is None:
            return None
        return known.entry if known.entry.incarnation == incarnation else None

    def all_entries(self):
        """Return all entries that have not been removed."""
        return [known.entry for known in self._records_by_id.values() if known.entry]
