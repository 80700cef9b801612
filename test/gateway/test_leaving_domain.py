"""Requests that leave their failure domain: loads, links and owners."""

import random

import attrs
import pytest

from bench.slot_pools import LARGE, SEEDS, Simulation, Totals
from bench.tenant_slots import SIXTY_ONE_HOSTS, TenantLoad, TenantSimulation
from galenascale.gateway.slots.crossing import (
    MAX_ROUND_TRIP_S,
    CrossingTimes,
    to_stamp,
)
from galenascale.gateway.slots.decisions import (
    Forwarded,
    FreeSlots,
    PoolServer,
    Queued,
    Refused,
)
from galenascale.gateway.slots.pool import SlotPool
from galenascale.gateway.slots.run_times import MIN_RUNS_FOR_FORECAST
from galenascale.gateway.slots.sibling_pools import FREE_SLOTS_MAX_AGE_S
from galenascale.gateway.slots.wait_queue import SlotRequest

ONE_DOMAIN_BUSY = attrs.evolve(
    LARGE, name="one domain busy", skew=0.35, burst_per_s=280, jobs_per_s=0.0
)
NO_ITEMS = attrs.evolve(LARGE, name="81 hosts, no batch", jobs_per_s=0.0)
OTHER_POOL = 77


def late_share(pattern, *, leave_domain):
    """Return the share of streams that start late."""
    totals = Totals()
    for seed in SEEDS:
        simulation = Simulation(pattern, seed)
        for pool in simulation.pools:
            pool.leave_domain = leave_domain
        totals.add(simulation.run())
    return totals.shares["late"]


@pytest.mark.parametrize(
    "pattern", [ONE_DOMAIN_BUSY, NO_ITEMS], ids=lambda pattern: pattern.name
)
def test_queues_of_domains_are_levelled(pattern):
    """
    Pattern: bursts near capacity that arrive unevenly in the domains.

    Requests left their domain for free slots only, and waited in a long
    queue beside a short one.
    """
    before = late_share(pattern, leave_domain=False)
    after = late_share(pattern, leave_domain=True)
    assert after <= before / 2
    assert after < 0.005


def test_owners_that_decide_alike_do_not_overshoot():
    """
    Pattern: all domains are overloaded and see each other's queues late.

    Each sent what it could not serve to the shortest queue, and all at once.
    """
    load = TenantLoad(times_by_tenant=dict.fromkeys(range(1, 40), 2.0))
    in_time = {}
    for leave_domain in (False, True):
        simulation = TenantSimulation(SIXTY_ONE_HOSTS, load)
        for pool in simulation.pools:
            pool.leave_domain = leave_domain
        simulation.run()
        totals = simulation.totals_by_tenant.values()
        in_time[leave_domain] = sum(tenant.in_time for tenant in totals)
    assert in_time[True] >= 0.99 * in_time[False]


def make_full_pool(waiting=3):
    """Return a pool of two slots, with a run time of 0.5 s and a queue."""
    pool = SlotPool(random.Random(7))
    pool.set_servers([PoolServer(1, 2)])
    for number in range(MIN_RUNS_FOR_FORECAST):
        pool.submit(SlotRequest("a", 1000 + number), 0.0)
        pool.end(("a", 1000 + number), 0.5)
    for number in range(2 + waiting):
        pool.submit(SlotRequest("a", number, start_by=9.0), 1.0)
    return pool


def report(wait_s, **fields):
    """Return the FreeSlots of a pool without a free slot."""
    return FreeSlots(0, 0, 0, wait_s=wait_s, starts_per_s=10.0, **fields)


def forwarded(decisions):
    """Return the numbers of the forwarded requests."""
    return [item.request.number for item in decisions if isinstance(item, Forwarded)]


