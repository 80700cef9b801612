"""Tests of the proof that a host's configuration is the newest one.

The model plays hosts that ask the store or each other, with clocks that differ
by any amount, delayed and lost answers, cuts and hosts that stand still. While
a host permits requests with a key, it must know of each change that was
acknowledged longer ago than the operator's bound.
"""

import asyncio
import heapq
import itertools
import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from galenascale.gateway.configuration_proof import ConfigurationProof
from test.gateway.fleet import gateway_fleet, key_header, make_tenant, until

REVOKE_MS = 5000
KEY = "kauzr9k2m4pq0s1t7vwx"
TENANTS = (make_tenant("one", KEY),)


@attrs.define
class ModelHost:
    """A host with a clock of its own."""

    offset_s: float
    proof: ConfigurationProof = attrs.field(factory=ConfigurationProof)
    version: int = 0
    reaches_store: bool = True
    frozen: bool = False
    # Events that arrived while the host stood still.
    waiting: list = attrs.field(factory=list)


class Model:
    """A store and hosts that ask it or each other, in simulated time."""

    def __init__(self, seed, hosts=4):
        self.rng = random.Random(seed)
        self.now = 0.0
        self._events = []
        self._order = itertools.count()
        # Times at which the versions of the configuration were acknowledged.
        self.acknowledged_at = [0.0]
        self.hosts = [
            ModelHost(self.rng.uniform(-1e6, 1e6), reaches_store=True)
            for _ in range(hosts)
        ]

    def at(self, delay_s, host, call, *arguments):
        """Let a host handle an event after a delay."""
        event = (self.now + delay_s, next(self._order), host, call, arguments)
        heapq.heappush(self._events, event)

    def local(self, host):
        """Return the time on a host's clock."""
        return self.now + host.offset_s

    def delay_s(self):
        """Return the delay of a message: short, or long now and then."""
        return self.rng.choice((0.002, 0.002, 0.3, 2.0, 6.0))

    def change(self):
        """Let the operator write the next version."""
        self.acknowledged_at.append(self.now)

    def ask_store(self, host):
        """Let a host read the configuration; the answer may be lost."""
        if host.reaches_store and self.rng.random() < 0.7:
            asked_at = self.local(host)
            out_s = self.delay_s()
            self.at(out_s, None, self._answer_of_store, host, asked_at)

    def _answer_of_store(self, host, asked_at):
        version = len(self.acknowledged_at) - 1
        self.at(self.delay_s(), host, self._on_store, host, asked_at, version)

    def _on_store(self, host, asked_at, version):
        host.version = max(host.version, version)
        host.proof.record(asked_at)

    def ask_peer(self, host, peer):
        """Let a host ask another one; question or answer may be lost."""
        if self.rng.random() < 0.7:
            asked_at = self.local(host)
            self.at(self.delay_s(), peer, self._answer_of_peer, host, peer, asked_at)

    def _answer_of_peer(self, host, peer, asked_at):
        age_s = peer.proof.age_s(self.local(peer))
        self.at(
            self.delay_s(), host, self._on_peer, host, asked_at, age_s, peer.version
        )

    def _on_peer(self, host, asked_at, age_s, version):
        host.version = max(host.version, version)
        host.proof.record_of_peer(asked_at, age_s)

    def run(self, seconds):
        """Play all events of the next seconds and check all hosts."""
        until_s = self.now + seconds
        while self._events and self._events[0][0] <= until_s:
            self.now, _, host, call, arguments = heapq.heappop(self._events)
            if host is not None and host.frozen:
                host.waiting.append((call, arguments))
            else:
                call(*arguments)
            self.check()
        self.now = until_s
        self.check()

    def wake(self, host):
        """Let a host that stood still handle what has arrived."""
        host.frozen = False
        for call, arguments in host.waiting:
            call(*arguments)
        host.waiting.clear()

    def check(self):
        """Check that no host permits keys with too old a configuration."""
        for host in self.hosts:
            if not host.proof.permits_keys(self.local(host), REVOKE_MS):
                continue
            unknown = self.acknowledged_at[host.version + 1 :]
            assert all(self.now < time + REVOKE_MS / 1000 for time in unknown)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["change", "store", "peer", "peer", "cut", "freeze", "wake"]),
        st.integers(0, 3),
        st.integers(0, 3),
        st.sampled_from([0.0, 0.1, 0.7, 2.0, 4.9]),
    ),
    min_size=4,
    max_size=60,
)


