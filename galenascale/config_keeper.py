"""When to write snapshots of the `config` stream, and polling intervals."""

import collections

import attrs

from galenascale.config_snapshots import Assembler, parts_of
from galenascale.hashing import rendezvous_owner, rendezvous_rank

# Hosts of a domain that poll the log fast; the second covers a dead first.
FAST_POLLERS = 2
# 5 s at the default config_poll_s, within the 9 s of the target size also for
# a host that gets no notices.
SLOW_POLL_FACTOR = 20


def _no_hosts():
    return ()


def _unknown_version():
    return None


@attrs.frozen
class ConfigPeers:
    """What a follower knows of other hosts; all empty without membership."""

    host_id: str = ""
    # Ids of the live hosts of this failure domain and of all domains.
    domain_hosts: object = _no_hosts
    live_hosts: object = _no_hosts
    # Lowest HostInfo.reads_version of the live hosts, or None.
    min_read_version: object = _unknown_version
    # async (host_id, ConfigFetchRequest) -> ConfigFetchReply
    fetch_from_peer: object = None

    def polls_fast(self):
        """Tell whether this host is one of its domain's fast pollers."""
        hosts = self.domain_hosts()
        if self.host_id not in hosts:
            return True
        return self.host_id in rendezvous_rank("config-poll", hosts)[:FAST_POLLERS]

    def writes_snapshots(self):
        """Tell whether this host is the one that writes snapshots."""
        hosts = self.live_hosts()
        if self.host_id not in hosts:
            return not hosts
        return self.host_id == rendezvous_owner("config-snapshot", hosts)


class SnapshotSchedule:
    """Counts appends that the last whole snapshot in the stream lacks."""

    def __init__(self, snapshot_records, retention_records):
        # A quarter leaves room for several failed attempts before the
        # previous snapshot is trimmed.
        limit = max(1, min(snapshot_records, retention_records // 4))
        self._max_distance = max(1, retention_records // 2)
        self._assembler = Assembler()
        # Offsets of the newest appends that hold other records than parts.
        self._offsets = collections.deque(maxlen=limit)
        self._through = -1
        self._last_offset = -1

    def note(self, offset, body):
        """Take notice of one append that was read."""
        self._last_offset = offset
        parts, count = parts_of(body)
        if count > len(parts):
            self._offsets.append(offset)
        for part in parts:
            if self._assembler.add(part):
                state, self._assembler.complete = self._assembler.complete, None
                self.note_complete(state.through_offset)

    def note_complete(self, through_offset):
        """Take notice of a whole snapshot in the log."""
        self._through = max(self._through, through_offset)
        while self._offsets and self._offsets[0] <= self._through:
            self._offsets.popleft()

    def due(self, log_first_offset):
        """
        Tell whether a snapshot must be written now.

        The last one is of no use once a record after it has been trimmed.
        """
        return (
            len(self._offsets) == self._offsets.maxlen
            or log_first_offset > self._through + 1
            or self._last_offset - self._through > self._max_distance
        )
