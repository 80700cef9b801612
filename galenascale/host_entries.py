"""What is known about one other entry host."""

import attrs
import xxhash

from galenascale.generated.messages import HostInfo


def order(info):
    """Return the sort key of incarnations of one host."""
    return (info.generation, info.incarnation)


def fingerprint(info):
    """
    Return a signed 32-bit hash of what rarely changes in a HostInfo.

    Heartbeat and configuration version are left out, so that messages need
    the whole HostInfo only after another change.
    """
    text = (
        f"{info.host_id}\0{info.incarnation}\0{info.generation}\0{info.state}\0"
        f"{info.ready}\0{info.reads_version}\0"
        f"{info.domain_reads_version}\0{info.url}\0{info.peer_url}\0"
        f"{info.failure_domain}"
    )
    value = xxhash.xxh32_intdigest(text.encode())
    return value - (1 << 32) if value >= 1 << 31 else value


@attrs.define
class HostEntry:
    """The newest incarnation of a host that this host has heard of."""

    info: HostInfo
    # Monotonic time at which the heartbeat last advanced.
    heard_at: float
    key: int = 0
    # A connection was refused after the last heartbeat.
    failed: bool = False
    # The host list has shown this incarnation as live.
    listed_live: bool = False

    @classmethod
    def first(cls, now, info):
        """Return the entry of an incarnation first heard of at `now`."""
        return cls(attrs.evolve(info), now)

    def advance(self, now, heartbeat):
        """Take a heartbeat; tell whether it is newer."""
        if heartbeat <= self.info.heartbeat:
            return False
        self.info.heartbeat = heartbeat
        self.heard_at = now
        self.failed = False
        return True

    def merge(self, now, info):
        """
        Take a HostInfo of the same incarnation.

        Tell whether the fingerprint changed. "Leaving" stays, whoever said it.
        """
        leaving = "leaving" in (self.info.state, info.state)
        generation = max(info.generation, self.info.generation)
        if info.heartbeat > self.info.heartbeat:
            self.info = attrs.evolve(info)
            self.heard_at = now
            self.failed = False
        self.info.generation = generation
        if leaving:
            self.info.state = "leaving"
        return fingerprint(self.info) != self.key

    def mark_leaving(self):
        """Record "leaving" for good; tell whether that is new."""
        changed = self.info.state != "leaving"
        self.info.state = "leaving"
        return changed