@settings(max_examples=300, deadline=None)
@given(seed=st.integers(0, 1 << 16), steps=STEPS)
def test_no_host_permits_keys_without_knowing_old_changes(seed, steps):
    """Plays changes, cuts, pauses, delays and losses in any order."""
    model = Model(seed)
    for kind, number, other, seconds in steps:
        host, peer = model.hosts[number], model.hosts[other]
        if kind == "change":
            model.change()
        elif kind == "store" and not host.frozen:
            model.ask_store(host)
        elif kind == "peer" and not host.frozen and peer is not host:
            model.ask_peer(host, peer)
        elif kind == "cut":
            host.reaches_store = not host.reaches_store
        elif kind == "freeze":
            host.frozen = True
        elif kind == "wake":
            model.wake(host)
        model.run(seconds)


def test_model_catches_a_proof_from_the_time_of_the_answer():
    """Shows that the check fails for a proof that is dated too late."""

    class LateProof(ConfigurationProof):
        def record_of_peer(self, asked_at, age_s):
            # As if the answer had come without a delay.
            self.record(asked_at - age_s + 6.0)

    model = Model(1)
    model.rng = random.Random(5)
    asking, asked = model.hosts[:2]
    asking.proof = LateProof()
    model.ask_store(asked)
    model.run(13.0)
    model.change()
    with pytest.raises(AssertionError):
        for _ in range(40):
            model.ask_store(asked)
            model.ask_peer(asking, asked)
            model.run(1.0)
            model.change()


@pytest.mark.parametrize(
    ("age_s", "revoke_ms", "permits"),
    [
        (0.0, REVOKE_MS, True),
        (4.8, REVOKE_MS, True),
        (4.95, REVOKE_MS, False),
        (5.0, REVOKE_MS, False),
        (1e9, 0, True),
    ],
)
def test_proof_expires_before_the_bound(age_s, revoke_ms, permits):
    """Guards the operator's bound, and fleets that have none."""
    proof = ConfigurationProof()
    proof.record(100.0)
    assert proof.permits_keys(100.0 + age_s, revoke_ms) is permits
    assert not ConfigurationProof().permits_keys(100.0, REVOKE_MS)


async def statuses(fleet, hosts):
    """Return the statuses of a request with a key at each host."""
    return [
        (await fleet.request("/plain/x", headers=key_header(KEY), host=host)).status
        for host in range(1, hosts + 1)
    ]


async def test_host_cut_off_from_all_refuses_requests_with_a_key():
    """
    Pattern: a host reaches neither the store nor other hosts.

    Its refusals are true and soon, it is not ready, and it serves again once
    it has asked the store.
    """
    bounds = {"revoke_ms": 1500, "config_apply_ms": 800}
    async with gateway_fleet(tenants=TENANTS, bounds=bounds) as fleet:
        assert await statuses(fleet, 1) == [200]
        fleet.store.faults.failure_mode_by_client["*"] = "silent"
        await asyncio.sleep(1.8)
        served = len(fleet.runners_of("app")[0].requests)
        reply = await fleet.request("/plain/x", headers=key_header(KEY))
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) <= 0.5
        assert reply.headers["Connection"] == "close"
        assert b"configuration_unproven" in reply.body
        assert not fleet.hosts[0].ready
        assert len(fleet.runners_of("app")[0].requests) == served
        # A key that this host does not know may have been added meanwhile.
        reply = await fleet.request("/plain/x", headers=key_header("new-key"))
        assert reply.status == 503
        fleet.store.faults.failure_mode_by_client.clear()
        await until(lambda: fleet.hosts[0].ready, 4.0)
        assert await statuses(fleet, 1) == [200]


async def test_host_without_the_store_gets_its_proof_from_another_one():
    """Pattern: the store turns one host away while a key is taken away."""
    bounds = {"revoke_ms": 3000, "config_apply_ms": 1500}
    async with gateway_fleet(tenants=TENANTS, bounds=bounds, hosts=2) as fleet:
        fleet.store.faults.failure_mode_by_client["127.0.0.2"] = "busy"
        await until(lambda: fleet.hosts[1].store_status.is_up is False, 4.0)
        for _ in range(8):
            await asyncio.sleep(0.5)
            assert await statuses(fleet, 2) == [200, 200]
        fleet.tenants = [make_tenant("one", "another")]
        fleet.write_config()
        await asyncio.sleep(2.0)
        assert await statuses(fleet, 2) == [401, 401]


async def test_broken_configuration_proves_nothing():
    """Guards against a record whose changes this host cannot read."""
    bounds = {"revoke_ms": 1200, "config_apply_ms": 500}
    async with gateway_fleet(tenants=TENANTS, bounds=bounds) as fleet:
        fleet.store.write_key("keyed.op", "config", b'{"Version":2,"Tenants":[7]}')
        await asyncio.sleep(1.6)
        assert await statuses(fleet, 1) == [503]
        fleet.version = 2
        fleet.write_config()
        await until(lambda: fleet.hosts[0].ready, 3.0)
        assert await statuses(fleet, 1) == [200]
