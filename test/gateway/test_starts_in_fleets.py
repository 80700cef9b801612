"""
Items that wait in fleets whose hosts are lost, in simulated time.

Guards jobs against standing still beside idle servers: while an item waits,
something starts within a time that follows from the rates of the servers.
"""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.limit_fleet import STABLE_S, LimitFleet
from galenascale.gateway.slots.pace import BATCH_TOKENS, MAX_DEBT, MIN_REQUESTS_PER_S

# Seconds in which hosts learn who is gone, and in which leases end.
DETECTION_S = 6.0
ITEMS_S = 8.0
ITEMS_PER_S = 2.0
STEP_S = 0.5


@attrs.frozen
class Loss:
    """Hosts that are out of reach from a moment on."""

    kind: str
    hosts: int
    lost: int
    at: float
    # Requests per second that all servers name, and whether they cease to.
    limit: float
    need_ends: bool
    seed: int

    def apply(self, fleet):
        """Put the hosts out of reach."""
        lost = set(sorted(fleet.hosts)[: self.lost])
        if self.kind == "cut":
            fleet.cut = lambda one, other: (one in lost) != (other in lost)
            return
        for address in lost:
            if self.kind == "killed":
                fleet.kill(address, 1e6)
            else:
                fleet.freeze(address, 1e6)

    def bound_s(self):
        """Return the seconds in which an item starts at the least rate."""
        reached = (self.hosts - self.lost) / self.hosts
        rate = max(self.limit, MIN_REQUESTS_PER_S) * min(reached, 1.0 - reached or 1.0)
        return DETECTION_S + (MAX_DEBT + BATCH_TOKENS) / rate


@st.composite
def losses(draw):
    """Draw moment, size, share and kind of a loss."""
    hosts = draw(st.integers(2, 7))
    return Loss(
        kind=draw(st.sampled_from(["killed", "frozen", "cut"])),
        hosts=hosts,
        lost=draw(st.integers(1, hosts - 1)),
        at=draw(st.floats(0.5, 9.0)),
        limit=draw(st.sampled_from([0.0, 1.0, 2.5, 20.0])),
        need_ends=draw(st.booleans()),
        seed=draw(st.integers(0, 1000)),
    )


def longest_wait_s(fleet, until):
    """Run a fleet; return the longest wait of items without any start."""
    longest = 0.0
    since = fleet.clock.now
    started = 0
    while fleet.clock.now < until:
        fleet.run(fleet.clock.now + STEP_S)
        total = sum(len(server.arrivals) for server in fleet.servers.values())
        live = [host for host in fleet.hosts.values() if not host.frozen]
        waits = any(host.slots.client._pending_by_number for host in live)
        if total > started or not waits:
            since = fleet.clock.now
        started = total
        longest = max(longest, fleet.clock.now - since)
    return longest


@given(loss=losses())
@settings(max_examples=12, deadline=None)
def test_items_start_after_hosts_are_lost(loss):
    """
    Guards items against limits whose owners reach a part of the hosts only.

    No item started for as long as a lost host counted, 60 s, and after it
    neither, as the limit ends only with an answer.
    """
    fleet = LimitFleet(loss.hosts, servers=6, seed=loss.seed)
    for server in fleet.servers.values():
        server.limit = loss.limit
    fleet.load(4.0, loss.at)
    fleet.load(ITEMS_PER_S, ITEMS_S, start=loss.at + 1.0, batch=True)
    fleet.run(loss.at)
    loss.apply(fleet)
    if loss.need_ends:
        for server in fleet.servers.values():
            server.limit = None
    bound_s = loss.bound_s()
    assert longest_wait_s(fleet, loss.at + ITEMS_S + 2 * bound_s) <= bound_s
    if not loss.need_ends:
        assert fleet.excess(STABLE_S) <= 0


@pytest.mark.parametrize("kind", ["killed", "frozen", "cut"])
@pytest.mark.parametrize("need_ends", [False, True], ids=["in need", "well again"])
def test_items_start_after_one_of_three_hosts_is_lost(kind, need_ends):
    """Pattern of review/12: limits of 20 a second, and one host gone."""
    loss = Loss(kind, 3, 1, 8.0, 20.0, need_ends, seed=1)
    fleet = LimitFleet(loss.hosts, servers=9)
    for server in fleet.servers.values():
        server.limit = loss.limit
    fleet.load(8.0, 7.0)
    fleet.load(10.0, 2.0, start=13.0, batch=True)
    fleet.run(8.0)
    loss.apply(fleet)
    if need_ends:
        for server in fleet.servers.values():
            server.limit = None
    fleet.run(13.0)
    assert longest_wait_s(fleet, 20.0) <= 2.0
