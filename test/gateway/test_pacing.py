"""Which slots batch takes and gives back, on patterns of load."""

import attrs
import pytest

from galenascale.gateway.jobs.pacing import (
    RESERVED_SLOTS,
    RunEstimate,
    ServerLoad,
    interrupt_order,
    plan_interrupts,
    plan_starts,
    start_order,
)

HOSTS = tuple(f"host-{number}" for number in range(9))


@attrs.frozen
class Server:
    """The part of an entry that pacing reads."""

    server_id: str
    slots: int = 8


@attrs.define
class Item:
    """The part of an open item that the orders read."""

    due_at_ms: int
    texts: list


def make_loads(online=0, batch_by_host=(), servers=9):
    """Return loads of some servers that are alike."""
    return [
        ServerLoad(Server(f"server-{number}"), online, dict(batch_by_host))
        for number in range(servers)
    ]


@pytest.mark.parametrize("online", [0, 3, 7, 8, 20])
def test_hosts_that_start_at_the_same_moment_do_not_overshoot(online):
    """
    Guards engines against jobs that come at many hosts at once.

    The load: trouble-3 of a site, 36 jobs at nine hosts that see each other
    late. They sent 13,891 runs for 368 items; engines refused half of them.
    """
    loads = make_loads(online)
    started = [server for host in HOSTS for server in plan_starts(loads, host, HOSTS)]
    free = max(0, 8 - RESERVED_SLOTS - online)
    for load in loads:
        assert started.count(load.server) == free


def test_free_slots_are_spread_over_the_servers():
    """Guards against one full server beside empty ones."""
    loads = make_loads()
    servers = plan_starts(loads, "host-1", ("host-1",))
    assert len(set(servers[:9])) == 9


@pytest.mark.parametrize("field", ["paused", "settling"])
def test_no_item_starts_at_a_server_that_is(field):
    """Guards servers that fail, or whose new load is not known yet."""
    loads = [attrs.evolve(load, **{field: True}) for load in make_loads()]
    assert plan_starts(loads, "host-1", ("host-1",)) == []


@pytest.mark.parametrize(
    ("online", "batch", "expected"), [(4, 4, 0), (5, 4, 1), (8, 4, 4), (20, 4, 4)]
)
def test_hosts_give_back_just_the_slots_that_online_needs(online, batch, expected):
    """Guards against hosts that all interrupt for the same online burst."""
    batch_by_host = dict.fromkeys(HOSTS[:batch], 1)
    (load,) = make_loads(online, batch_by_host, servers=1)
    assert sum(plan_interrupts(load, host) for host in HOSTS) == expected


def test_items_that_can_be_in_time_start_first():
    """
    Guards jobs that can be in time against those that cannot.

    The load: more items than slots, where the order of due times alone makes
    each item late.
    """
    estimate = RunEstimate()
    late = Item(due_at_ms=1000, texts=[])
    soon = Item(due_at_ms=9000, texts=[])
    begun = Item(due_at_ms=20000, texts=[b"x"] * 150)
    fresh = Item(due_at_ms=20000, texts=[])
    items = [late, fresh, soon, begun]
    items.sort(key=lambda item: start_order(item, 0, estimate))
    assert items == [begun, soon, fresh, late]
    items.sort(key=lambda item: interrupt_order(item, 0, estimate))
    assert items[0] is late
    assert items[-1] is soon
