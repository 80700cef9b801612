"""The planner on simulated servers."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale.generated.messages import PlacementSettings
from galenascale.placement import Action, Order, Planner, ServerFacts, VersionKey
from galenascale.placement.facts import VersionNeed
from galenascale.placement.replicas import ReplicaCounts

SETTINGS = PlacementSettings(load_after_s=2.0, unload_after_s=20.0)
KEYS = [VersionKey("m", "v1"), VersionKey("m", "v2"), VersionKey("n", "v1")]
OLD = VersionKey("old", "v1")


def need(key, size=100, replicas=0, adapters=()):
    return VersionNeed(key, size, adapters, replicas)


def server(server_id, memory=250, domain="", held=(), **more):
    held = {key: frozenset() for key in held}
    domain = domain or "abc"[int(server_id[1:]) % 3]
    return ServerFacts(server_id, domain, memory, adapters_by_key=held, **more)


def carry_out(facts, order):
    """Return the facts of a server after an order."""
    adapters = dict(facts.adapters_by_key)
    if order.action == Action.SET_ROLE:
        return attrs.evolve(facts, role=order.name)
    if order.action == Action.LOAD_MODEL:
        adapters[order.key] = frozenset()
    elif order.action == Action.UNLOAD_MODEL:
        del adapters[order.key]
    elif order.action == Action.LOAD_ADAPTER:
        adapters[order.key] |= {order.name}
    else:
        adapters[order.key] -= {order.name}
    return attrs.evolve(facts, adapters_by_key=adapters)


class Fleet:
    """Servers whose hosts plan with views that may be old."""

    def __init__(self, needs, servers, hosts=1):
        self.needs, self.now = needs, 0.0
        self.servers = {item.server_id: item for item in servers}
        self.planners = [Planner(SETTINGS) for _ in range(hosts)]
        self.views = [dict(self.servers) for _ in range(hosts)]
        self.given = []

    def round(self, step_s=1.0, fresh=lambda host, server_id: True):
        """Let each host plan with its view and order on its own servers."""
        self.now += step_s
        for host, planner in enumerate(self.planners):
            view = self.views[host]
            view.update((k, v) for k, v in self.servers.items() if fresh(host, k))
            own = sorted(self.servers)[host :: len(self.planners)]
            planner.plan(self.now, self.needs, view.values(), own)
            for server_id in planner.due_ids(self.now):
                while order := planner.next_order(self.now, self.servers[server_id]):
                    self.carry_out(server_id, order)

    def carry_out(self, server_id, order):
        before = self.holders()
        self.servers[server_id] = carry_out(self.servers[server_id], order)
        self.given.append((self.now, server_id, order))
        assert self.used(server_id) <= self.servers[server_id].memory_bytes
        declared = {item.key for item in self.needs}
        lost = {key for key in before & declared if key not in self.holders()}
        assert not lost, f"{order} on {server_id} unloads the last of {lost}"

    def holders(self):
        return {
            key
            for item in self.servers.values()
            if item.usable
            for key in item.adapters_by_key
        }

    def used(self, server_id):
        sizes = {item.key: item for item in self.needs}
        return sum(
            sizes[key].weight_bytes + sizes[key].adapter_bytes * len(adapters)
            for key, adapters in self.servers[server_id].adapters_by_key.items()
            if key in sizes
        )

    def run(self, rounds=200, **kwargs):
        for _ in range(rounds):
            self.round(**kwargs)
        return self.given


@st.composite
def fleets(draw):
    """Draw needs and servers, some of which already hold versions."""
    needs = [
        need(
            key,
            draw(st.sampled_from([60, 100, 150])),
            draw(st.integers(0, 4)),
            draw(st.sampled_from([(), ("x",), ("x", "y")])),
        )
        for key in KEYS[: draw(st.integers(1, 3))]
    ]
    sizes = {item.key: item.weight_bytes for item in needs}
    servers = []
    for number in range(draw(st.integers(1, 7))):
        memory = draw(st.sampled_from([120, 250, 400]))
        held = [key for key in sizes if draw(st.booleans())]
        while sum(sizes[key] for key in held) > memory:
            held.pop()
        role = draw(st.sampled_from(["mixed", "decode"]))
        usable = draw(st.integers(0, 5)) > 0
        servers.append(
            server(f"s{number}", memory, held=held, role=role, usable=usable)
        )
    return needs, servers


@given(fleets(), st.integers(1, 3))
def test_plans_converge_within_memory_and_stay(fleet, hosts):
    """Guards against overfull servers, lost versions and flapping."""
    fleet = Fleet(*fleet, hosts)
    fleet.run()
    settled = len(fleet.given)
    # Bounded work: each version is loaded at most twice on a server.
    assert settled <= 2 * len(fleet.servers) * (3 * len(fleet.needs) * 2 + 1)
    fleet.run(rounds=100, step_s=5.0)
    assert len(fleet.given) == settled, fleet.given[settled:]
    usable = [item for item in fleet.servers.values() if item.usable]
    assert all(item.role == item.wanted_role for item in usable)
    roomy = usable and min(item.memory_bytes for item in usable) >= sum(
        item.total_bytes for item in fleet.needs
    )
    for item in fleet.needs if roomy else ():
        held = [facts for facts in usable if facts.holds(item.key)]
        assert len(held) == min(item.replicas or len(usable), len(usable))
        assert all(f.adapters_by_key[item.key] == set(item.adapters) for f in held)
        counts = {facts.failure_domain: 0 for facts in usable}
        totals = dict(counts)
        for facts in usable:
            totals[facts.failure_domain] += 1
            counts[facts.failure_domain] += facts.holds(item.key)
        open_domains = [d for d in counts if counts[d] < totals[d]]
        assert all(max(counts.values()) - counts[d] <= 1 for d in open_domains)


@given(fleets(), st.integers(2, 4), st.randoms(use_true_random=False))
def test_hosts_with_old_views_never_unload_the_last_holder(fleet, hosts, random):
    """Guards the order of holders, which hosts with any views agree on."""
    fleet = Fleet(*fleet, hosts)
    for _ in range(40):
        fresh = {
            (host, server_id): random.random() < 0.4
            for host in range(hosts)
            for server_id in fleet.servers
        }
        fleet.round(11.0, lambda *item, fresh=fresh: fresh[item])


def test_a_starving_version_displaces_a_replica_of_another_one():
    """Guards against a version that never gets room beside full servers."""
    servers = [server(f"s{i}", 120, held=[KEYS[0]]) for i in range(3)]
    fleet = Fleet([need(KEYS[0]), need(KEYS[1])], servers)
    actions = [(now, order.action) for now, _, order in fleet.run()]
    assert actions == [(3.0, Action.UNLOAD_MODEL), (3.0, Action.LOAD_MODEL)]


@pytest.mark.parametrize(
    ("needs", "held", "expected_at", "order"),
    [
        # No holder at all is served at once, another replica after a while.
        ([need(KEYS[0])], [], 1.0, Order(Action.LOAD_MODEL, KEYS[0], size_bytes=100)),
        # What is not declared any more goes late: streams may still run.
        ([], [OLD], 21.0, Order(Action.UNLOAD_MODEL, OLD)),
        (
            [need(KEYS[0], 100, 0, ("x",))],
            [KEYS[0]],
            3.0,
            Order(Action.LOAD_ADAPTER, KEYS[0], "x", 2),
        ),
    ],
)
def test_orders_wait_for_their_time(needs, held, expected_at, order):
    """Guards the hysteresis of each kind of order."""
    fleet = Fleet(needs, [server("s0", held=held)])
    assert fleet.run()[0] == (expected_at, "s0", order)


def test_a_short_need_gives_no_order():
    """Guards against orders for a server that is away for a moment."""
    servers = [server("s0", held=KEYS[:1]), server("s1", memory=100)]
    fleet = Fleet([need(KEYS[0], replicas=1)], servers)
    for usable in (True, False, True, True, True, True):
        fleet.servers["s0"] = attrs.evolve(fleet.servers["s0"], usable=usable)
        fleet.views[0] = dict(fleet.servers)
        fleet.planners[0].plan(fleet.now, fleet.needs, fleet.servers.values())
        # Lost for one plan only: a load is ordered only if nobody holds it.
        due = fleet.planners[0].due_ids(fleet.now)
        assert due == ([] if usable else ["s1"])
        fleet.now += 1.0


@given(st.integers(1, 4), st.floats(0, 100), st.integers(1, 9))
def test_constant_demand_does_not_flap(declared, demand, servers):
    """Guards the gap between the bounds for adding and dropping a replica."""
    counts, seen = ReplicaCounts(), []
    for step in range(400):
        args = (10.0 * step, KEYS[0], declared, demand, 8, servers)
        seen.append(counts.count(*args))
    changes = [b - a for a, b in zip(seen, seen[1:], strict=False) if a != b]
    assert all(change == 1 for change in changes)
    assert seen[-1] <= max(declared, servers)
    assert demand <= 0.8 * 8 * seen[-1] or seen[-1] >= servers
    final = [
        counts.count(10.0 * s, KEYS[0], declared, 0, 8, servers)
        for s in range(400, 1000)
    ][-1]
    assert final == declared
