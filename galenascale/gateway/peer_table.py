"""Table of the other hosts, from their statuses and suggested addresses."""

import attrs

from galenascale.gateway.active_jobs import ListedJobs
from galenascale.gateway.sockets import is_ip_address

# Seconds without a status after which a host is considered dead.
PEER_TIMEOUT_S = 3.0
# Seconds without a status for which a host may still be alive. Hosts that
# depend on it find out by sending it a request.
POSSIBLY_ALIVE_S = 12.0
# Seconds without a status after which an address is removed.
ADDRESS_TIMEOUT_S = 60.0


@attrs.define
class Peer:
    """Another host, as last known; times are monotonic seconds."""

    address: str
    last_seen_at: float
    host_id: str = ""
    failure_domain: str = ""
    started_ms: int = 0
    sequence: int = 0
    config_version: int = 0
    leaving: bool = False
    store_up: bool = False
    listed_jobs: ListedJobs = attrs.field(factory=ListedJobs)

    @classmethod
    def from_status(cls, status, now):
        """Return the Peer that a status describes."""
        return cls(
            address=status.address,
            last_seen_at=now,
            host_id=status.host_id,
            failure_domain=status.failure_domain,
            started_ms=status.started_ms,
            sequence=status.sequence,
            config_version=status.config_version,
            leaving=status.leaving,
            store_up=status.store_up,
        )


class PeerTable:
    """The known hosts, by address and by host id."""

    def __init__(self, own_address):
        self._own_address = own_address
        self._by_address = {}
        self._by_host_id = {}

    def add_address(self, address, now):
        """Add an address that may belong to a host, if it is one."""
        if not is_ip_address(address):
            return
        if address != self._own_address and address not in self._by_address:
            # No status yet; the address expires unless one arrives.
            self._by_address[address] = Peer(address, now)

    def update(self, status, now):
        """Apply a status; return the Peer, or None if it is stale or odd."""
        if not is_ip_address(status.address):
            return None
        known = self._by_host_id.get(status.host_id)
        if known is not None and (status.started_ms, status.sequence) <= (
            known.started_ms,
            known.sequence,
        ):
            return None
        peer = Peer.from_status(status, now)
        if known is not None and known.started_ms == peer.started_ms:
            peer.listed_jobs = known.listed_jobs
        peer.listed_jobs.update(status, now)
        if known is not None and known.address != peer.address:
            self._by_address.pop(known.address, None)
        former = self._by_address.get(peer.address)
        if former is not None and former.host_id != peer.host_id:
            # Another host had the address and is gone.
            self._by_host_id.pop(former.host_id, None)
        self._by_address[peer.address] = peer
        self._by_host_id[peer.host_id] = peer
        return peer

    def addresses(self, now):
        """Expire old addresses and return the remaining ones."""
        for address, peer in list(self._by_address.items()):
            if now - peer.last_seen_at > ADDRESS_TIMEOUT_S:
                del self._by_address[address]
                self._by_host_id.pop(peer.host_id, None)
        return list(self._by_address)

    def alive(self, now):
        """Return the hosts whose last status is recent."""
        return [
            peer
            for peer in self._by_host_id.values()
            if now - peer.last_seen_at <= PEER_TIMEOUT_S
        ]

    def not_leaving(self, now):
        """Return the possibly alive hosts that have not announced leaving."""
        return [
            peer
            for peer in self._by_host_id.values()
            if not peer.leaving and now - peer.last_seen_at <= POSSIBLY_ALIVE_S
        ]

    def known_count(self, now):
        """Return the number of hosts heard of that have not left since."""
        return sum(
            not peer.leaving and now - peer.last_seen_at <= ADDRESS_TIMEOUT_S
            for peer in self._by_host_id.values()
        )

    def is_running(self, host_id, started_ms, now):
        """Return True if this run of a host is alive and not leaving."""
        peer = self._by_host_id.get(host_id)
        return (
            peer is not None
            and peer.started_ms == started_ms
            and not peer.leaving
            and now - peer.last_seen_at <= PEER_TIMEOUT_S
        )

    def unlisted_at(self, host_id, job_key):
        """
        Return when a host last told its jobs of a shard without one of them.

        See ListedJobs.unlisted_at(); None also if the host is not known.
        """
        peer = self._by_host_id.get(host_id)
        return None if peer is None else peer.listed_jobs.unlisted_at(job_key)

    def is_alive(self, host_id, now):
        """Return True if any run of a host is alive."""
        peer = self._by_host_id.get(host_id)
        return peer is not None and now - peer.last_seen_at <= PEER_TIMEOUT_S

    def most_current(self, now):
        """
        Return the live peers with the most current state.

        Peers that can reach the store come first, then those with the newest
        configuration.
        """
        peers = self.alive(now)
        newest = max(map(_currency, peers), default=None)
        return [peer for peer in peers if _currency(peer) == newest]


def _currency(peer):
    return (peer.store_up, peer.config_version)
