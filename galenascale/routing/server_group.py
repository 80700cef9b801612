"""Groups of servers among which a request's server is chosen."""

import math

from galenascale.hashing import rendezvous_rank

# Prefix hashes are mapped to this many buckets, whose rendezvous order is
# cached: a request costs a look-up instead of one hash for each server.
PREFIX_BUCKETS = 1024
# Number of servers tried in rendezvous order before load alone decides.
AFFINITY_DEPTH = 3
# Affinity may load a server up to this multiple of the average load.
AFFINITY_BOUND = 1.25
# Requests on a server below which affinity always applies: a cached prefix
# saves more than an idle server does.
AFFINITY_MIN_LOAD = 2


class ServerGroup:
    """
    Servers of one service with the same locality and the same loaded model.

    Locality is whether a server is in the host's failure domain. The groups of
    the key () hold all servers, whatever they have loaded.
    """

    def __init__(self, key):
        self.key = key
        self._load_by_id = {}
        self._total_load = 0
        # Ids of the servers with free capacity and their indexes in that list.
        self._free_ids = []
        self._index_by_id = {}
        self._preferred_by_bucket = {}

    def __len__(self):
        return len(self._load_by_id)

    def set_server(self, server_id, load, is_free):
        """Add or update a server with its load and whether it has capacity."""
        if server_id not in self._load_by_id:
            self._preferred_by_bucket.clear()
        self._total_load += load - self._load_by_id.get(server_id, 0)
        self._load_by_id[server_id] = load
        if is_free == (server_id in self._index_by_id):
            return
        if is_free:
            self._index_by_id[server_id] = len(self._free_ids)
            self._free_ids.append(server_id)
        else:
            self._remove_free(server_id)

    def discard(self, server_id):
        """Remove a server."""
        if server_id not in self._load_by_id:
            return
        self._total_load -= self._load_by_id.pop(server_id)
        self._preferred_by_bucket.clear()
        if server_id in self._index_by_id:
            self._remove_free(server_id)

    def free_ids(self):
        """Return the ids of the servers with capacity."""
        return tuple(self._free_ids)

    def choose_by_load(self, random, load_of, avoid):
        """
        Return the less loaded of two random free servers not in `avoid`.

        Return None if there is no such server.
        """
        free = self._free_ids
        if not free:
            return None
        if avoid:
            free = [server_id for server_id in free if server_id not in avoid]
            if not free:
                return None
        first = free[int(random.random() * len(free))]
        if len(free) == 1:
            return first
        # The last server replaces a second draw that equals the first, so the
        # two are distinct.
        index = int(random.random() * (len(free) - 1))
        second = free[index] if free[index] != first else free[-1]
        return second if load_of(second) < load_of(first) else first

    def choose_by_prefix(self, prefix_hash, avoid):
        """
        Return the first free server in a prefix's rendezvous order.

        Servers above the load bound are passed over. Return None if none of
        the first AFFINITY_DEPTH servers qualifies.
        """
        if not self._free_ids:
            return None
        average = (self._total_load + 1) / len(self._load_by_id)
        bound = max(AFFINITY_MIN_LOAD, math.ceil(AFFINITY_BOUND * average))
        for server_id in self._preferred(prefix_hash % PREFIX_BUCKETS):
            if (
                server_id in self._index_by_id
                and server_id not in avoid
                and self._load_by_id[server_id] < bound
            ):
                return server_id
        return None

    def _preferred(self, bucket):
        preferred = self._preferred_by_bucket.get(bucket)
        if preferred is None:
            preferred = rendezvous_rank(f"prefix/{bucket}", self._load_by_id)
            preferred = self._preferred_by_bucket[bucket] = preferred[:AFFINITY_DEPTH]
        return preferred

    def _remove_free(self, server_id):
        index = self._index_by_id.pop(server_id)
        last = self._free_ids.pop()
        if last != server_id:
            self._free_ids[index] = last
            self._index_by_id[last] = index
