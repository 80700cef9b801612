"""Fair shares of slots: loads of many tenants, and the division itself."""

import json
import math
import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.tenant_slots import (
    FLEETS,
    HOT_TENANTS,
    SIXTY_ONE_HOSTS,
    TenantLoad,
    in_time_shares,
    run_tenants,
)
from galenascale.errors import UserError
from galenascale.gateway.settings import load_gateway_settings
from galenascale.gateway.slots.decisions import (
    FreeSlots,
    Grant,
    PoolServer,
    Queued,
    Refused,
)
from galenascale.gateway.slots.pool import LEASE_S, SlotPool
from galenascale.gateway.slots.run_times import MIN_RUNS_FOR_FORECAST
from galenascale.gateway.slots.runs import Run
from galenascale.gateway.slots.tenant_shares import (
    MAX_REPORTED_TENANTS,
    NO_TENANT,
    WEIGHT_RANGE,
    TenantShares,
    fair_level,
    largest_users,
    tenant_key,
    weights_by_key,
)
from galenascale.gateway.slots.wait_queue import SlotRequest
from test.gateway.fleet import GatewayFleet

HOT, ORDINARY = 1, 2
# Largest loss of the share in time of a tenant beside hot ones; the target.
MAX_LOSS = 0.02


def make_pool(slots=4):
    """Return a pool of one server."""
    pool = SlotPool(random.Random(7))
    pool.set_servers([PoolServer(1, slots)])
    return pool


def request_of(tenant, number, now=0.0, **fields):
    """Return a request of a tenant that may start within a second."""
    fields.setdefault("start_by", now + 1.0)
    return SlotRequest(f"host of {tenant}", number, tenant=tenant, **fields)


def learn_run_time(pool, seconds):
    """Let a pool see runs of a length, so that it can forecast waits."""
    for number in range(MIN_RUNS_FOR_FORECAST):
        pool.submit(SlotRequest("a", 1000 + number, start_by=math.inf), 0.0)
        pool.end(("a", 1000 + number), seconds)


def numbers_of(decisions, kind):
    """Return the numbers of the requests with a kind of decision."""
    return [item.request.number for item in decisions if isinstance(item, kind)]


@pytest.mark.parametrize("fleet", FLEETS[1:], ids=lambda fleet: fleet.name)
def test_hot_tenants_take_only_what_others_leave(fleet):
    """
    Pattern: four of 73 tenants send 5 and 7 times their usual.

    The queue was in order of the start times alone, so that one tenant in ten
    requests of the others was late or refused.
    """
    usual = run_tenants(fleet, TenantLoad())
    totals = run_tenants(fleet, TenantLoad(times_by_tenant=HOT_TENANTS))
    others = totals.keys() - HOT_TENANTS.keys()
    before, after = in_time_shares(usual, others), in_time_shares(totals, others)
    assert all(after[tenant] >= before[tenant] - MAX_LOSS for tenant in others)
    # Nothing is left idle for it.
    used = sum(tenant.slot_s for tenant in totals.values()) / fleet.length_s
    assert used >= 0.98 * fleet.servers * fleet.slots


def test_pools_together_divide_as_one_pool_would():
    """Compares three pools and their reports with one pool of all slots."""
    load = TenantLoad(times_by_tenant=HOT_TENANTS)
    apart = run_tenants(SIXTY_ONE_HOSTS, load)
    central = run_tenants(attrs.evolve(SIXTY_ONE_HOSTS, domains=1), load)
    slots = SIXTY_ONE_HOSTS.servers * SIXTY_ONE_HOSTS.slots
    for tenant, totals in apart.items():
        difference_s = abs(totals.slot_s - central[tenant].slot_s)
        # One slot of a pool in twenty of the tenant's, and one in rounding.
        bound = 1.0 + slots / SIXTY_ONE_HOSTS.domains / 20
        assert difference_s / SIXTY_ONE_HOSTS.length_s <= bound


def test_requests_within_the_share_precede_those_beyond():
    """Pattern: a tenant fills a pool, and its next requests came first."""
    pool = make_pool(slots=4)
    for number in range(8):
        pool.submit(request_of(HOT, number), 0.0)
    pool.submit(request_of(ORDINARY, 20, start_by=3.0), 0.0)
    pool.submit(request_of(ORDINARY, 21, start_by=4.0), 0.0)
    order = []
    for number in range(4):
        order += numbers_of(pool.end((f"host of {HOT}", number), 0.1), Grant)
    assert order[:2] == [20, 21]
    assert order[2:] == [4, 5]


