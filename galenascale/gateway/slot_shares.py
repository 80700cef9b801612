"""Which slots of the backend servers this host fills first."""

from galenascale.gateway.gossip import DIRECT_LIMIT
from galenascale.hashing import HashRing


class SlotShares:
    """
    Shares of the slots among the hosts that serve.

    Each slot of a server is one host's by hashing. A host that fills its own
    slots first meets no other host's request there, without being told of it.
    """

    def __init__(self, host_id):
        self._host_id = host_id
        self._hosts = (host_id,)
        self._own_slots_by_server = {}

    def set_hosts(self, host_ids):
        """Set the other hosts that serve."""
        hosts = tuple(sorted({*host_ids, self._host_id}))
        if hosts != self._hosts:
            self._hosts = hosts
            self._own_slots_by_server.clear()

    @property
    def is_load_stale(self):
        """Return True if other hosts' load comes through relays, so late."""
        return len(self._hosts) - 1 > DIRECT_LIMIT

    def own_slots(self, server):
        """Return the number of a server's slots that are this host's."""
        key = (server.server_id, server.slots)
        if key not in self._own_slots_by_server:
            self._own_slots_by_server[key] = self._count_own_slots(*key)
        return self._own_slots_by_server[key]

    def _count_own_slots(self, server_id, slots):
        ring = HashRing.of(self._hosts)
        owners = [ring.owner(server_id, number) for number in range(slots)]
        return owners.count(self._host_id)
