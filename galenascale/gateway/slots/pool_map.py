"""Pools of backend servers and the hosts that own them."""

import math

import attrs

from galenascale.gateway.load import hash_key
from galenascale.hashing import rendezvous_rank, shard_of

# Servers in one pool. More would not improve the choice of a server, and would
# cost the owner more.
MAX_SERVERS = 48
# Seconds for which a host that gave no answer is not used as owner. The time
# is short, because the host and its substitute both grant the same slots once
# the host is back.
SUSPICION_S = 1.0


@attrs.frozen
class Pool:
    """The servers of a service in one failure domain, or one shard of them."""

    service: str
    failure_domain: str
    shard: int = 0
    shards: int = 1

    @property
    def key(self):
        """Return the 32-bit key of the pool in messages between hosts."""
        name = f"slots/{self.service}/{self.failure_domain}/{self.shard}"
        return hash_key(f"{name}/{self.shards}")

    def contains(self, entry):
        """Return True if a server belongs to the pool."""
        return (
            entry.service == self.service
            and entry.failure_domain == self.failure_domain
            and shard_of(entry.server_id, self.shards) == self.shard
        )


def build_pools(entries):
    """Return the pools that servers form, by pool key."""
    counts = {}
    for entry in entries:
        key = (entry.service, entry.failure_domain)
        counts[key] = counts.get(key, 0) + 1
    pools = []
    for (service, failure_domain), count in sorted(counts.items()):
        shards = math.ceil(count / MAX_SERVERS)
        for shard in range(shards):
            pools.append(Pool(service, failure_domain, shard, shards))
    return {pool.key: pool for pool in pools}


@attrs.frozen
class OwnerCandidate:
    """A host that may own pools."""

    host_id: str
    failure_domain: str
    # IP address.
    address: str
    # Whether messages from the host arrived recently.
    is_responsive: bool = True


class PoolMap:
    """Pools and their owners, as this host knows them."""

    def __init__(self, own_host):
        self._own_host = own_host
        self._hosts = (own_host,)
        self._may_own = True
        self._pools_by_key = {}
        self._ranked_addresses_by_pool = {}
        # Addresses from which no messages arrived recently.
        self._unresponsive = frozenset()
        # Ends of suspicion in monotonic seconds, by address.
        self._suspected_until = {}

    @property
    def own_address(self):
        """Return the IP address of this host."""
        return self._own_host.address

    def set_hosts(self, others):
        """Set the other OwnerCandidates; return True if they changed."""
        self._unresponsive = {host.address for host in others if not host.is_responsive}
        hosts = (
            *(attrs.evolve(host, is_responsive=True) for host in others),
            self._own_host,
        )
        hosts = tuple(sorted(hosts, key=lambda host: host.host_id))
        if hosts == self._hosts:
            return False
        self._hosts = hosts
        self._ranked_addresses_by_pool.clear()
        return True

    def stop_owning(self):
        """Exclude this host from the owners, as it stops."""
        self._may_own = False
        self._ranked_addresses_by_pool.clear()

    def set_servers(self, entries):
        """Set the server entries that form the pools."""
        self._pools_by_key = build_pools(entries)

    def pool_by_key(self, key):
        """Return the pool with a key, or None."""
        return self._pools_by_key.get(key)

    def pool_of_server(self, entry):
        """Return the pool of a server, or None."""
        for pool in self._pools_by_key.values():
            if pool.contains(entry):
                return pool
        return None

    def sibling_pools(self, pool):
        """Return the other pools of the same service."""
        return [
            other
            for other in self._pools_by_key.values()
            if other.service == pool.service and other != pool
        ]

    def preferred_pool(self, service, rng):
        """Return a pool of a service, of this failure domain if possible."""
        pools = [
            pool for pool in self._pools_by_key.values() if pool.service == service
        ]
        local = [pool for pool in pools if self._is_local(pool)]
        return rng.choice(local or pools) if pools else None

    def _is_local(self, pool):
        return pool.failure_domain == self._own_host.failure_domain

    def owner(self, pool, now):
        """Return the address of a pool's owner, skipping suspected hosts."""
        addresses = self._ranked_addresses(pool)
        for address in addresses:
            if not self._is_suspected(address, now):
                return address
        return addresses[0]

    def _is_suspected(self, address, now):
        """
        Return True for a host that did not answer a short time ago.

        It stays suspected while no messages from it arrive at all.
        """
        until = self._suspected_until.get(address)
        return until is not None and (now < until or address in self._unresponsive)

    def is_own(self, pool, now):
        """Return True if this host owns a pool."""
        return self.owner(pool, now) == self._own_host.address

    def is_substitute(self, pool, address, now):
        """Return True if a host owns a pool in place of a suspected one."""
        first = self._ranked_addresses(pool)[0]
        return address != first and address == self.owner(pool, now)

    def suspect(self, address, now):
        """Replace a host as owner for SUSPICION_S, as it gave no answer."""
        if address != self._own_host.address:
            self._suspected_until[address] = now + SUSPICION_S

    def clear_suspicion(self, address):
        """End the suspicion of a host, as it answered."""
        self._suspected_until.pop(address, None)

    def _ranked_addresses(self, pool):
        if pool.key not in self._ranked_addresses_by_pool:
            hosts = [
                host for host in self._hosts if self._may_own or host != self._own_host
            ]
            local = [
                host for host in hosts if host.failure_domain == pool.failure_domain
            ]
            by_id = {host.host_id: host for host in local or hosts or self._hosts}
            name = f"{pool.service}/{pool.failure_domain}/{pool.shard}"
            self._ranked_addresses_by_pool[pool.key] = [
                by_id[host_id].address for host_id in rendezvous_rank(name, by_id)
            ]
        return self._ranked_addresses_by_pool[pool.key]
