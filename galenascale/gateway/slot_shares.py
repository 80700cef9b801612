"""Assigns the slots of backend servers to hosts by consistent hashing."""

from galenascale.gateway.gossip import MAX_DIRECT_PEERS
from galenascale.hashing import HashRing


class SlotShares:
    """
    The share of slots that is assigned to this host.

    Each slot of a server is assigned to one of the serving hosts by a hash
    ring. Hosts that fill their own slots first do not choose the same slot,
    and need no messages to agree on one.
    """

    def __init__(self, host_id):
        self._host_id = host_id
        self._hosts = (host_id,)
        self._own_slots_by_server = {}

    def set_hosts(self, host_ids):
        """Set the ids of the other serving hosts."""
        hosts = tuple(sorted({*host_ids, self._host_id}))
        if hosts != self._hosts:
            self._hosts = hosts
            self._own_slots_by_server.clear()

    @property
    def is_load_stale(self):
        """Return True if load reports are relayed by hosts, and so delayed."""
        return len(self._hosts) - 1 > MAX_DIRECT_PEERS

    def own_slots(self, server):
        """Return the number of a server's slots assigned to this host."""
        key = (server.server_id, server.slots)
        if key not in self._own_slots_by_server:
            self._own_slots_by_server[key] = self._count_own_slots(*key)
        return self._own_slots_by_server[key]

    def _count_own_slots(self, server_id, slots):
        ring = HashRing.cached(self._hosts)
        owners = [ring.owner(server_id, number) for number in range(slots)]
        return owners.count(self._host_id)
