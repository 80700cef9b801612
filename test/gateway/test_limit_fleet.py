"""Limits that servers name, over hosts that fail, in simulated time."""

import attrs
import pytest

from bench.limit_fleet import STABLE_S, LimitFleet, host_number, simulate

LIMIT = 2.5
LENGTH_S = 12.0
# Requests of each server at least, by which the use of a limit is measured.
REQUESTS = 30
# Far more than the servers' limits, less than all servers can take.
LOAD_PER_S = 45.0
ALL = 9


def make_fleet(limited=6, limit=LIMIT, seed=1, **fields):
    """Return a fleet in which some servers name a limit from the start."""
    fleet = LimitFleet(seed=seed, **fields)
    for server in list(fleet.servers.values())[:limited]:
        server.limit = limit
    return fleet


def owner_of(fleet, domain="d0"):
    """Return the address of the host that owns the pool of a domain."""
    host = next(iter(fleet.hosts.values()))
    name = f"llm/{domain}/0"
    return host.ownership.owner(name, domain, fleet.clock.now)


def _is_in_first_domain(address):
    return host_number(address) % 3 == 0


def kill_owner(fleet):
    """Kill the owner of a pool for longer than hosts wait for it."""
    fleet.kill(owner_of(fleet), 4.0)


def kill_owner_again_and_again(fleet):
    """Kill the owner, and whoever follows it, each two seconds."""
    for number in range(4):
        fleet.at(
            fleet.clock.now + 2.0 * number,
            lambda: fleet.kill(owner_of(fleet), 1.0),
        )


def freeze_owner(fleet):
    """Freeze the owner; it wakes with old questions and grants."""
    fleet.freeze(owner_of(fleet), 5.0)


def freeze_others(fleet):
    """Freeze the other hosts; they wake with old grants."""
    owner = owner_of(fleet)
    for address in sorted(fleet.hosts):
        if address != owner:
            fleet.freeze(address, 3.0)


def lose_power(fleet):
    """Kill all hosts at once."""
    for address in sorted(fleet.hosts):
        fleet.kill(address, 1.0)


def cut_domain(fleet):
    """Cut one failure domain off from the others."""
    fleet.cut = lambda one, other: (
        _is_in_first_domain(one) != _is_in_first_domain(other)
    )


def cut_owner(fleet):
    """Cut the owner off from all other hosts."""
    owner = owner_of(fleet)
    fleet.cut = lambda one, other: owner in (one, other)


def cut_half_of_a_domain(fleet):
    """Let half of the hosts hear only each other."""
    fleet.cut = lambda one, other: (host_number(one) < 6) != (host_number(other) < 6)


def cut_all(fleet):
    """Let no host hear another one."""
    fleet.cut = lambda one, other: True


def cut_and_heal(fleet):
    """Cut the owner off and heal the cut, again and again."""
    owner = owner_of(fleet)
    for number in range(4):
        at = fleet.clock.now + 3.0 * number
        fleet.at(at, setattr, fleet, "cut", lambda one, other: owner in (one, other))
        fleet.at(at + 1.5, setattr, fleet, "cut", lambda one, other: False)


def lose_messages(fleet):
    """Lose each tenth message between hosts."""
    fleet.lost_share = 0.1


def restart_servers(fleet):
    """Let all limited servers start again under their ids."""
    for server in fleet.servers.values():
        if server.limit is not None:
            server.entry = attrs.evolve(server.entry, started_ms=2)
            server.arrivals.clear()
            for host in fleet.hosts.values():
                host.servers.apply(server.entry.server_id, 100, server.entry, 0.0)
    for host in fleet.hosts.values():
        host.limits.__init__()


TROUBLES = (
    kill_owner,
    kill_owner_again_and_again,
    freeze_owner,
    freeze_others,
    lose_power,
    cut_domain,
    cut_owner,
    cut_half_of_a_domain,
    cut_all,
    cut_and_heal,
    lose_messages,
)


