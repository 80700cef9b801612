"""Views of hosts and servers under restarts, silence and late words."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from galenascale.generated.messages import BackendServerDeclaration, HostInfo
from galenascale.hashing import rendezvous_owner
from galenascale.membership import ListedHost, Membership
from galenascale.server_view import RETURN_GRACE_S, TELL_LEAVING_S
from test.fleet import Fleet

HOSTS = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}
SERVERS = {
    name: BackendServerDeclaration(name=name, service_name="s") for name in ("x", "y")
}
hosts = st.sampled_from(sorted(HOSTS))
servers = st.sampled_from(sorted(SERVERS))


class MembershipMachine(RuleBasedStateMachine):
    """Guards the rules on leaving, incarnations and dead owners."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(HOSTS)
        self.told = set()
        self.seen = {}

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.9, 2.1, 6.0, 70.0]))
    def pass_time(self, seconds):
        self.fleet.now += seconds

    @rule(a=hosts, b=hosts)
    def gossip(self, a, b):
        if a == b or a not in self.fleet.exchanges_by_id:
            return
        self.fleet.membership(a).beat(self.fleet.now)
        self.fleet.exchange(a, b)
        if b not in self.fleet.exchanges_by_id:
            return
        peer = self.fleet.membership(b).servers
        for server, age in self.fleet.membership(a).servers.recent_leaving(
            self.fleet.now
        ):
            returned = peer._signs(server).returned_at
            if self.fleet.now - age >= returned + RETURN_GRACE_S + 0.01:
                self.told.add((b, server))

    @rule(host=hosts)
    def restart(self, host):
        self.fleet.start(host)
        self.told = {item for item in self.told if item[0] != host}
        self.seen = {key: value for key, value in self.seen.items() if key[0] != host}

    @rule(host=hosts)
    def kill(self, host):
        if len(self.fleet.exchanges_by_id) > 1:
            self.fleet.exchanges_by_id.pop(host, None)

    @rule(host=hosts)
    def leave(self, host):
        if host in self.fleet.exchanges_by_id:
            self.fleet.membership(host).update_own(state="leaving")

    @rule(host=hosts, server=servers)
    def server_leaves(self, host, server):
        if host in self.fleet.exchanges_by_id:
            self.fleet.membership(host).servers.leaving(self.fleet.now, server)
            self.told.add((host, server))

    @rule(host=hosts, server=servers, late=st.booleans())
    def server_answers(self, host, server, late):
        """An answer to a request from before the failure proves nothing."""
        if host not in self.fleet.exchanges_by_id:
            return
        view, failed_at = self.fleet.membership(host).servers, self.fleet.now
        view.answered(failed_at, server, failed_at)
        if late:
            view.failed(failed_at, server)
            view.answered(failed_at + 0.1, server, failed_at - 0.1)
            assert not view.is_usable(failed_at + 0.1, server)
            self.fleet.now += 0.2
            view.answered(self.fleet.now, server, self.fleet.now - 0.1)
            self.told.discard((host, server))

    @invariant()
    def leaving_servers_are_not_usable(self):
        for host, server in self.told:
            if host in self.fleet.exchanges_by_id:
                usable = self.fleet.membership(host).usable_servers(
                    self.fleet.now, "s", SERVERS
                )
                assert SERVERS[server] not in usable

    @invariant()
    def incarnations_never_go_back(self):
        for observer in self.fleet.exchanges_by_id:
            membership = self.fleet.membership(observer)
            for host in HOSTS:
                info = membership.known_info(host)
                if info is None:
                    continue
                number = int(info.incarnation[1:])
                last, left = self.seen.get((observer, host), (0, False))
                assert number >= last
                assert number > last or not left or info.state == "leaving"
                self.seen[observer, host] = (number, info.state == "leaving")

    def teardown(self):
        """Gossip makes all views equal, without dead hosts or owners."""
        self.fleet.rounds(24)
        now = self.fleet.now
        alive = sorted(self.fleet.exchanges_by_id)
        views = [self.fleet.membership(host) for host in alive]
        staying = {view.own.host_id for view in views if view.own.state == "live"}
        for view in views:
            assert [info.host_id for info in view.live_hosts(now)] == alive
            for info in view.live_hosts(now):
                own = self.fleet.membership(info.host_id).own
                assert (info.incarnation, info.state) == (own.incarnation, own.state)
        for shard in range(8):
            owners = {view.owner_of_shard(now, shard) for view in views}
            assert len(owners) == 1 and owners <= (staying or {None})
            owners = {view.slot_owner(now, str(shard), "b") for view in views}
            local = {host for host in staying if HOSTS[host] == "b"}
            assert len(owners) == 1 and owners <= (local or {None})


TestMembership = MembershipMachine.TestCase


@given(
    st.sets(st.text(min_size=1, max_size=8), min_size=2, max_size=12), st.integers(0)
)
def test_only_the_share_of_a_leaving_host_moves(ids, pick):
    """Guards against ownership that moves between hosts that stay."""
    gone = sorted(ids)[pick % len(ids)]
    for key in map(str, range(200)):
        before = rendezvous_owner(key, ids)
        if before != gone:
            assert rendezvous_owner(key, ids - {gone}) == before


