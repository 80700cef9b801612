"""Own slots of a host, and the choice of servers of a fleet that uses them."""

import random

import pytest

from bench.placement import BLIND, SLOTS, Server, Sight, play_bursts
from galenascale.gateway.balancing import Candidate, choose_candidate
from galenascale.gateway.gossip import DIRECT_LIMIT
from galenascale.gateway.slot_shares import SlotShares


@pytest.mark.parametrize(
    ("hosts", "servers", "requests_per_s", "load_age_s"),
    [(60, 45, 380, 0.8), (60, 45, 420, 0.8), (60, 45, 420, 0.3), (12, 5, 45, 0.12)],
)
def test_burst_is_spread_better_than_without_any_knowledge(
    hosts, servers, requests_per_s, load_age_s
):
    """
    Guards bursts that fill the fleet against loads that are known late.

    The load: a grown site at 4 s of trouble-2, 420 requests a second for two
    seconds after a calm one, 45 servers of 7 slots; each host knew 2.9
    requests at a server where 7.7 were, and 272 of 1,048 answers were late.
    Knowledge that is as old as a request lasts must not do more harm than
    none.
    """
    sight = Sight("known late", load_age_s, trusts_load=hosts <= DIRECT_LIMIT)
    known, blind = (
        play_bursts(hosts, servers, each, requests_per_s) for each in (sight, BLIND)
    )
    assert known.late <= blind.late


def test_each_slot_is_the_share_of_one_host():
    """Guards slots against two hosts that both take them first, or none."""
    names = [f"h{number}" for number in range(9)]
    shares = [SlotShares(name) for name in names]
    for share in shares:
        share.set_hosts(names)
    for number in range(20):
        server = Server(f"s{number}")
        assert sum(share.own_slots(server) for share in shares) == server.slots


def test_shares_follow_the_hosts_that_serve():
    """Guards the slots of a host that left against staying unused."""
    share = SlotShares("h0")
    server = Server("s0")
    assert share.own_slots(server) == SLOTS
    share.set_hosts([f"h{number}" for number in range(1, DIRECT_LIMIT + 1)])
    assert not share.is_load_stale
    share.set_hosts([f"h{number}" for number in range(1, DIRECT_LIMIT + 2)])
    assert share.is_load_stale
    assert share.own_slots(server) < SLOTS
    share.set_hosts([])
    assert share.own_slots(server) == SLOTS


def test_own_slots_at_a_failing_server_are_not_preferred():
    """Guards callers against the share of a server that fails its requests."""
    servers = [Server(f"s{number}") for number in range(5)]
    candidates = [Candidate(server, online=0) for server in servers[1:]]
    candidates.append(Candidate(servers[0], online=0, own_slots=SLOTS, quality=0.2))
    rng = random.Random(3)
    chosen = [choose_candidate(candidates, rng).server.server_id for _ in range(400)]
    assert chosen.count("s0") < 400 / 5
