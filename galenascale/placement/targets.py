"""Which servers are to hold which versions.

A version stays where it is unless its replicas are too many or badly spread;
new replicas go to the failure domain with the fewest, and there to the server
that ranks first for the version. All hosts compute the same from the same
facts. A version's first holder by rank is always among its targets, so hosts
that see different sets of holders never agree to unload all of them.
"""

import heapq

import attrs

from galenascale.hashing import rendezvous_owner, rendezvous_rank


@attrs.define
class Targets:
    """Versions by server, and what has to make room for them at once."""

    keys_by_server: dict = attrs.field(factory=dict)
    # Versions that a starving one displaces, as (server id, VersionKey).
    displaced: set = attrs.field(factory=set)


class _Choice:
    """Candidates for one version, the best of each domain first."""

    def __init__(self, need, servers):
        self.need = need
        self.count = 0
        self.wanted = min(need.replicas or len(servers), len(servers))
        # Worst to best, so that the best is popped.
        self._by_domain = {}
        ranked = ranked_servers(need.key, servers)
        for rank, server in sorted(
            enumerate(ranked), key=lambda item: (not item[1].holds(need.key), item[0])
        ):
            item = (not server.holds(need.key), rank, server)
            self._by_domain.setdefault(server.failure_domain, []).insert(0, item)
        self._heap = []
        for domain in self._by_domain:
            self._push(0, domain)

    def _push(self, count, domain):
        items = self._by_domain[domain]
        if items:
            heapq.heappush(self._heap, (count, *items[-1][:2], domain))

    def take(self, fits):
        """Return the next server or None; `fits` tells if it has room."""
        while self._heap:
            count, is_new, _, domain = heapq.heappop(self._heap)
            server = self._by_domain[domain].pop()[2]
            if is_new and not fits(server):
                self._push(count, domain)
                continue
            self._push(count + 1, domain)
            self.count += 1
            return server
        return None


def ranked_servers(key, servers):
    """Return servers in a version's order, the same on every host."""
    by_id = {server.server_id: server for server in servers}
    ids = rendezvous_rank(_seed(key), by_id)
    return [by_id[server_id] for server_id in ids]


def plan_targets(needs, servers, sizes):
    """Return the Targets for VersionNeeds on usable ServerFacts."""
    servers = [server for server in servers if server.usable]
    targets = Targets({server.server_id: set() for server in servers})
    if not servers:
        return targets
    free = {server.server_id: _room(server, sizes) for server in servers}
    ordered = sorted(needs, key=lambda need: (-need.weight_bytes, need.key))
    choices = [_Choice(need, servers) for need in ordered]
    open_choices = choices
    # Each version gets one replica before any gets a second one.
    while open_choices:
        open_choices = [item for item in open_choices if _take(item, targets, free)]
    for choice in choices:
        if not choice.count:
            _displace(choice.need, servers, targets, free, sizes)
    return targets


def _room(server, sizes):
    """Return the free memory, less that for adapters still to be loaded."""
    return server.memory_bytes - sum(
        sizes.kept_bytes(key, adapters)
        for key, adapters in server.adapters_by_key.items()
    )


def _take(choice, targets, free):
    """Add one replica; return True if the version may get more."""
    need = choice.need
    server = choice.take(lambda item: free[item.server_id] >= need.total_bytes)
    if server is None:
        return False
    if not server.holds(need.key):
        free[server.server_id] -= need.total_bytes
    targets.keys_by_server[server.server_id].add(need.key)
    return choice.count < choice.wanted


def _displace(need, servers, targets, free, sizes):
    """Make room for a version without any holder, if others stay served."""
    for server in ranked_servers(need.key, servers):
        own = targets.keys_by_server[server.server_id]
        if any(not server.holds(key) for key in own):
            continue  # The room is meant for another version.
        room, removed = free[server.server_id], []
        for key, adapters in sorted(
            server.adapters_by_key.items(), key=lambda item: (item[0] in own, item[0])
        ):
            if room >= need.total_bytes:
                break
            if key in own and not better_holder(key, server, servers, targets):
                continue
            removed.append(key)
            room += sizes.kept_bytes(key, adapters)
        if room >= need.total_bytes:
            own.difference_update(removed)
            own.add(need.key)
            free[server.server_id] = room - need.total_bytes
            targets.displaced.update((server.server_id, key) for key in removed)
            return


def better_holder(key, server, servers, targets):
    """
    Return True if a server that ranks higher holds a version and keeps it.

    Only then may a version be unloaded. The first holder by rank keeps it
    whatever other hosts see, so the last holder never unloads.
    """
    return any(
        other.usable
        and other.holds(key)
        and key in targets.keys_by_server.get(other.server_id, ())
        and other.server_id != server.server_id
        and rendezvous_owner(_seed(key), (other.server_id, server.server_id))
        == other.server_id
        for other in servers
    )


def _seed(key):
    return f"place\0{key.model}\0{key.version}"
