"""The backend servers that may be used, as the store lists them."""

import attrs

from galenascale.gateway.load import hash_key

# Seconds for which a server that said that it leaves gets no request, whatever
# its entry says, and for which the other hosts are told.
LEAVING_EXCLUSION_S = 600.0
LEAVING_BROADCAST_S = 60.0


@attrs.frozen
class ServerEntry:
    """What a backend server registered of itself."""

    server_id: str
    service: str
    # IP address and port.
    address: str
    failure_domain: str
    slots: int
    draining: bool
    # Wall time in milliseconds of the server's start; 0 if it is not told.
    started_ms: int = 0
    # Number of the entry; grows while the server runs.
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
    """Return the entry whose server has a key of messages, or None."""
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
    Applies records of the store in the order of their offsets.

    Entries also lapse while the store is away, although their servers run. So
    a removal that is read shortly after the store's return takes effect only
    after `RECOVERY_GRACE_S`, in which a living server registers again.
    """

    # The platform states about two seconds for the return of lapsed entries.
    RECOVERY_GRACE_S = 2.2

    def __init__(self):
        self._known_by_id = {}
        self._position = 0
        self._grace_until = float("-inf")
        self._listeners = []
        # Monotonic time by run key since which a server is known to leave from
        # its own word, to this host or to another.
        self._leaving_at_by_key = {}
        self._reported_at_by_key = {}
        self.loaded = False
        # Monotonic time in seconds of the last successful read.
        self.read_at = None

    @property
    def position(self):
        """Return the offset up to which records were applied."""
        return self._position

    def on_change(self, callback):
        """
        Call `callback(change, entry)` when a server is added, drains or ends.

        `change` is "added", "draining", "leaving" (from the server's own word)
        or "removed"; the entry of an ended run is the last one.
        """
        self._listeners.append(callback)

    def store_recovered(self, now):
        """Note that the store answers again after an outage."""
        self._grace_until = now + self.RECOVERY_GRACE_S

    def apply(self, server_id, offset, entry, now):
        """Apply one record; `entry` is None for a removal."""
        known = self._known_by_id.get(server_id)
        if known is not None and offset <= known.offset:
            return
        if entry is not None:
            self._replace(server_id, known, _ServerRecord(offset, entry))
        elif known is None or known.entry is None:
            self._known_by_id[server_id] = _ServerRecord(offset, None)
        else:
            known.offset = offset
            known.removed_at = max(now, self._grace_until)

    def _replace(self, server_id, known, new):
        self._known_by_id[server_id] = new
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
        Apply all newest records: (server id, offset, entry or None) each.

        A server that is missing was removed, if the snapshot is not older than
        what is known.
        """
        for server_id, offset, entry in records:
            self.apply(server_id, offset, entry, now)
        present = {server_id for server_id, _, entry in records if entry}
        for server_id, known in self._known_by_id.items():
            if server_id not in present and known.offset < end_offset:
                self._schedule_removal(known, now)
        self.advance(end_offset, now)
        self.loaded = True

    def _schedule_removal(self, known, now):
        if known.entry is not None and known.removed_at is None:
            known.removed_at = max(now, self._grace_until)

    def advance(self, position, now):
        """Note that all records before an offset were applied."""
        self._position = max(self._position, position)
        self.read_at = now

    def expire(self, now):
        """Drop the servers whose removal takes effect."""
        for known in self._known_by_id.values():
            if known.removed_at is not None and known.removed_at <= now:
                entry = known.entry
                known.entry = None
                known.removed_at = None
                self._notify("removed", entry)

    def record_leaving(self, entry, now):
        """Note a server's word that it leaves; return True if it is new."""
        self._reported_at_by_key[entry.run_key] = now
        if not self.merge_leaving((entry.run_key,), now):
            return False
        self._notify("leaving", entry)
        return True

    def merge_leaving(self, run_keys, now):
        """Note runs of servers that leave; return True if one is new."""
        known = len(self._leaving_at_by_key)
        self._leaving_at_by_key.update(dict.fromkeys(run_keys, now))
        return len(self._leaving_at_by_key) > known

    def recent_leaving(self, now):
        """Return the keys of the runs that told this host that they leave."""
        for key, at in list(self._reported_at_by_key.items()):
            if now - at > LEAVING_BROADCAST_S:
                del self._reported_at_by_key[key]
        return list(self._reported_at_by_key)

    def _accepts_requests(self, entry, now):
        """Return True unless the server's entry or its word says it leaves."""
        if entry.draining:
            return False
        if not self._leaving_at_by_key:
            return True
        leaving_at = self._leaving_at_by_key.get(entry.run_key)
        return leaving_at is None or now - leaving_at > LEAVING_EXCLUSION_S

    def usable(self, service, now):
        """Return the entries of a service that may get new requests."""
        self.expire(now)
        return [
            known.entry
            for known in self._known_by_id.values()
            if known.entry is not None
            and known.entry.service == service
            and self._accepts_requests(known.entry, now)
        ]

    def is_usable(self, entry, now):
        """Return True if this run of a server may still get new requests."""
        known = self._known_by_id.get(entry.server_id)
        if known is None or known.entry is None:
            return False
        is_removed = known.removed_at is not None and known.removed_at <= now
        is_same_run = known.entry.incarnation == entry.incarnation
        return (
            is_same_run and not is_removed and self._accepts_requests(known.entry, now)
        )

    def all_entries(self):
        """Return all entries that are not removed."""
        return [known.entry for known in self._known_by_id.values() if known.entry]
