"""Routing: capacity, leaving, reservations, affinity, domains, versions."""

import random
import re
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

import galenascale
from galenascale.generated.messages import (
    BackendServerDeclaration,
    ModelVersion,
    ServerLoad,
)
from galenascale.requests import ServerReport
from galenascale.routing import RetryBudget, Router, RouteRequest, choose_version
from galenascale.routing.ejection import MAX_EJECTED_SHARE, Ejector
from galenascale.routing.load import LEAVING_HOLD_S, STALE_S
from galenascale.routing.server_group import ServerGroup


def make_router(count, slots=4, domains=("d1", "d2"), seed=1):
    router = Router("d1", random.Random(seed))
    servers = [
        BackendServerDeclaration(
            name=f"s{i}", failure_domain=domains[i % len(domains)], slots=slots
        )
        for i in range(count)
    ]
    router.set_servers(servers, 0.0)
    return router


def report(server_id, at, **fields):
    return ServerReport(server_id, at_ms=int(at * 1000), **fields)


class RouterMachine(RuleBasedStateMachine):
    """Guards against choices of full, leaving, reserved or avoided servers."""

    def __init__(self):
        super().__init__()
        self.router = make_router(6, slots=2)
        self.now = 1.0
        self.own, self.leaving, self.reserved = Counter(), {}, set()
        self.peer = dict.fromkeys((f"s{i}" for i in range(6)), (0, -10.0))

    servers = st.sampled_from([f"s{i}" for i in range(6)])

    def free_slots(self, server_id):
        peer, at = self.peer[server_id]
        fresh = self.now - at < STALE_S
        others = peer if fresh else 0
        return 2 - self.own[server_id] - others

    @rule(
        avoid=st.frozensets(servers, max_size=3),
        only=st.none() | st.frozensets(servers, max_size=3),
        prefix=st.none() | st.integers(0, 2**64 - 1),
    )
    def dispatch(self, avoid, only, prefix):
        request = RouteRequest("m", prefix_hash=prefix, avoid=avoid, only=only)
        choice = self.router.choose(request, self.now)
        usable = {
            item
            for item in self.peer
            if self.free_slots(item) > 0
            and item not in self.leaving
            and item not in self.reserved
            and (only is None or item in only)
        }
        if choice is None:
            # Peers' digests may be dropped up to a second late.
            assert all(self.peer[item][0] for item in usable)
            return
        server_id = choice.server.name
        assert server_id in usable
        assert server_id not in avoid or not usable - avoid
        self.router.note_started(server_id, self.now)
        self.own[server_id] += 1

    @rule(server_id=servers)
    def end(self, server_id):
        if self.own[server_id]:
            self.router.note_ended(server_id, self.now)
            self.own[server_id] -= 1

    @rule(server_id=servers, count=st.integers(0, 2))
    def peer_digest(self, server_id, count):
        load = ServerLoad(server_id=server_id, online_in_flight=count)
        self.router.note_peer_loads("h2", [load], self.now)
        self.peer[server_id] = (count, self.now)

    @rule(server_id=servers, lag=st.floats(0.0, 3.0), leaving=st.booleans())
    def load_report(self, server_id, lag, leaving):
        at = self.now - lag
        self.router.note_load_report(
            report(server_id, at, leaving=leaving), self.now, int(self.now * 1000)
        )
        if leaving:
            self.leaving.setdefault(server_id, self.now)
        elif at >= self.leaving.get(server_id, 1e9) + LEAVING_HOLD_S:
            del self.leaving[server_id]

    @rule()
    def reserve(self):
        server_id = self.router.reserve(RouteRequest(), self.now)
        if server_id is not None:
            assert server_id not in self.reserved and server_id not in self.leaving
            self.reserved.add(server_id)

    @rule(server_id=servers)
    def release(self, server_id):
        self.router.release(server_id, self.now)
        self.reserved.discard(server_id)

    @rule(seconds=st.sampled_from([0.01, 0.5, 2.0, 12.0]))
    def advance(self, seconds):
        self.now += seconds


TestRouterMachine = RouterMachine.TestCase


