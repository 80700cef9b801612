"""
Items that wait beside idle servers.

Guards items against a start that needs more than its source can ever hold: the
tokens of a limit that an owner may grant a part of, or the slots of a pool.
"""

import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from galenascale.gateway.ownership import Standing
from galenascale.gateway.slots.decisions import Forwarded, Grant, PoolServer
from galenascale.gateway.slots.idle_servers import Obstacle
from galenascale.gateway.slots.pace import (
    MAX_DEBT,
    LimitPart,
    Pace,
)
from galenascale.gateway.slots.pool import SlotPool
from galenascale.gateway.slots.wait_queue import SlotRequest

LOST_THIRD = Standing(responsive_ahead=0, reached=2, known=3)
TICK_S = 0.05


@st.composite
def standings(draw):
    """Draw the Standing of an owner: hosts reached, lost and before it."""
    known = draw(st.integers(1, 300))
    reached = draw(st.integers(1, known))
    return Standing(draw(st.sampled_from([0, 0, 0, 1, 2, 5])), reached, known)


limits = st.one_of(
    st.just(0.0), st.floats(0.001, 1.0), st.floats(1.0, 50.0), st.just(1e6)
)


@attrs.define
class Owner:
    """A pool of one limited server, with time and the number of starts."""

    pace: Pace
    now: float = 0.0
    starts: int = 0
    pool: SlotPool = attrs.field(factory=lambda: SlotPool(random.Random(7)))

    @classmethod
    def from_standing(cls, standing, limit, slots=8):
        """Return an owner with a Standing that just learned of a limit."""
        owner = cls(Pace.from_limit(limit, LimitPart.from_standing(standing)))
        owner.set_server(slots)
        return owner

    def set_server(self, slots=8):
        """Set the only server."""
        self.pool.set_servers([PoolServer(1, slots, pace=self.pace)])

    def start_one(self, *, batch, give_up_s):
        """Return the seconds until a request or item starts and ends."""
        begun_at = self.now
        self.starts += 1
        while self.now - begun_at <= give_up_s:
            request = SlotRequest("a", self.starts, batch)
            decisions = self.pool.submit(request, self.now)
            if any(isinstance(decision, Grant) for decision in decisions):
                self.pool.end(request.run_id, self.now)
                return self.now - begun_at
            self.now += min(1.0, give_up_s / 20)
        raise AssertionError(f"{give_up_s} s without a start at {self.pace}")


@pytest.mark.parametrize("batch", [False, True], ids=["request", "item"])
@given(standing=standings(), limit=limits, debt=st.integers(0, 3))
@settings(max_examples=150, deadline=None)
def test_something_starts_within_a_bound_and_never_too_much(
    batch, standing, limit, debt
):
    """
    Guards both sides of a limit: never stuck, and never above it.

    The bound is the time in which its rate pays all debt and fills the bucket.
    """
    owner = Owner.from_standing(standing, limit)
    for _ in range(debt):
        owner.pool._servers.refill(owner.now)
        owner.pool._servers.spend(1)
    rate = owner.pace.requests_per_s
    bound_s = (MAX_DEBT + owner.pace.burst) / rate + TICK_S
    for _ in range(4):
        owner.start_one(batch=batch, give_up_s=1.1 * bound_s)
    assert owner.starts <= owner.pace.burst + rate * owner.now + 1e-6


@pytest.mark.parametrize("limit", [0.0, 2.5, 20.0])
@pytest.mark.parametrize("reached", [1, 2, 3])
@pytest.mark.parametrize("ahead", [0, 1, 3])
def test_item_starts_though_a_part_of_the_hosts_is_lost(limit, reached, ahead):
    """An item needed two tokens, of a bucket that holds 1.33 or 1."""
    owner = Owner.from_standing(Standing(ahead, reached, 3), limit)
    seconds = 2 * (MAX_DEBT + owner.pace.burst) / owner.pace.requests_per_s
    assert owner.start_one(batch=True, give_up_s=seconds) <= seconds


def test_owner_says_what_keeps_a_server_idle():
    """Guards operators, who could not tell a limit from a lack of slots."""
    owner = Owner.from_standing(LOST_THIRD, 0.0)
    owner.pool.submit(SlotRequest("a", 1, batch=True), 0.0)
    owner.pool.submit(SlotRequest("a", 1, batch=True), 1.5)
    idle = owner.pool.idle_servers(1.5)
    assert idle.batch
    assert idle.waited_s == 1.5
    (server,) = idle.servers
    assert server.obstacle is Obstacle.LIMIT
    assert server.free == 8
    assert server.tokens < server.needed_tokens


@pytest.mark.parametrize("slots", [1, 2, 8])
def test_item_starts_in_a_pool_of_any_size(slots):
    """The slot that is kept for requests was the only one of the pool."""
    pool = SlotPool(random.Random(7))
    pool.set_servers([PoolServer(1, slots)])
    item = SlotRequest("a", 1, batch=True)
    (grant,) = pool.submit(item, 0.0)
    assert isinstance(grant, Grant)
    # A request gets the slot at once, on servers that are full of items.
    for number in range(2, slots + 1):
        pool.submit(SlotRequest("a", number, batch=True), 0.0)
    for number in range(100, 100 + slots):
        decisions = pool.submit(SlotRequest("b", number, start_by=1.0), 0.0)
        assert any(isinstance(decision, Grant) for decision in decisions)


@pytest.mark.parametrize("standing", [LOST_THIRD, Standing(0, 3, 3), Standing(1, 1, 3)])
@pytest.mark.parametrize("slots", [1, 8])
def test_pool_offers_others_what_it_would_start_itself(standing, slots):
    """An idle pool of one limited server never offered a slot for items."""
    owner = Owner.from_standing(standing, 2.0, slots)
    # The bucket is made, and filled.
    for owner.now in (0.0, 1000.0):
        owner.pool.tick(owner.now)
    offered = owner.pool.free_slots().free_for_batch
    started = 0
    while owner.pool.submit(SlotRequest("a", started, batch=True), owner.now) and (
        started < len(owner.pool._runs)
    ):
        started += 1
    assert 0 < offered <= started


def test_item_leaves_a_full_pool_for_an_idle_one():
    """Guards items against waiting beside the idle servers of other pools."""
    pool = SlotPool(random.Random(7))
    pool.set_servers([PoolServer(1, 1)])
    pool.submit(SlotRequest("a", 1), 0.0)
    idle = Owner.from_standing(LOST_THIRD, 2.0)
    for idle.now in (0.0, 1000.0):
        idle.pool.tick(idle.now)
    pool.update_free_slots(7, idle.pool.free_slots(), 0.0)
    decisions = pool.submit(SlotRequest("a", 2, batch=True), 0.0)
    assert any(isinstance(decision, Forwarded) for decision in decisions)
