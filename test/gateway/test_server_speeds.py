"""Speeds of servers: loads on servers that differ, and what is learned."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.server_speeds import BURSTS, HALF, NEARLY_FULL, NoSpeeds, run_way
from galenascale.gateway.slots.decisions import Grant, PoolServer
from galenascale.gateway.slots.pool import SlotPool
from galenascale.gateway.slots.server_speeds import (
    FADING_S,
    MAX_FACTOR,
    MIN_POOL_RUNS,
    MIN_SERVER_RUNS,
    ServerSpeeds,
)
from galenascale.gateway.slots.wait_queue import SlotRequest

SLOW, FAST = 1, 2
SEEDS = (5,)


def learned(runs, now=100.0):
    """Return speeds after (server, seconds, tokens) of runs."""
    speeds = ServerSpeeds()
    for server, elapsed_s, tokens in runs:
        speeds.record(server, elapsed_s, tokens, now)
    return speeds


def even_runs(count=40):
    """Return runs of two servers that are alike."""
    return [(SLOW, 1.0, 0), (FAST, 1.0, 0)] * (count // 2)


@pytest.mark.parametrize(
    "pattern", [HALF, NEARLY_FULL, BURSTS], ids=lambda item: item.name
)
def test_streams_are_shorter_on_servers_that_differ(pattern):
    """
    Pattern: servers that take 0.6, 1 and 1.6 times the mean, with spells.

    Slots were granted by their free share alone, whatever runs took there.
    """
    before = run_way(pattern, NoSpeeds, SEEDS)
    after = run_way(pattern, ServerSpeeds, SEEDS)
    assert after.mean_s < 0.95 * before.mean_s
    assert after.late <= before.late


def test_servers_that_are_alike_are_served_as_before():
    """The lengths of runs alone must not look like speed."""
    kwargs = {"speeds": (1.0,), "spells": False}
    before = run_way(NEARLY_FULL, NoSpeeds, SEEDS, **kwargs)
    after = run_way(NEARLY_FULL, ServerSpeeds, SEEDS, **kwargs)
    assert after.mean_s < 1.01 * before.mean_s
    assert after.late <= before.late


def test_next_owner_learns_from_a_few_runs():
    """An owner is lost; its successor saw no run."""
    speeds = learned(even_runs(MIN_POOL_RUNS * 2))
    assert speeds.unlike_by_key(100.0) == {}
    for _ in range(MIN_SERVER_RUNS):
        speeds.record(3, 2.0, 0, 100.0)
    assert speeds.slowness(3, 100.0) > 1.5


def test_long_requests_do_not_make_a_slow_server():
    """Runs that name their tokens are compared by token."""
    runs = [(SLOW, 4.0, 400), (FAST, 0.2, 20)] * MIN_POOL_RUNS
    assert learned(runs).unlike_by_key(100.0) == {}


def test_kinds_of_runs_are_not_compared_with_each_other():
    """Runs with and without tokens at the same servers."""
    runs = [(SLOW, 4.0, 400), (FAST, 0.2, 0), (FAST, 4.0, 400), (SLOW, 0.2, 0)]
    assert learned(runs * MIN_POOL_RUNS).unlike_by_key(100.0) == {}


def test_spell_is_forgotten_after_as_many_runs():
    """A server is 2.5 times slower for a moment, and not avoided for long."""
    speeds = learned(even_runs())
    for _ in range(5):
        speeds.record(SLOW, 2.5, 0, 100.5)
    assert speeds.slowness(SLOW, 100.5) > 1.2
    for _ in range(15):
        speeds.record(SLOW, 1.0, 0, 101.0)
    assert speeds.slowness(SLOW, 101.0) == 1.0


def test_slow_server_without_runs_is_tried_again():
    """What is known of a server fades, as no run could correct it."""
    speeds = learned([(SLOW, 3.0, 0), (FAST, 1.0, 0), (4, 1.0, 0)] * MIN_POOL_RUNS)
    assert speeds.slowness(SLOW, 100.0) > 1.5
    assert speeds.slowness(SLOW, 100.0 + 3 * FADING_S) == 1.0


@pytest.mark.parametrize(("by_speed", "first"), [(True, {FAST}), (False, {SLOW, FAST})])
def test_setting_switches_speeds_off(by_speed, first):
    """Requests that come one at a time go to the faster server."""
    pool = SlotPool(random.Random(7))
    servers = [PoolServer(SLOW, 8), PoolServer(FAST, 8)]
    pool.set_servers(servers, by_speed=by_speed)
    now = 0.0
    chosen = set()
    for number in range(200):
        decisions = pool.submit(SlotRequest("a", number, start_by=now + 9), now)
        (grant,) = [item for item in decisions if isinstance(item, Grant)]
        now += 2.0 if grant.server_key == SLOW else 0.5
        pool.end(("a", number), now, served=True)
        if number >= 190:
            chosen.add(grant.server_key)
    # What is known of the slow one fades, so it is tried now and then.
    assert first <= chosen
    assert by_speed or chosen == first


def test_runs_that_others_granted_teach_nothing():
    """The start of a run from before the owner's time is not known."""
    pool = SlotPool(random.Random(7))
    pool.set_servers([PoolServer(SLOW, 8)])
    for number in range(2 * MIN_POOL_RUNS):
        pool.submit(SlotRequest("a", number, start_by=9.0), 0.0)
        # A run that broke off says nothing either.
        pool.end(("a", number), 1.0, served=False)
    assert pool._servers._slowness_by_key(1.0) == {}


@given(
    st.lists(
        st.tuples(
            st.integers(1, 4),
            st.floats(-1.0, 1e9, allow_nan=False),
            st.integers(0, 1 << 30),
            st.floats(0.0, 100.0),
        ),
        max_size=120,
    )
)
def test_estimates_stay_within_their_bounds(runs):
    """Whatever hosts report, no server is preferred or avoided beyond it."""
    speeds = ServerSpeeds()
    for server, elapsed_s, tokens, now in runs:
        speeds.record(server, elapsed_s, tokens, now)
    for server in range(1, 5):
        slowness = speeds.slowness(server, 100.0)
        assert slowness * (1 + 1e-9) >= 1 / MAX_FACTOR
        assert slowness <= MAX_FACTOR * (1 + 1e-9)