@pytest.mark.parametrize(
    ("free_slots", "leaves"),
    [
        (report(0.05), True),
        (report(0.05, crossing_s=1.5), False),
        (report(1.0), False),
        (FreeSlots(0, 0, 0), False),
    ],
    ids=["shorter queue", "slow link", "same queue", "no forecast"],
)
def test_crossing_pays_by_both_waits(free_slots, leaves):
    """The wait here is 1.0 s for the fourth request."""
    pool = make_full_pool()
    pool.update_free_slots(OTHER_POOL, free_slots, 1.0)
    decisions = pool.submit(SlotRequest("b", 50, start_by=9.5), 1.0)
    assert forwarded(decisions) == ([50] if leaves else [])


def test_no_more_leave_than_level_the_queues():
    """Until the next report each one that leaves makes the queue longer."""
    pool = make_full_pool(waiting=0)
    pool.update_free_slots(OTHER_POOL, report(0.05), 1.0)
    left = []
    for number in range(50, 62):
        left += forwarded(pool.submit(SlotRequest("b", number, start_by=9.0), 1.0))
    assert 0 < len(left) < 12
    # Four start a second here and ten there.
    assert 6 <= len(left) <= 9


def test_cut_off_domain_keeps_its_requests():
    """Reports end with the link."""
    pool = make_full_pool()
    pool.update_free_slots(OTHER_POOL, report(0.0), 1.0)
    pool.tick(1.1)
    later = 1.0 + FREE_SLOTS_MAX_AGE_S + 0.1
    pool.tick(later)
    decisions = pool.submit(SlotRequest("b", 50, start_by=9.5), later)
    assert forwarded(decisions) == []


def test_domain_that_is_back_empty_is_used():
    """A pool that starts anew reports free slots and no forecast."""
    pool = make_full_pool()
    decisions = pool.update_free_slots(OTHER_POOL, FreeSlots(2, 2, 0), 1.0)
    assert len(forwarded(decisions)) == 2


def test_request_that_is_late_everywhere_is_refused_here():
    """It would cross in vain, and hear later that it should return."""
    pool = make_full_pool()
    pool.update_free_slots(OTHER_POOL, report(0.8), 1.0)
    request = SlotRequest("b", 50, start_by=1.2, refusable=True)
    decisions = pool.submit(request, 1.0)
    assert [type(item) for item in decisions] == [Refused]


def test_forwarded_request_does_not_return():
    """Two pools must not pass a request to and fro."""
    pool = make_full_pool()
    pool.update_free_slots(OTHER_POOL, report(0.0), 1.0)
    request = SlotRequest("b", 50, start_by=9.5, forwarded=True)
    assert [type(item) for item in pool.submit(request, 1.0)] == [Queued]


def test_setting_keeps_requests_in_their_domain():
    """Without it only free slots draw requests to other domains."""
    pool = make_full_pool()
    pool.leave_domain = False
    pool.update_free_slots(OTHER_POOL, report(0.0), 1.0)
    assert forwarded(pool.submit(SlotRequest("b", 50, start_by=9.5), 1.0)) == []


@pytest.mark.parametrize("delay_s", [0.0005, 0.0014, 0.3])
def test_crossing_is_learned_from_reports(delay_s):
    """The clocks of two owners differ, and reports come when they do."""
    here, there = CrossingTimes(), CrossingTimes()
    now, skew = 100.0, 5000.0
    for _ in range(40):
        echo = here.echo_us(OTHER_POOL, now)
        there.record(1, to_stamp(now), echo, now + delay_s + skew)
        now += 0.4
        echo = there.echo_us(1, now + skew)
        here.record(OTHER_POOL, to_stamp(now + skew), echo, now + delay_s)
        now += 0.05
    assert here.crossing_s(OTHER_POOL) == pytest.approx(2 * delay_s, abs=1e-4)


@pytest.mark.parametrize(
    "echo_us",
    [0, -(10**15), 10**15, to_stamp(100.0 - MAX_ROUND_TRIP_S - 1)],
    ids=["none", "negative", "from the future", "held by a frozen host"],
)
def test_odd_stamps_teach_nothing(echo_us):
    """A host of an earlier build sends none."""
    crossings = CrossingTimes()
    crossings.record(OTHER_POOL, 0, echo_us, 100.0)
    assert crossings.crossing_s(OTHER_POOL) == 0.0
    assert crossings.echo_us(OTHER_POOL, 101.0) == 0