def test_ownership_is_spread_evenly():
    """Guards against hashing that gives one of 9 hosts a double share."""
    ids = [f"host-{number}" for number in range(9)]
    owned = [rendezvous_owner(str(key), ids) for key in range(9000)]
    assert all(850 < owned.count(host) < 1150 for host in ids)


def test_host_restarted_with_an_earlier_clock_outbids_its_past():
    """Guards against a replaced host that nobody accepts."""
    fleet = Fleet(HOSTS)
    fleet.rounds(8)
    fleet.start("a1", generation=-5)
    fleet.rounds(8)
    for host in HOSTS:
        infos = fleet.membership(host).live_hosts(fleet.now, "a")
        assert [info.incarnation for info in infos] == ["i6", "i2", "i3"]


LISTED = ListedHost("p", "a", "", "http://p", "live")


@pytest.mark.parametrize(
    ("lists", "state"),
    [
        ([("leaving", "")], "live"),
        ([("live", ""), ("leaving", "")], "leaving"),
        ([("leaving", "old")], "live"),
        ([("leaving", "now")], "leaving"),
        ([("live", "now"), ("leaving", "now"), ("live", "now")], "leaving"),
    ],
)
def test_lagging_list_ends_only_the_incarnation_it_means(lists, state):
    """Guards against a returned host that its former entry marks leaving."""
    view = Membership(HostInfo(host_id="o", failure_domain="a"))
    view.see_host_list(0.0, [LISTED])
    assert view.contact_candidates(0.0, "a") == ["p"]
    assert [info.host_id for info in view.live_hosts(0.0)] == ["o"]
    view.see_host(1.0, HostInfo("p", "now", "a", heartbeat=1))
    for listed_state, incarnation in lists:
        item = attrs.evolve(LISTED, state=listed_state, incarnation=incarnation)
        view.see_host_list(1.0, [item])
    assert view.live_hosts(1.0, "a")[1].state == state
    view.see_host(1.1, HostInfo("p", "now", "a", heartbeat=2))
    assert view.live_hosts(1.1, "a")[1].state == state


def test_lowest_read_version_counts_hosts_that_are_not_passed_on():
    """Guards against raising the write version above a hidden host's."""
    domains = {f"a{number}": "a" for number in range(8)} | {"b1": "b"}
    fleet = Fleet(domains)
    for host in domains:
        fleet.membership(host).update_own(reads_version=3)
    fleet.rounds(8)
    # Without seeds b1 loses sight of the hosts that are not passed on.
    fleet.membership("b1")._seed_peers.clear()
    fleet.rounds(60)
    representatives = fleet.membership("a0").view(fleet.now).representatives_by_domain
    hidden = next(host for host in sorted(domains) if host not in representatives["a"])
    view = fleet.membership("b1")
    assert hidden not in [info.host_id for info in view.live_hosts(fleet.now)]
    assert view.min_reads_version(fleet.now) == 3
    fleet.membership(hidden).update_own(reads_version=2)
    fleet.rounds(8)
    assert view.min_reads_version(fleet.now) == 2


def test_one_exchange_tells_both_sides_and_refuses_the_past():
    """Guards answers to unknown fingerprints and the order of processes."""
    fleet = Fleet(HOSTS)
    past = attrs.evolve(fleet.membership("a3").own, heartbeat=99)
    fleet.start("a3")
    fleet.exchange("a2", "a3")
    fleet.exchange("a1", "b1")
    fleet.exchange("a1", "a2")
    for host, other in (("a1", "a3"), ("a2", "b1")):
        view = fleet.membership(host)
        assert view.known_info(other).host_id == other
        view.see_host(fleet.now, past)
        if other == "a3":
            assert view.known_info("a3").incarnation == "i6"


def test_words_about_a_former_process_do_not_bind_a_returned_server():
    """Guards against a server that old gossip keeps out for ever."""
    view = Membership(HostInfo(host_id="o", failure_domain="a")).servers
    view.leaving(10.0, "x")
    view.failed(11.0, "x")
    view.answered(12.0, "x", 11.5)
    view.told_leaving(20.0, "x", 9.0)
    view.told_leaving(20.0, "x")
    assert view.is_usable(20.0, "x")
    view.told_leaving(30.0, "x", 1.0)
    assert not view.is_usable(30.0 + TELL_LEAVING_S, "x")


def test_silent_host_returns_by_a_relayed_heartbeat():
    """Guards against a view that is kept although a host came back."""
    view = Membership(HostInfo(host_id="o", failure_domain="a"))
    view.see_host(0.0, HostInfo("p", "i", "a", heartbeat=1))
    assert [info.host_id for info in view.live_hosts(10.0)] == ["o"]
    assert view.see_heartbeats(10.0, [view.key_of("p"), 5], [2, 1]) == [5]
    assert [info.host_id for info in view.live_hosts(10.0)] == ["o", "p"]
