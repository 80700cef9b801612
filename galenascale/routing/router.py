"""Choice of a backend server of one service.

Each change of a server's load updates the few groups that the server is in, so
a choice takes the same time with 5 servers as with 480.
"""

from galenascale.generated.messages import ServerLoad
from galenascale.routing.choice import Choice
from galenascale.routing.ejection import Ejector, Health
from galenascale.routing.load import (
    LEAVING_HOLD_S,
    PAUSE_S,
    RECENT_BATCH_S,
    ServerState,
    loaded_keys,
)
from galenascale.routing.server_group import ServerGroup

# Interval of the checks for stale reports and digests.
REFRESH_S = 1.0
# Number of digests that repeat a server without load: a gossip message holds
# only some entries of a digest, so a single one may not reach a peer.
ZERO_LOAD_REPEATS = 40


class Router:
    """Chooses among the servers of one service by load and health."""

    def __init__(self, failure_domain, random):
        self.failure_domain = failure_domain
        self._random = random
        # Slots of each server that a dispatch leaves free; batch streams are
        # preempted for them.
        self.batch_reserve = 0
        self._states_by_id = {}
        self._groups_by_key = {}
        self._ejector = Ejector()
        self._refresh_at = 0.0
        # Number of further digests without load that include a server.
        self._repeats_left_by_id = {}
        # Monotonic times at which pauses end.
        self._paused_until_by_id = {}

    def set_servers(self, declarations, now):
        """Install BackendServerDeclarations; known servers keep state."""
        by_id = {declaration.name: declaration for declaration in declarations}
        for server_id in list(self._states_by_id):
            if server_id not in by_id:
                self._leave_groups(server_id, self._states_by_id.pop(server_id))
        self._ejector.set_servers(by_id)
        for server_id, declaration in by_id.items():
            state = self._states_by_id.get(server_id)
            if state is None:
                state = self._states_by_id[server_id] = ServerState(declaration)
            moved = state.declaration.failure_domain != declaration.failure_domain
            state.declaration = declaration
            if moved or not state.groups:
                self._join_groups(server_id, state)
            self._update(server_id, now)

    def has_usable_servers(self):
        """Return True if there is a server that is not leaving."""
        return any(state.leaving_since is None for state in self._states_by_id.values())

    def choose(self, request, now):
        """Return the Choice for a RouteRequest, or None without capacity."""
        self.refresh(now)
        server_id = self._choose_id(request, request.avoid)
        if server_id is None and request.avoid:
            server_id = self._choose_id(request, frozenset())
        return None if server_id is None else self._make_choice(server_id)

    def reserve(self, request, now):
        """
        Reserve a server for a single request; return its id or None.

        No other request is sent there until `release`. The request may start
        once `is_idle` returns True: all others on the server have ended.
        """
        self.refresh(now)
        candidates = [
            server_id
            for group in self._groups(request)
            for server_id in group.free_ids()
        ]
        not_avoided = [item for item in candidates if item not in request.avoid]
        server_id = min(
            not_avoided or candidates,
            key=lambda item: (self._load(item), self._states_by_id[item].batch, item),
            default=None,
        )
        if server_id is not None:
            self._states_by_id[server_id].reserved = True
            self._add_to_digest(server_id)
            self._update(server_id, now)
        return server_id

    def reserved_count(self):
        """Return the number of reserved servers."""
        return sum(state.reserved for state in self._states_by_id.values())

    def reservation(self, server_id):
        """Return the Choice of a reserved server, or None if it is leaving."""
        state = self._states_by_id.get(server_id)
        if state is None or state.leaving_since is not None:
            return None
        return Choice(state.declaration, state.batch)

    def is_idle(self, server_id):
        """Return True if no request is known to run on a server."""
        state = self._states_by_id.get(server_id)
        return state is None or state.online + state.batch <= 0

    def release(self, server_id, now):
        """End the reservation of a server."""
        if server_id in self._states_by_id:
            self._states_by_id[server_id].reserved = False
            self._add_to_digest(server_id)
            self._update(server_id, now)

    def note_started(self, server_id, now, batch=False):
        """Count a request sent to a server."""
        self._change_in_flight(server_id, now, 1, batch)

    def note_ended(self, server_id, now, batch=False):
        """Count the end of a request sent to a server."""
        self._change_in_flight(server_id, now, -1, batch)

    def note_success(self, server_id, now):
        """Record that a server completed a request."""
        self._ejector.record_success(server_id)
        self._update(server_id, now)

    def note_failure(self, server_id, now, decisive=False):
        """Record a failure; it is decisive if the server was unreachable."""
        self._ejector.record_failure(server_id, now, decisive)
        self._add_to_digest(server_id)
        self._update(server_id, now)

    def pause(self, server_id, now):
        """Send a server no requests for PAUSE_S after a refusal or a break."""
        if server_id in self._states_by_id:
            self._paused_until_by_id[server_id] = now + PAUSE_S
            self._update(server_id, now)

    def note_leaving(self, server_id, now):
        """Record that a server is leaving; the earliest time counts."""
        state = self._states_by_id.get(server_id)
        if state is not None and state.leaving_since is None:
            state.leaving_since = now
            self._add_to_digest(server_id)
            self._update(server_id, now)

    def note_load_report(self, report, now, wall_ms):
        """Store a ServerReport; `wall_ms` is the wall-clock time of `now`."""
        state = self._states_by_id.get(report.server_id)
        if state is None:
            return
        # Hosts and servers synchronize their wall clocks; a report with a
        # timestamp in the future counts as current.
        as_of = now - max(0.0, (wall_ms - report.at_ms) / 1000.0)
        state.note_report(report, as_of)
        if report.leaving:
            self.note_leaving(report.server_id, now)
        elif as_of >= (state.leaving_since or 0.0) + LEAVING_HOLD_S:
            # The report is newer than every lagging sign of leaving.
            state.leaving_since = None
        loaded = loaded_keys(report)
        if loaded != state.loaded:
            state.loaded = loaded
            self._join_groups(report.server_id, state)
        self._update(report.server_id, now)

    def note_peer_loads(self, peer_id, loads, now):
        """Store the ServerLoads of a peer's digest."""
        for load in loads:
            state = self._states_by_id.get(load.server_id)
            if state is None:
                continue
            state.note_peer(peer_id, load, now)
            # `leaving` is ignored here: it comes through ServerView, which
            # knows whether the server has returned since. If hosts took it
            # from digests, two of them would confirm it to each other without
            # end.
            # Only a change of `crashed` counts: a peer repeats its digest, and
            # a server that is half-open here must be able to recover.
            if load.crashed and peer_id not in state.ejected_by:
                self._ejector.note_peer_ejection(load.server_id, now)
            if load.crashed:
                state.ejected_by.add(peer_id)
            else:
                state.ejected_by.discard(peer_id)
            self._update(load.server_id, now)

    def note_peer_online(self, server_id, peer_id, online, now):
        """Store a peer's online requests that it sent ahead of its digest."""
        state = self._states_by_id.get(server_id)
        if state is not None:
            state.note_peer_online(peer_id, online, now)
            self._update(server_id, now)

    def may_have_batch(self, server_id, now):
        """Return True if batch streams may be running on a server."""
        state = self._states_by_id.get(server_id)
        if state is None:
            return False
        return state.own_batch > 0 or now - state.batch_seen_at < RECENT_BATCH_S

    def digest(self):
        """
        Return the ServerLoads of this host's own requests, for its peers.

        A server without load is left out after ZERO_LOAD_REPEATS digests.
        """
        loads = []
        for server_id, left in list(self._repeats_left_by_id.items()):
            state = self._states_by_id.get(server_id)
            if state is None or left == 0:
                del self._repeats_left_by_id[server_id]
                continue
            load = self._own_load(server_id, state)
            loads.append(load)
            if load == ServerLoad(server_id):
                self._repeats_left_by_id[server_id] = left - 1
        return loads

    def _own_load(self, server_id, state):
        return ServerLoad(
            server_id=server_id,
            online_in_flight=state.own_online,
            batch_in_flight=state.own_batch,
            leaving=state.leaving_since is not None,
            crashed=self._ejector.is_ejected_locally(server_id),
            reserved=state.reserved,
        )

    def _add_to_digest(self, server_id):
        self._repeats_left_by_id[server_id] = ZERO_LOAD_REPEATS

    def accepts_work(self, server_id):
        """Return True if new requests may be sent to a server."""
        state = self._states_by_id.get(server_id)
        return (
            state is not None
            and state.leaving_since is None
            and not state.reserved
            and server_id not in self._paused_until_by_id
            and not self._ejector.is_ejected_locally(server_id)
        )

    def is_leaving(self, server_id):
        """Return True for a server that is leaving or not declared."""
        state = self._states_by_id.get(server_id)
        return state is None or state.leaving_since is not None

    def online_load(self, server_id):
        """Return the estimated online requests of all hosts on a server."""
        state = self._states_by_id.get(server_id)
        return 0 if state is None else max(0, state.online)

    def own_online(self, server_id):
        """Return this host's online requests on a server."""
        state = self._states_by_id.get(server_id)
        return 0 if state is None else state.own_online

    def refresh(self, now):
        """End ejections and pauses that are over; drop stale reports."""
        for server_id in self._ejector.refresh(now):
            self._update(server_id, now)
        for server_id in [
            item for item, at in self._paused_until_by_id.items() if now >= at
        ]:
            del self._paused_until_by_id[server_id]
            self._update(server_id, now)
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_S
        for server_id, state in self._states_by_id.items():
            if state.drop_stale(now):
                self._update(server_id, now)

    def _choose_id(self, request, avoid):
        if request.only is not None:
            avoid = avoid | (self._states_by_id.keys() - request.only)
        # Among servers with the same model loaded, one in another failure
        # domain is used only if no local one qualifies.
        for group in self._groups(request):
            if request.prefix_hash is not None:
                server_id = group.choose_by_prefix(request.prefix_hash, avoid)
                if server_id is not None:
                    return server_id
            server_id = group.choose_by_load(self._random, self._load, avoid)
            if server_id is not None:
                return server_id
        return None

    def _groups(self, request):
        """
        Return the groups to try in order of preference.

        Servers with the adapter come before those with only the version, local
        ones before others. If no server has the version, all are considered.
        """
        version = (request.model, request.version)
        adapter = (*version, request.adapter)
        keys = [version] if self._is_loaded(version) else [()]
        if request.adapter and self._is_loaded(adapter):
            keys.insert(0, adapter)
        groups = [
            self._groups_by_key.get((is_local, key))
            for key in keys
            for is_local in (True, False)
        ]
        return [group for group in groups if group]

    def _is_loaded(self, key):
        return any(
            len(self._groups_by_key.get((is_local, key), ()))
            for is_local in (True, False)
        )

    def _make_choice(self, server_id):
        state = self._states_by_id[server_id]
        needed = state.online + state.batch + 1 + self.batch_reserve
        needed -= state.declaration.slots
        return Choice(state.declaration, max(0, min(1, needed, state.batch)))

    def _load(self, server_id):
        return self._states_by_id[server_id].online

    def _change_in_flight(self, server_id, now, change, batch):
        state = self._states_by_id.get(server_id)
        if state is None:
            return
        if batch:
            state.change_own(now, batch=change)
        else:
            state.change_own(now, online=change)
        self._add_to_digest(server_id)
        self._update(server_id, now)

    def _is_free(self, server_id, state, now):
        if state.leaving_since is not None or state.reserved or state.reserved_by:
            return False
        if self._paused_until_by_id.get(server_id, now) > now:
            return False
        health = self._ejector.health(server_id)
        if health == Health.EJECTED:
            return False
        if health == Health.HALF_OPEN and state.own_online:
            # A single request probes whether the server has recovered.
            return False
        return state.online < state.declaration.slots

    def _update(self, server_id, now):
        state = self._states_by_id.get(server_id)
        if state is None:
            return
        is_free = self._is_free(server_id, state, now)
        load = state.online
        for group in state.groups:
            group.set_server(server_id, load, is_free)

    def _join_groups(self, server_id, state):
        self._leave_groups(server_id, state)
        is_local = state.declaration.failure_domain == self.failure_domain
        keys = [(is_local, key) for key in [(), *sorted(state.loaded)]]
        state.groups = tuple(
            self._groups_by_key.setdefault(key, ServerGroup(key)) for key in keys
        )

    def _leave_groups(self, server_id, state):
        for group in state.groups:
            group.discard(server_id)
            if not len(group):
                del self._groups_by_key[group.key]
        state.groups = ()
