"""From targets to orders, with hysteresis; decision core without I/O.

A need must last for a time before its order is given, so that a server that
restarts, a lagging report or two hosts with different views move nothing.
"""

import math

from galenascale.generated.messages import ModelDeclaration, PlacementSettings
from galenascale.placement.facts import Action, Order, Sizes
from galenascale.placement.targets import Targets, better_holder, plan_targets

UNLOADS = frozenset((Action.UNLOAD_MODEL, Action.UNLOAD_ADAPTER))


class Planner:
    """Orders for the servers of one service, as one host sees them."""

    def __init__(self, settings=None):
        self.settings = settings or PlacementSettings()
        self._sizes = Sizes(ModelDeclaration().weight_bytes)
        self._needs_by_key = {}
        self._servers_by_id = {}
        self._targets = Targets()
        # Time since which an order is wanted, by (server id, Order).
        self._since = {}

    def plan(self, now, needs, servers, own_ids=None):
        """
        Take over the present VersionNeeds and ServerFacts.

        Orders are prepared only for servers in `own_ids`, all if None.
        """
        self._needs_by_key = {need.key: need for need in needs}
        self._sizes.update(needs)
        self._servers_by_id = {server.server_id: server for server in servers}
        self._sizes.keep(
            self._needs_by_key.keys()
            | {key for server in servers for key in server.adapters_by_key}
        )
        self._targets = plan_targets(needs, servers, self._sizes)
        wanted = {
            (server.server_id, order)
            for server in servers
            if server.usable and (own_ids is None or server.server_id in own_ids)
            for order in self._wanted(server)
        }
        self._since = {item: self._since.get(item, now) for item in wanted}

    def due_ids(self, now):
        """Return the ids of servers that an order is due for, oldest first."""
        found = {}
        for (server_id, order), since in self._since.items():
            if now >= since + self._hold_s(server_id, order):
                found[server_id] = min(since, found.get(server_id, math.inf))
        return sorted(found, key=lambda server_id: (found[server_id], server_id))

    def next_order(self, now, server):
        """
        Return the next Order for a server, or None.

        `server` has what the server itself reports now. An order that does
        not fit in its memory waits for others.
        """
        if not server.usable:
            return None
        self._servers_by_id[server.server_id] = server
        free = self._sizes.free_bytes(server)
        for order in self._wanted(server):
            since = self._since.get((server.server_id, order))
            if since is None or now < since + self._hold_s(server.server_id, order):
                continue
            if not order.is_load or order.size_bytes <= free:
                return order
        return None

    def has_holder(self, key):
        """Return True if a usable server holds a version."""
        return any(
            server.usable and server.holds(key)
            for server in self._servers_by_id.values()
        )

    def target(self, server_id):
        """Return the versions that a server is to hold."""
        return frozenset(self._targets.keys_by_server.get(server_id, ()))

    def _hold_s(self, server_id, order):
        settings = self.settings
        if order.action in UNLOADS:
            displaced = (server_id, order.key) in self._targets.displaced
            return settings.load_after_s if displaced else settings.unload_after_s
        if order.action == Action.LOAD_MODEL and not self.has_holder(order.key):
            return 0.0
        return settings.load_after_s

    def _wanted(self, server):
        """Yield the orders that would bring a server to its target."""
        target = self._targets.keys_by_server.get(server.server_id)
        if target is None:
            return
        if server.role != server.wanted_role:
            yield Order(Action.SET_ROLE, name=server.wanted_role)
        yield from self._unloads(server, target)
        for need in sorted(map(self._needs_by_key.get, target), key=_load_order):
            yield from self._loads(server, need)

    def _unloads(self, server, target):
        for key, adapters in sorted(server.adapters_by_key.items()):
            need = self._needs_by_key.get(key)
            if key not in target:
                if need is None or self._may_unload(key, server):
                    yield Order(Action.UNLOAD_MODEL, key)
                continue
            for name in sorted(set(adapters).difference(need.adapters)):
                yield Order(Action.UNLOAD_ADAPTER, key, name)

    def _may_unload(self, key, server):
        servers = self._servers_by_id.values()
        return better_holder(key, server, servers, self._targets)

    def _loads(self, server, need):
        if not server.holds(need.key):
            yield Order(Action.LOAD_MODEL, need.key, size_bytes=need.weight_bytes)
            return
        for name in need.adapters:
            if name not in server.adapters_by_key[need.key]:
                yield Order(Action.LOAD_ADAPTER, need.key, name, need.adapter_bytes)


def _load_order(need):
    return -need.weight_bytes, need.key