def test_requests_beyond_the_share_are_refused_for_others():
    """Pattern: those who wait are late, as others now come before them."""
    pool = make_pool(slots=2)
    learn_run_time(pool, 0.5)
    decisions = []
    for number in range(5):
        request = request_of(HOT, number, now=1.0, refusable=True, start_by=1.8)
        decisions += pool.submit(request, 1.0)
    assert numbers_of(decisions, Queued) == [2, 3, 4]
    decisions = []
    for number in range(20, 22):
        request = request_of(ORDINARY, number, now=1.0, refusable=True, start_by=1.8)
        decisions += pool.submit(request, 1.0)
    assert numbers_of(decisions, Grant) == []
    refused = [item for item in decisions if isinstance(item, Refused)]
    # One for each that comes before them, the last one first.
    assert [item.request.number for item in refused] == [4, 3]
    assert all(item.beyond_share for item in refused)


def test_idle_share_is_lent_and_back_as_runs_end():
    """A tenant alone gets all slots, and gives half of them back."""
    pool = make_pool(slots=4)
    granted = []
    for number in range(6):
        granted += numbers_of(pool.submit(request_of(HOT, number), 0.0), Grant)
    assert granted == [0, 1, 2, 3]
    for number in range(20, 26):
        pool.submit(request_of(ORDINARY, number), 0.0)
    order = []
    for number in range(4):
        order += numbers_of(pool.end((f"host of {HOT}", number), 0.1), Grant)
    assert order == [20, 21, 4, 5]


def test_slots_in_other_pools_count():
    """Pattern: a tenant that fills the other pools wants this one too."""
    pool = make_pool(slots=2)
    learn_run_time(pool, 0.5)
    report = FreeSlots(0, 0, 0, slots_by_tenant={HOT: 10})
    pool.update_free_slots(77, report, 1.0)
    pool.submit(request_of(ORDINARY, 1, 1.0), 1.0)
    pool.submit(request_of(3, 2, 1.0), 1.0)
    pool.submit(request_of(HOT, 3, 1.0, start_by=1.5), 1.0)
    pool.submit(request_of(ORDINARY, 4, 1.0, start_by=1.9), 1.0)
    assert numbers_of(pool.end(("host of 3", 2), 1.1), Grant) == [4]


def test_cut_off_pool_forgets_the_slots_of_others():
    """A pool whose reports end divides its own slots only."""
    pool = make_pool(slots=2)
    pool.update_free_slots(77, FreeSlots(0, 0, 0, slots_by_tenant={HOT: 10}), 0.0)
    pool.submit(request_of(ORDINARY, 1), 0.0)
    pool.submit(request_of(3, 2), 0.0)
    pool.tick(1.0)
    pool.submit(request_of(HOT, 3, 1.0, start_by=1.5), 1.0)
    pool.submit(request_of(ORDINARY, 4, 1.0, start_by=1.9), 1.0)
    assert numbers_of(pool.end(("host of 3", 2), 1.1), Grant) == [3]


def test_next_owner_learns_the_slots_of_tenants():
    """An owner is lost while one tenant holds all slots."""
    successor = make_pool(slots=2)
    for number in range(2):
        run = Run("h", number, 1, False, 1.0, 0.0, 0.0, tenant=HOT)
        successor.record_run(run, 0.0, new=False)
    successor.submit(request_of(HOT, 3, start_by=0.5), 0.0)
    successor.submit(request_of(ORDINARY, 4, start_by=0.9), 0.0)
    assert numbers_of(successor.end(("h", 0), 0.1), Grant) == [4]


def test_tenant_of_a_lost_host_gets_its_share_back():
    """Slots whose host no longer renews them count for nobody."""
    pool = make_pool(slots=2)
    for number in range(2):
        pool.submit(request_of(HOT, number), 0.0)
    pool.submit(request_of(HOT, 3, start_by=9.0), LEASE_S)
    grants = numbers_of(pool.tick(LEASE_S + 0.1), Grant)
    assert grants == [3]


def test_requests_without_tenants_keep_their_order():
    """A host of an earlier build, or a configuration without tenants."""
    pool = make_pool(slots=1)
    pool.submit(SlotRequest("a", 1, start_by=9.0), 0.0)
    for number, start_by in ((2, 3.0), (3, 1.0), (4, 2.0)):
        pool.submit(SlotRequest("a", number, start_by=start_by), 0.0)
    assert numbers_of(pool.end(("a", 1), 0.1), Grant) == [3]
    assert numbers_of(pool.end(("a", 3), 0.2), Grant) == [4]