@given(
    own_before=st.integers(0, 4), own_after=st.integers(0, 4), others=st.integers(0, 4)
)
def test_lagged_report_does_not_count_own_requests_twice(own_before, own_after, others):
    router = make_router(1, slots=100)
    for _ in range(own_before):
        router.note_started("s0", 1.0)
    for _ in range(own_after):
        router.note_started("s0", 1.4)
    load_report = report("s0", 1.2, running=own_before + others)
    router.note_load_report(load_report, 1.5, 1500)
    capacity = 0
    while router.choose(RouteRequest(), 1.5):
        router.note_started("s0", 1.5)
        capacity += 1
    assert capacity == 100 - own_before - own_after - others


def test_other_domains_are_used_when_the_own_domain_is_full():
    router = make_router(4, slots=2)
    chosen = []
    while choice := router.choose(RouteRequest(prefix_hash=7), 0.0):
        router.note_started(choice.server.name, 0.0)
        chosen.append(choice.server.failure_domain)
    assert chosen == ["d1"] * 4 + ["d2"] * 4


def test_power_of_two_choices_keeps_loads_close():
    router = make_router(48, slots=1000, domains=("d1",))
    for _ in range(48 * 50):
        router.note_started(router.choose(RouteRequest(), 0.0).server.name, 0.0)
    loads = [load.online_in_flight for load in router.digest()]
    assert max(loads) - min(loads) <= 8


@given(prefixes=st.lists(st.integers(0, 5), min_size=1, max_size=60))
def test_prefix_stays_on_its_server_until_the_load_bound(prefixes):
    router = make_router(8, slots=50, domains=("d1",))
    for prefix in prefixes:
        request = RouteRequest(prefix_hash=prefix)
        router.note_started(router.choose(request, 0.0).server.name, 0.0)
    loads = [load.online_in_flight for load in router.digest()]
    assert max(loads) <= 1.25 * (len(prefixes) / 8) + 2
    for load in router.digest():
        for _ in range(load.online_in_flight):
            router.note_ended(load.server_id, 0.0)
    request = RouteRequest(prefix_hash=prefixes[0])
    assert len({router.choose(request, 0.0).server.name for _ in range(9)}) == 1


def test_rendezvous_moves_only_prefixes_of_a_removed_server():
    group = ServerGroup("g")
    for number in range(10):
        group.set_server(f"s{number}", 0, True)
    before = [group.choose_by_prefix(prefix, ()) for prefix in range(300)]
    group.discard("s3")
    after = [group.choose_by_prefix(prefix, ()) for prefix in range(300)]
    moved = [old for old, new in zip(before, after, strict=True) if old != new]
    assert moved and set(moved) == {"s3"}


@pytest.mark.parametrize(
    ("adapter", "expected"), [("", {"s1", "s2"}), ("ad", {"s2"}), ("new", {"s1", "s2"})]
)
def test_servers_that_hold_the_version_and_adapter_are_preferred(adapter, expected):
    router = make_router(4)
    for server_id, adapters in (("s1", {}), ("s2", {"m": ("ad",)})):
        load_report = report(
            server_id, 0.0, models=(("m", "v"),), adapters_by_model=adapters
        )
        router.note_load_report(load_report, 0.0, 0)
    request = RouteRequest("m", "v", adapter)
    chosen = set()
    for _ in range(6):
        server_id = router.choose(request, 0.0).server.name
        router.note_started(server_id, 0.0)
        chosen.add(server_id)
        if len(expected) == 1 and len(chosen) == 1 and adapter == "ad":
            router.note_ended(server_id, 0.0)
    assert chosen == expected


def test_batch_streams_do_not_count_as_online_work():
    """Guards against batch or ended requests in lagging reports."""
    owner, other = make_router(1, slots=8), make_router(1, slots=8)
    for _ in range(5):
        owner.note_started("s0", 1.0, batch=True)
    load_report = report("s0", 1.2, running=6)
    for router in (owner, other):
        load = ServerLoad("s0", online_in_flight=1, batch_in_flight=0)
        router.note_peer_loads("h2", [load], 1.2)
    other.note_peer_loads("h1", owner.digest(), 1.3)
    for _ in range(5):
        owner.note_ended("s0", 1.4, batch=True)
    other.note_peer_loads("h1", owner.digest(), 1.5)
    for router in (owner, other):
        router.note_load_report(load_report, 1.7, 1700)
        assert router.online_load("s0") == 1
        router.note_peer_online("s0", "h2", 3, 1.8)
        assert router.online_load("s0") == 3
    # Batch may have started again before a digest reports it.
    assert other.may_have_batch("s0", 9.0) and not other.may_have_batch("s0", 60.0)


