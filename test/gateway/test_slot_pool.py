"""Allocation of slots by a pool: load simulations and a state machine."""

import random

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bench.slot_pools import LARGE, SMALL, LoadPattern, simulate
from galenascale.gateway.slots.decisions import (
    Forwarded,
    FreeSlots,
    Grant,
    PoolServer,
    Preempted,
    Queued,
    Refused,
)
from galenascale.gateway.slots.pace import LimitPart, Pace
from galenascale.gateway.slots.pool import LEASE_S, SlotPool
from galenascale.gateway.slots.run_times import MIN_RUNS_FOR_FORECAST
from galenascale.gateway.slots.runs import Run
from galenascale.gateway.slots.server_slots import REFUSAL_PAUSE_S
from galenascale.gateway.slots.wait_queue import SlotRequest

SIXTY_HOSTS = LoadPattern(
    "60 hosts, 45 servers", 60, 3, 45, 7, 126, 420, 2.0, 6.0, 0.67, 0.28, 0.2
)
TWO_HUNDRED_HOSTS = LoadPattern(
    "200 hosts, 60 servers", 200, 5, 60, 7, 90, 480, 2.0, 8.0, 0.71, 0.2, 0.4
)


def make_pool(servers=2, slots=2):
    """Return a pool of servers with the same number of slots."""
    pool = SlotPool(random.Random(7))
    pool.set_servers([PoolServer(key, slots) for key in range(1, servers + 1)])
    return pool


def occupy(pool, count, now=0.0, *, batch=False, first=100):
    """Request slots for requests or items; return the Grants."""
    grants = []
    for number in range(first, first + count):
        grants += pool.submit(SlotRequest("a", number, batch, start_by=now + 10), now)
    return [grant for grant in grants if isinstance(grant, Grant)]


@pytest.mark.parametrize(
    "pattern", [SIXTY_HOSTS, TWO_HUNDRED_HOSTS], ids=lambda item: item.name
)
def test_burst_near_capacity_starts_in_time(pattern):
    """
    Guards bursts that need nine tenths of all slots, beside batch items.

    Hosts that choose servers independently of each other, with 2.6 slots a
    host, make a quarter of the streams late.
    """
    shares = simulate(pattern).shares
    assert shares["late"] < 0.005
    assert shares["misplaced"] < 0.05
    assert shares["items in time"] > 0.95


@pytest.mark.parametrize(
    ("pattern", "max_preemptions"),
    [(SMALL, 0.5), (LARGE, 1.0)],
    ids=["small", "large"],
)
def test_items_are_preempted_less_than_once(pattern, max_preemptions):
    """
    Guards items against being started and preempted over and over.

    It happened with bursts of 2.8 s, one each 6.6 s, and items of 4.5 s
    between them: 1,984 preemptions for 950 items on one day.
    """
    shares = simulate(pattern).shares
    assert shares["cuts an item"] < max_preemptions
    assert shares["items in time"] > 0.95
    assert shares["late"] < 0.02


def test_lost_messages_leave_no_slot_unused():
    """Guards against slots that stay used as an end or a grant was lost."""
    pattern = attrs.evolve(TWO_HUNDRED_HOSTS, lost_share=0.02, length_s=16.0)
    shares = simulate(pattern).shares
    assert shares["late"] < 0.02
    assert shares["items in time"] > 0.95


def make_limited_pool(limit=2.0):
    """Return a pool of server 1 without a limit and server 2 with one."""
    pool = SlotPool(random.Random(7))
    pace = Pace.from_limit(limit, LimitPart())
    pool.set_servers([PoolServer(1, 4), PoolServer(2, 4, pace=pace)])
    pool.tick(0.0)
    pool.tick(10.0)
    return pool


def test_items_leave_the_servers_without_a_limit_to_requests():
    """
    Pattern: a calm between bursts while some servers are limited.

    Items filled the other servers then, requests used the limited servers'
    tokens up, and the next burst found neither slots nor tokens.
    """
    pool = make_limited_pool()
    items = occupy(pool, 3, now=10.0, batch=True)
    assert [grant.server_key for grant in items] == [2, 2, 2]
    assert all(grant.paced for grant in items)
    requests = occupy(pool, 4, now=10.0, first=200)
    assert [grant.server_key for grant in requests] == [1, 1, 1, 1]


def test_item_leaves_a_token_to_the_next_request():
    """Guards requests against waiting for a token that an item took."""
    pool = make_limited_pool()
    pool.set_servers([pool._servers.get(2)])
    assert len(occupy(pool, 9, now=10.0, batch=True)) < 4
    (grant,) = occupy(pool, 1, now=10.0, first=200)
    assert grant.paced


def test_waiting_requests_start_in_order_once_slots_are_free():
    """Guards requests behind one that finds no place, which are not tried."""
    pool = make_pool(servers=2, slots=1)
    occupy(pool, 2)
    pool.submit(SlotRequest("b", 1, start_by=9.0), 0.0)
    pool.submit(SlotRequest("b", 2, start_by=5.0), 0.0)
    (grant,) = pool.end(("a", 100), 1.0)
    assert grant.request.number == 2
    (grant,) = pool.end(("a", 101), 1.0)
    assert grant.request.number == 1