def test_items_of_a_tenant_with_many_slots_come_last():
    """Pattern: a tenant submits jobs beside many requests of its own."""
    pool = make_pool(slots=6)
    for number in range(4):
        pool.submit(request_of(HOT, number, batch=True, start_by=9.0), 0.0)
    for number in range(4, 8):
        pool.submit(request_of(HOT, number, batch=True, start_by=1.0), 0.0)
    for number in range(20, 23):
        pool.submit(request_of(ORDINARY, number, batch=True, start_by=9.0), 0.0)
    assert numbers_of(pool.end((f"host of {HOT}", 0), 0.1), Grant) == [20]


@pytest.mark.parametrize(
    ("wanted", "weights", "slots", "level"),
    [
        ({1: 2, 2: 3}, {}, 5, math.inf),
        ({1: 8, 2: 8}, {}, 8, 4.0),
        ({1: 1, 2: 8, 3: 8}, {}, 9, 4.0),
        ({1: 8, 2: 8}, {1: 3.0}, 8, 2.0),
        ({1: 5}, {}, 0, 0.0),
        ({}, {}, 4, math.inf),
    ],
)
def test_fair_level(wanted, weights, slots, level):
    """What a tenant does not need is in the share of the others."""
    found = fair_level(wanted, lambda tenant: weights.get(tenant, 1.0), slots)
    assert found == level


WANTED = st.dictionaries(st.integers(1, 40), st.integers(0, 200), max_size=30)
WEIGHTS = st.dictionaries(
    st.integers(1, 40),
    st.floats(*WEIGHT_RANGE, allow_nan=False),
    max_size=30,
)


@given(WANTED, WEIGHTS, st.integers(0, 500))
def test_division_uses_all_slots_and_no_more(wanted, weights, slots):
    """The shares add up to the slots, or to what is wanted."""
    shares = TenantShares()
    shares.set_weights(weights)
    level = fair_level(wanted, shares.weight_of, slots)
    assert level >= 0.0
    used = sum(
        min(count, level * shares.weight_of(tenant)) for tenant, count in wanted.items()
    )
    assert used == pytest.approx(min(slots, sum(wanted.values())), abs=1e-6)


@given(
    st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=40),
    WEIGHTS,
    st.integers(0, 12),
)
def test_no_tenant_without_a_slot_is_beyond_its_share(waiting, weights, slots):
    """However small a share is, each tenant gets one slot before a second."""
    shares = TenantShares()
    shares.set_weights(weights)
    requests = [
        SlotRequest("a", number, tenant=tenant, returned=returned)
        for number, (tenant, returned) in enumerate(waiting)
    ]
    excess = shares.excess_by_run(requests, {}, slots)
    seen = set()
    for request in requests:
        if request.tenant not in seen or request.tenant == NO_TENANT:
            assert request.run_id not in excess
        seen.add(request.tenant)


def test_reports_name_a_bounded_number_of_tenants():
    """Messages must not grow with the tenants."""
    held = dict(enumerate(range(100), start=NO_TENANT))
    assert len(largest_users(held)) == MAX_REPORTED_TENANTS
    assert largest_users({NO_TENANT: 50, 4: 1}) == {4: 1}


@pytest.mark.parametrize(
    ("weight", "kept"), [(0.0, WEIGHT_RANGE[0]), (1e9, WEIGHT_RANGE[1]), (2.0, 2.0)]
)
def test_absurd_weights_are_limited(weight, kept):
    """No weight divides by nothing or starves all others."""
    assert weights_by_key({"team": weight}) == {tenant_key("team"): kept}


@pytest.mark.parametrize(
    ("weights", "error"),
    [
        ({"team": 2.5, "other": 1}, None),
        ({"team": 0.0}, "tenant_weights.team: must be from 0.01 to 100.0"),
        ({"team": "high"}, "tenant_weights"),
    ],
)
def test_weights_are_settings(weights, error, tmp_path):
    """Weights are read and checked before a host starts."""
    settings = GatewayFleet().settings(1)
    settings.store.address = "127.0.0.1:5"
    path = tmp_path / "settings.json"
    fields = attrs.asdict(settings) | {"tenant_weights": weights}
    path.write_text(json.dumps(fields))
    if error is None:
        assert load_gateway_settings(path).tenant_weights == weights
        return
    with pytest.raises(UserError, match=error):
        load_gateway_settings(path)
