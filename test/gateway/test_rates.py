"""Tests of the request rates of tenants over several hosts."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.rate_fleet import DOMAINS, WINDOW_S, RateFleet, add_steps, steady
from galenascale.gateway.configuration import Tenant
from galenascale.gateway.rates.limits import RateLimit
from galenascale.gateway.rates.owner import rate_name
from galenascale.gateway.rates.share import DomainShare
from galenascale.generated.gateway_messages import (
    GatewaySettings,
    RateMessage,
    RateMessageKind,
)


@pytest.mark.parametrize("per_s", [1.25, 8.0, 48.0])
@pytest.mark.parametrize("one_domain", [False, True])
def test_steps_below_the_limit_are_not_refused(per_s, one_domain):
    """
    Pattern: the usual load of a tenant in steps, in all domains or in one.

    Its callers may all be in one failure domain, which then needs the tokens
    of the others.
    """
    fleet = RateFleet([steady("one", per_s)])
    add_steps(fleet, "one", per_s, 30, ["a0", "a1", "a2"] if one_domain else None)
    fleet.run(31)
    assert fleet.refused_below_limit("one") <= 0.001
    assert fleet.largest_window("one") <= fleet.limit("one")


@pytest.mark.parametrize("per_s", [1.25, 8.0, 48.0])
@pytest.mark.parametrize("one_domain", [False, True])
def test_hot_tenant_is_limited_and_gets_its_rate(per_s, one_domain):
    """Pattern: one tenant sends eight times its usual, others as always."""
    fleet = RateFleet([steady("hot", per_s), steady("calm", 8.0)])
    addresses = ["a0", "a1", "a2"] if one_domain else None
    fleet.load("hot", 8 * per_s, 20, 0.0, addresses)
    add_steps(fleet, "calm", 8.0, 18)
    fleet.run(21)
    assert fleet.largest_window("hot") <= fleet.limit("hot")
    assert len(fleet.granted["hot"]) >= 0.9 * 1.6 * per_s * 20
    assert fleet.refused_below_limit("calm") <= 0.001


@pytest.mark.parametrize("per_s", [1.25, 8.0, 48.0])
def test_hot_tenant_is_limited_on_both_sides_of_a_cut(per_s):
    """Pattern: a tenant at eight times its usual while a domain is cut off."""
    fleet = RateFleet([steady("hot", per_s)])
    fleet.load("hot", 8 * per_s, 24)
    fleet.run(6)
    fleet.cut = lambda one, other: (one[0] == "c") != (other[0] == "c")
    fleet.run(9)
    # The hosts notice that the others are silent.
    fleet.meet([address for address in fleet.hosts if address[0] == "c"])
    fleet.meet([address for address in fleet.hosts if address[0] != "c"])
    fleet.run(14)
    fleet.cut = lambda _one, _other: False
    fleet.meet(fleet.hosts)
    fleet.run(25)
    assert fleet.largest_window("hot") <= fleet.limit("hot")


@pytest.mark.parametrize("per_s", [1.25, 8.0, 48.0])
def test_usual_load_passes_in_a_cut_domain(per_s):
    """Pattern: callers spread over domains, of which one is cut off."""
    fleet = RateFleet([steady("one", per_s)])
    add_steps(fleet, "one", per_s, 24)
    fleet.run(6)
    fleet.cut = lambda one, other: (one[0] == "c") != (other[0] == "c")
    fleet.run(25)
    assert fleet.refused_below_limit("one") <= 0.03


@pytest.mark.parametrize("per_s", [1.25, 8.0, 48.0])
def test_hot_tenant_is_limited_when_all_hosts_restart(per_s):
    """Pattern: all hosts are killed at once while a tenant sends too much."""
    fleet = RateFleet([steady("hot", per_s)])
    fleet.load("hot", 8 * per_s, 24)
    for moment in (6, 12):
        fleet.run(moment)
        addresses = list(fleet.hosts)
        fleet.hosts.clear()
        fleet.run(moment + 1)
        for address in addresses:
            fleet.start(address)
        fleet.meet(fleet.hosts)
    fleet.run(25)
    assert fleet.largest_window("hot") <= fleet.limit("hot")


@pytest.mark.parametrize("hot", [False, True])
def test_owners_change_as_hosts_stop_and_are_added(hot):
    """Pattern: many hosts are added, then hosts stop one after the other."""
    per_s = 48.0
    fleet = RateFleet([steady("one", per_s)])
    fleet.load("one", (8 if hot else 1) * per_s, 24)
    fleet.run(6)
    for domain in DOMAINS:
        for number in range(3, 9):
            fleet.start(f"{domain}{number}")
    fleet.meet(fleet.hosts)
    for second, address in enumerate(sorted(fleet.hosts)[:18]):
        fleet.run(7 + second)
        fleet.hosts[address].ownership.stop_owning()
        fleet.hosts[address].owner.hand_over(fleet.clock.now)
        fleet.meet([other for other in fleet.hosts if other != address])
        fleet.run(7.5 + second)
        del fleet.hosts[address]
    fleet.run(25)
    assert fleet.largest_window("one") <= fleet.limit("one")
    if not hot:
        assert fleet.refused_below_limit("one") <= 0.02


@pytest.mark.parametrize(
    ("before", "after"),
    [(50.0, 5.0), (5.0, 50.0), (0.0, 5.0), (50.0, 0.0)],
)
def test_limit_changes_while_a_tenant_sends(before, after):
    """Pattern: limits are lowered far below the load, raised, set, lifted."""
    fleet = RateFleet([Tenant("one", requests_per_s=before, burst=before)])
    fleet.load("one", 60.0, 20)
    fleet.run(8)
    fleet.set_tenants([Tenant("one", requests_per_s=after, burst=after)])
    fleet.run(21)
    later = [time for time in fleet.granted["one"] if time > 8 + WINDOW_S]
    fleet.granted["one"] = later
    if after:
        assert fleet.largest_window("one") <= fleet.limit("one")
    # From 13 s to 20 s.
    assert len(later) >= 0.8 * 7 * min(60.0, after or 60.0)


def test_refused_requests_are_told_different_times():
    """Pattern: a tenant beyond its limit, whose callers return as told."""
    limit = RateLimit(30.0, 30.0, WINDOW_S, 0.1, 20.0, 3)
    share = DomainShare.start(limit, 0.0)
    while share.take(limit, 0.0):
        pass
    waits = [share.promise(limit, 0.0) for _ in range(10)]
    assert waits[0] <= 0.1
    assert all(0.09 < later - one < 0.11 for one, later in itertools.pairwise(waits))


def test_message_repeated_or_late_counts_once():
    """Guards tokens against second copies of questions and loans."""
    fleet = RateFleet([steady("one", 8.0)])
    address = fleet.hosts["a0"].ownership.owner(rate_name("one"), "a", 0.0)
    owner = fleet.hosts[address].owner
    owner.receive(
        RateMessage(kind=RateMessageKind.ASK, tenant="one", number=5), "a9", 0
    )
    owned = owner._owned_by_tenant["one"]
    tokens = owned.share.bucket.tokens
    owner.receive(
        RateMessage(kind=RateMessageKind.ASK, tenant="one", number=5), "a9", 0
    )
    assert owned.share.bucket.tokens == tokens
    for number in (owned.loan_number, owned.loan_number + 7):
        owner.receive(
            RateMessage(
                kind=RateMessageKind.LEND, tenant="one", number=number, millitokens=9000
            ),
            "nobody",
            0,
        )
    assert owned.share.bucket.tokens == tokens


@pytest.mark.parametrize("kind", [0, 1, 2, 3, 4, 77])
def test_invalid_message_does_no_harm(kind):
    """Guards owners against broken messages and those of other versions."""
    fleet = RateFleet([steady("one", 8.0)])
    for message in (
        RateMessage(kind=kind),
        RateMessage(kind=kind, tenant="one", number=-1, millitokens=-(1 << 31)),
        RateMessage(kind=kind, tenant="nobody", number=1 << 62, wait_ms=-5),
    ):
        for host in fleet.hosts.values():
            host.owner.receive(message, "nowhere", 0.0)
    fleet.ask("a0", "one")
    fleet.run(0.5)
    assert len(fleet.granted["one"]) == 1


def test_suspended_owner_gives_up_what_it_collected():
    """Guards the limit against an owner that wakes after a substitute."""
    fleet = RateFleet([steady("one", 48.0)])
    owner = next(iter(fleet.hosts.values())).owner
    limit = owner._limit("one")
    owner.tick(0.0)
    owned = owner._get_or_create("one", limit, 0.0)
    owner.tick(4.0)
    assert owned.share.bucket.tokens <= limit.start_tokens


@settings(max_examples=25, deadline=None)
@given(
    seed=st.integers(0, 1 << 16),
    per_s=st.sampled_from([1.0, 6.0, 40.0]),
    burst=st.sampled_from([0.0, 1.0, 40.0]),
    steps=st.lists(
        st.sampled_from(["cut", "heal", "restart", "pause", "add", "run"]), max_size=8
    ),
)
def test_no_window_exceeds_the_limit(seed, per_s, burst, steps):
    """Plays cuts, restarts and pauses in any order, beyond the limit."""
    fleet = RateFleet([Tenant("one", requests_per_s=per_s, burst=burst)], seed=seed)
    fleet.load("one", 6 * per_s + 4, 3.0 * len(steps) + 6)
    fleet.run(3)
    for step in steps:
        rng = fleet.rng
        domain = rng.choice(DOMAINS)
        victim = rng.choice(sorted(fleet.hosts))
        if step == "cut":
            fleet.cut = lambda one, other, d=domain: (one[0] == d) != (other[0] == d)
        elif step == "heal":
            fleet.cut = lambda _one, _other: False
        elif step == "restart":
            fleet.start(victim)
            fleet.meet(fleet.hosts)
        elif step == "pause":
            host = fleet.hosts.pop(victim)
            fleet.meet(fleet.hosts)
            fleet.run(fleet.clock.now + 2.5)
            fleet.hosts[victim] = host
            fleet.meet(fleet.hosts)
        elif step == "add" and len(fleet.hosts) < 15:
            fleet.start(f"{domain}{len(fleet.hosts)}")
            fleet.meet(fleet.hosts)
        fleet.run(fleet.clock.now + 3)
    assert fleet.largest_window("one") <= fleet.limit("one")


def test_settings_divide_the_limit_of_a_fleet_without_domains():
    """Guards settings that name no failure domains."""
    limit = RateLimit.from_config(
        Tenant("one", requests_per_s=3.0, burst=3.0), GatewaySettings()
    )
    assert limit.domain_rate == 3.0