def test_batch_on_the_last_free_slot_is_preempted():
    router = make_router(1, slots=3)
    for _ in range(2):
        router.note_started("s0", 0.0, batch=True)
    assert router.choose(RouteRequest(), 0.0).batch_slots_to_free == 0
    router.note_started("s0", 0.0)
    assert router.choose(RouteRequest(), 0.0).batch_slots_to_free == 1


@given(
    events=st.lists(
        st.tuples(st.integers(0, 7), st.sampled_from(["ok", "fail", "down", "hint"]))
    ),
    count=st.integers(1, 8),
)
def test_ejections_stay_within_the_share_and_every_server_returns(events, count):
    ejector, now = Ejector(), 0.0
    ejector.set_servers([str(number) for number in range(count)])
    for number, event in events:
        now += 0.1
        server_id = str(number % count)
        if event == "ok":
            ejector.record_success(server_id)
        elif event == "hint":
            ejector.note_peer_ejection(server_id, now)
        else:
            ejector.record_failure(server_id, now, decisive=event == "down")
        assert len(ejector.ejected()) <= count * MAX_EJECTED_SHARE
        ejector.refresh(now)
    ejector.refresh(now + 31.0)
    assert not ejector.ejected()


def test_half_open_server_gets_one_request_until_it_serves_it():
    router = make_router(2, slots=8)
    router.note_failure("s0", 0.0, decisive=True)
    assert router.choose(RouteRequest(), 0.4).server.name == "s1"
    assert router.choose(RouteRequest(), 0.6).server.name == "s0"
    router.note_started("s0", 0.6)
    assert router.choose(RouteRequest(), 0.7).server.name == "s1"
    router.note_success("s0", 0.8)
    assert router.choose(RouteRequest(), 0.8).server.name == "s0"


def test_repeated_digests_of_an_ejecting_peer_do_not_extend_an_ejection():
    router = make_router(2)
    for step in range(20):
        load = ServerLoad(server_id="s0", crashed=True)
        router.note_peer_loads("h2", [load], step * 0.25)
        # An ejection learned from a peer is not passed on, or two hosts would
        # confirm it to each other.
        assert not any(load.crashed for load in router.digest())
    assert router.choose(RouteRequest(), 5.0).server.name == "s0"


@given(weights=st.lists(st.integers(0, 20), min_size=1, max_size=4))
def test_versions_get_shares_by_weight_and_requests_keep_their_version(weights):
    versions = [ModelVersion(str(i), weight) for i, weight in enumerate(weights)]
    chosen = Counter(choose_version(f"r{i}", versions) for i in range(500))
    for version in versions:
        if sum(weights):
            share = version.weight / sum(weights)
            assert abs(chosen[version.name] - 500 * share) <= 60
            assert chosen[version.name] == 0 or version.weight
    assert choose_version("r1", versions) == choose_version("r1", list(versions))


@given(events=st.lists(st.booleans(), max_size=400))
def test_retries_stay_within_burst_and_share(events):
    budget, requests, retries = RetryBudget(0.2), 0, 0
    for is_request in events:
        if is_request:
            budget.deposit()
            requests += 1
        else:
            retries += budget.try_withdraw()
        assert retries <= 64 + 0.2 * requests + 1e-6


def test_server_reserved_by_a_peer_is_not_chosen_until_the_peer_is_stale():
    router = make_router(1)
    router.note_peer_loads("h2", [ServerLoad(server_id="s0", reserved=True)], 0.0)
    assert router.choose(RouteRequest(), 0.5) is None
    assert router.choose(RouteRequest(), STALE_S + 1.5).server.name == "s0"


@pytest.mark.parametrize("module", ["admission", "poison", "rate_limit", "routing"])
def test_decision_modules_use_no_clock_and_no_io(module):
    root = Path(galenascale.__file__).parent
    files = [root / f"{module}.py", *(root / module).glob("*.py")]
    sources = [file.read_text() for file in files if file.exists()]
    pattern = r"^\s*(import|from) (asyncio|aiohttp|time|random|galenascale\.clock)\b"
    assert sources
    assert not any(re.search(pattern, source, re.MULTILINE) for source in sources)