# Guards servers in need while hosts disagree about who grants their slots.
@pytest.mark.parametrize("trouble", TROUBLES, ids=lambda trouble: trouble.__name__)
@pytest.mark.parametrize("limited", [6, ALL], ids=["some", "all"])
@pytest.mark.parametrize("seed", [1])
def test_no_window_exceeds_the_limit_in_trouble(trouble, limited, seed):
    """Pattern: online load and items beyond the limits, and a fault at 6 s."""
    fleet = make_fleet(limited, seed=seed)
    fleet.load(LOAD_PER_S, LENGTH_S)
    fleet.load(1.0, LENGTH_S, batch=True)
    fleet.at(6.0, trouble, fleet)
    fleet.run(LENGTH_S)
    assert fleet.excess(STABLE_S) <= 0


# Guards servers in need against hosts that start again and know no limit.
@pytest.mark.parametrize("seed", [1])
def test_server_that_starts_again_is_limited_again(seed):
    """Pattern: limited servers that restart under load, and say so again."""
    fleet = make_fleet(seed=seed)
    fleet.load(LOAD_PER_S, LENGTH_S)
    fleet.at(8.0, restart_servers, fleet)
    fleet.run(LENGTH_S)
    assert fleet.excess(8.0 + STABLE_S) <= 0


@pytest.mark.parametrize("batch", [False, True], ids=["online", "items"])
@pytest.mark.parametrize("limit", [0.6, LIMIT, 9.0])
def test_limits_are_used_under_steady_demand(limit, batch):
    """Pattern: more demand than all servers' limits together."""
    length_s = max(LENGTH_S, REQUESTS / limit)
    fleet = make_fleet(ALL, limit)
    fleet.load(1.3 * limit * ALL, length_s, batch=batch)
    fleet.run(length_s)
    assert fleet.used(STABLE_S, length_s) >= 0.9
    assert fleet.excess(STABLE_S) <= 0


@pytest.mark.parametrize(
    ("hosts", "servers", "per_s"), [(84, 45, 225.0), (300, 47, 235.0)]
)
def test_limits_hold_in_large_fleets(hosts, servers, per_s):
    """Pattern: two thirds of the servers of a large fleet are in need."""
    fleet = simulate("owners", hosts, servers, 2 * servers // 3, LIMIT, per_s, 10.0)
    assert fleet.excess(STABLE_S) <= 0
    assert fleet.used(STABLE_S, 10.0) >= 0.9


@pytest.mark.parametrize("limit", [0.0, 0.1])
def test_server_without_demand_gets_a_request_now_and_then(limit):
    """
    Guards servers that name 0, or next to nothing, against idling for ever.

    Only an answer shows that their need is over.
    """
    fleet = make_fleet(1, limit)
    fleet.load(20.0, 60.0)
    fleet.run(30.0)
    (limited, *_) = fleet.servers.values()
    probes = sum(time > STABLE_S for time, _ in limited.arrivals)
    assert probes >= 3
    assert fleet.excess(STABLE_S) <= 0
    limited.limit = None
    fleet.run(60.0)
    assert len(limited.arrivals) > 60


def test_limits_follow_what_servers_name():
    """Pattern: a limit that falls, rises and ends while hosts send."""
    fleet = make_fleet(1, 6.0, servers=3)
    fleet.load(LOAD_PER_S, 40.0)
    (limited, *_) = fleet.servers.values()
    for at, limit in ((10.0, 1.0), (20.0, 4.0), (30.0, None)):
        fleet.at(at, setattr, limited, "limit", limit)
    counts = []
    for end in (10.0, 20.0, 30.0, 40.0):
        fleet.run(end)
        counts.append(sum(end - 6.0 <= time for time, _ in limited.arrivals))
    assert 0.9 * 36 <= counts[0] <= 1.1 * 36
    assert counts[1] <= 1.1 * 6 + 2
    assert 0.9 * 24 <= counts[2] <= 1.1 * 24
    assert counts[3] > 30


def test_no_limit_costs_no_message():
    """Guards fleets without limits against messages and waits for them."""
    fleet = LimitFleet()
    fleet.load(LOAD_PER_S, 10.0)
    fleet.run(10.0)
    assert not any(host.limits for host in fleet.hosts.values())
    # A question, an answer, an end that is sent twice, a renewal, and the free
    # slots of three pools.
    assert fleet.messages / fleet.asked < 7