def test_request_preempts_an_item():
    """Guards requests against queueing behind items; an item is preempted."""
    pool = make_pool(servers=1, slots=2)
    (item,) = occupy(pool, 1, batch=True)
    assert len(occupy(pool, 1, first=200)) == 1
    preempted, grant = pool.submit(SlotRequest("b", 1, start_by=1.0), 0.0)
    assert preempted == Preempted(item.request.host, item.request.number)
    assert grant.server_key == item.server_key
    # The next one waits: the preempted item has not freed its slot yet.
    (queued,) = pool.submit(SlotRequest("b", 2, start_by=1.0), 0.0)
    assert isinstance(queued, Queued)
    assert pool.end(item.request.run_id, 0.01) == []


@pytest.mark.parametrize(
    ("slack_s_by_host", "first"),
    [
        ({"late": -5.0, "soon": 2.0, "plenty": 9.0}, "late"),
        ({"soon": 2.0, "plenty": 9.0}, "plenty"),
    ],
)
def test_item_that_loses_least_is_preempted(slack_s_by_host, first):
    """Guards items due soon: late items and then those with slack go first."""
    pool = make_pool(servers=1, slots=len(slack_s_by_host))
    for number, (host, slack_s) in enumerate(slack_s_by_host.items()):
        run = Run(host, number, 1, True, slack_s, 0.0, 0.0)
        assert pool.record_run(run, 0.0) == []
    preempted, _ = pool.submit(SlotRequest("b", 9, start_by=1.0), 0.0)
    assert preempted.host == first


def test_reserve_grows_with_the_online_load():
    """Guards requests that arrive next; the reserve follows their number."""
    for online in (0, 8, 48):
        pool = make_pool(servers=10, slots=9)
        occupy(pool, online)
        items = len(occupy(pool, 100, batch=True, first=1000))
        assert 90 - online - items == pool.reserve()
        assert pool.reserve() ** 2 >= online


def test_queue_is_served_in_order():
    """Guards retried requests, and those that can still start in time."""
    pool = make_pool(servers=1, slots=1)
    (held,) = occupy(pool, 1)
    for number, start_by, returned in (
        (1, 0.9, False),
        (2, 0.05, False),
        (3, 0.8, False),
        (4, 0.95, True),
    ):
        pool.submit(SlotRequest("b", number, start_by=start_by, returned=returned), 0.0)
    served = []
    while True:
        (grant,) = pool.end(held.request.run_id, 0.1) or (None,)
        if grant is None:
            break
        served.append(grant.request.number)
        held = grant
    assert served == [4, 3, 1, 2]


def test_request_that_would_be_late_is_refused_once():
    """Guards against a queue of late requests only, and guards retries."""
    pool = make_pool(servers=1, slots=2)
    now = 0.0
    for number in range(MIN_RUNS_FOR_FORECAST):
        pool.submit(SlotRequest("a", number, start_by=now + 1), now)
        now += 1.0
        pool.end(("a", number), now)
    occupy(pool, 2, now)
    queued = SlotRequest("b", 1, start_by=now + 0.6, refusable=True)
    refused = SlotRequest("b", 2, start_by=now + 0.6, refusable=True)
    retried = SlotRequest("b", 3, start_by=now + 0.6, refusable=True, returned=True)
    assert isinstance(pool.submit(queued, now)[0], Queued)
    assert isinstance(pool.submit(refused, now)[0], Refused)
    assert isinstance(pool.submit(retried, now)[0], Queued)


def test_request_is_forwarded_before_an_item_is_preempted():
    """Guards items of a full pool while another pool has free slots."""
    pool = make_pool(servers=1, slots=2)
    occupy(pool, 1, batch=True)
    occupy(pool, 1, first=200)
    pool.update_free_slots(7, FreeSlots(free=1, free_for_batch=0, preemptible=0), 0.0)
    request = SlotRequest("b", 1, start_by=1.0)
    assert pool.submit(request, 0.0) == [
        Queued(request, 0.0),
        Forwarded(request, 7, "free_slot"),
    ]
    # The other pool has no further slot.
    assert isinstance(pool.submit(SlotRequest("b", 2, start_by=1.0), 0.0)[0], Preempted)
    # A request that was forwarded before is not forwarded again.
    forwarded_request = SlotRequest("b", 3, start_by=1.0, forwarded=True)
    pool.update_free_slots(7, FreeSlots(free=5, free_for_batch=5, preemptible=0), 0.0)
    assert isinstance(pool.submit(forwarded_request, 0.0)[0], Queued)


