"""Pools of backend servers and the hosts that own them."""

import math

import attrs

from galenascale.gateway.load import hash_key
from galenascale.hashing import shard_of

# Servers in one pool. More would not improve the choice of a server, and would
# cost the owner more.
MAX_SERVERS = 48


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

    @property
    def owner_name(self):
        """Return the name by which the owner is found."""
        return f"{self.service}/{self.failure_domain}/{self.shard}"

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


class PoolMap:
    """Pools and their owners, as this host knows them."""

    def __init__(self, ownership, get_entries):
        self._ownership = ownership
        # Returns the server entries that form the pools.
        self._get_entries = get_entries
        self._known_pools_by_key = {}
        self._is_outdated = True

    @property
    def own_address(self):
        """Return the IP address of this host."""
        return self._ownership.own_address

    def mark_outdated(self):
        """Build the pools again at their next use, as servers changed."""
        self._is_outdated = True

    @property
    def _pools_by_key(self):
        # Servers often change many at a time, so not for each of them.
        if self._is_outdated:
            self._known_pools_by_key = build_pools(self._get_entries())
            self._is_outdated = False
        return self._known_pools_by_key

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
        local = [
            pool for pool in pools if pool.failure_domain == self._ownership.own_domain
        ]
        return rng.choice(local or pools) if pools else None

    def owner(self, pool, now):
        """Return the address of a pool's owner, skipping suspected hosts."""
        return self._ownership.owner(pool.owner_name, pool.failure_domain, now)

    def is_own(self, pool, now):
        """Return True if this host owns a pool."""
        return self._ownership.is_own(pool.owner_name, pool.failure_domain, now)

    def is_substitute(self, pool, address, now):
        """Return True if a host owns a pool in place of a suspected one."""
        return self._ownership.is_substitute(
            pool.owner_name, pool.failure_domain, address, now
        )

    def standing(self, pool, asking_hosts):
        """Return this host's Standing as owner that some hosts ask."""
        name, domain = pool.owner_name, pool.failure_domain
        return self._ownership.standing(name, domain, asking_hosts)

    def suspect(self, address, now):
        """Replace a host as owner for a while, as it gave no answer."""
        self._ownership.suspect(address, now)

    def clear_suspicion(self, address):
        """End the suspicion of a host, as it answered."""
        self._ownership.clear_suspicion(address)