def test_request_that_excludes_all_servers_is_forwarded():
    """Guards a request that failed at each server of its failure domain."""
    pool = make_pool(servers=2, slots=1)
    pool.update_free_slots(7, FreeSlots(free=0, free_for_batch=0, preemptible=0), 0.0)
    request = SlotRequest("b", 1, start_by=1.0, avoid=frozenset((1, 2)))
    assert pool.submit(request, 0.0) == [
        Queued(request, 0.0),
        Forwarded(request, 7, "free_slot"),
    ]


@pytest.mark.parametrize("batch", [False, True])
def test_free_slots_are_spread_over_the_servers(batch):
    """Guards against a full server while others are empty."""
    pool = make_pool(servers=9, slots=8)
    grants = occupy(pool, 9, batch=batch)
    assert len({grant.server_key for grant in grants}) == 9


def test_failing_server_is_chosen_last():
    """Guards callers against a server whose answers break off midway."""
    pool = make_pool()
    pool.set_servers([PoolServer(1, 8, quality=0.1), PoolServer(2, 8)])
    grants = occupy(pool, 7)
    assert {grant.server_key for grant in grants} == {2}


def test_refusing_server_is_paused():
    """Guards against runs at a server that has just refused one."""
    pool = make_pool(servers=2, slots=4)
    (grant,) = occupy(pool, 1)
    pool.end(grant.request.run_id, 0.0, refused=True)
    others = occupy(pool, 3, first=200)
    assert {other.server_key for other in others} == {3 - grant.server_key}
    pool.end(others[0].request.run_id, REFUSAL_PAUSE_S)
    assert occupy(pool, 1, REFUSAL_PAUSE_S, first=300)[0].server_key == grant.server_key


class SlotHistory(RuleBasedStateMachine):
    """Random requests, renewals, ends and delays against the decisions."""

    def __init__(self):
        super().__init__()
        self.pool = make_pool(servers=3, slots=3)
        self.now = 0.0
        self.number = 0
        self.holding = {}
        self.waiting = {}
        self.preempted = set()

    def apply(self, decisions):
        for decision in decisions:
            match decision:
                case Grant():
                    run_id = decision.request.run_id
                    assert decision.server_key not in decision.request.avoid
                    self.waiting.pop(run_id, None)
                    self.holding[run_id] = (
                        decision.server_key,
                        decision.request.batch,
                    )
                case Preempted():
                    run_id = (decision.host, decision.number)
                    assert self.holding[run_id][1], "only items are preempted"
                    self.preempted.add(run_id)

    @rule(
        batch=st.booleans(),
        start_in_s=st.floats(-1.0, 3.0),
        avoid=st.sets(st.integers(1, 3), max_size=2),
        returned=st.booleans(),
    )
    def ask(self, batch, start_in_s, avoid, returned):
        self.number += 1
        request = SlotRequest(
            "a",
            self.number,
            batch,
            self.now + start_in_s,
            frozenset(avoid),
            returned=returned,
        )
        self.waiting[request.run_id] = request
        self.apply(self.pool.submit(request, self.now))

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def ask_again(self, data):
        request = self.waiting[data.draw(st.sampled_from(sorted(self.waiting)))]
        self.apply(self.pool.submit(request, self.now))

    @precondition(lambda self: self.holding)
    @rule(data=st.data(), refused=st.booleans())
    def end(self, data, refused):
        run_id = data.draw(st.sampled_from(sorted(self.holding)))
        del self.holding[run_id]
        self.preempted.discard(run_id)
        self.apply(self.pool.end(run_id, self.now, refused=refused))

    @rule(seconds=st.floats(0.0, 0.5))
    def pass_time(self, seconds):
        self.now += seconds
        for run_id, (server_key, batch) in list(self.holding.items()):
            run = Run(*run_id, server_key, batch, 1.0, self.now, self.now)
            self.apply(self.pool.record_run(run, self.now))
        for request in list(self.waiting.values()):
            self.apply(self.pool.submit(request, self.now))
        self.apply(self.pool.tick(self.now))

    @invariant()
    def no_server_has_more_runs_than_slots(self):
        counts = dict.fromkeys((1, 2, 3), 0)
        for run_id, (server_key, _) in self.holding.items():
            counts[server_key] += run_id not in self.preempted
        assert max(counts.values()) <= 3

    @invariant()
    def no_request_waits_while_a_slot_is_free(self):
        counts = dict.fromkeys((1, 2, 3), 0)
        for server_key, _ in self.holding.values():
            counts[server_key] += 1
        paused = self.pool._servers._refused_until_by_key
        open_keys = {
            key
            for key, count in counts.items()
            if count < 3 and self.now >= paused.get(key, self.now)
        }
        for request in self.waiting.values():
            assert request.batch or open_keys <= request.avoid

    def teardown(self):
        for run_id in list(self.holding):
            self.apply(self.pool.end(run_id, self.now))
        self.now += 2 * LEASE_S
        self.pool.tick(self.now)
        assert not self.pool.in_use, "a slot leaked"


TestSlotHistory = SlotHistory.TestCase
TestSlotHistory.settings = settings(max_examples=60, stateful_step_count=40)
