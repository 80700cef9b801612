"""Poison: at most two servers crashed by one content, innocents cleared."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from galenascale import codec
from galenascale.generated.messages import PoisonVerdict
from galenascale.poison import (
    CONTAINED_MS,
    MAX_CRASHES,
    PoisonTracker,
    Standing,
    fingerprint,
)

POISON, INNOCENTS, SERVERS = "bad", ["x", "y", "z"], ["s1", "s2", "s3", "s4"]


class PoisonMachine(RuleBasedStateMachine):
    """
    One poisonous content, resent at will under new ids, and innocent ones.

    Guards against a third crash and against the containment of an innocent
    content that never shared a server with a crash while it was a suspect.
    """

    def __init__(self):
        super().__init__()
        self.tracker = PoisonTracker("svc")
        self.running = {}  # attempt id -> (content, server)
        self.next_id = 0
        self.crashes_with = dict.fromkeys([POISON, *INNOCENTS], 0)

    @rule(
        content=st.sampled_from([POISON, POISON, *INNOCENTS]),
        server=st.sampled_from(SERVERS),
    )
    def start(self, content, server):
        run_rule = self.tracker.rule(content, 0)
        on_server = [item for item in self.running.values() if item[1] == server]
        isolated = [
            item
            for item in self.running.values()
            if self.tracker.standing(item[0], 0) == Standing.SUSPECT
        ]
        if not run_rule.allowed or (run_rule.isolated and on_server):
            return
        if run_rule.only is not None and server not in run_rule.only:
            return
        if any(item[1] == server for item in isolated):
            return
        self.next_id += 1
        self.running[self.next_id] = (content, server)
        self.tracker.started(content, self.next_id, server)

    @rule(server=st.sampled_from(SERVERS), data=st.data())
    def crash(self, server, data):
        hit = [key for key, item in self.running.items() if item[1] == server]
        contents = {self.running[key][0] for key in hit}
        if POISON not in contents:
            return
        for content in contents:
            self.crashes_with[content] += 1
        # The broken streams are noticed in any order.
        for key in data.draw(st.permutations(hit)):
            self.tracker.crashed(self.running.pop(key)[0], key, 0)

    @rule(data=st.data())
    def finish(self, data):
        keys = [key for key, item in self.running.items() if item[0] != POISON]
        if keys:
            key = data.draw(st.sampled_from(keys))
            content = self.running.pop(key)[0]
            before = self.tracker.standing(content, 0)
            verdict = self.tracker.finished(content, key, 0)
            if before == Standing.SUSPECT:
                assert not verdict.contained and not verdict.crashed_servers
            if before != Standing.CONTAINED:
                assert self.tracker.standing(content, 0) == Standing.TRUSTED

    @rule(data=st.data())
    def caller_goes_away(self, data):
        if self.running:
            key = data.draw(st.sampled_from(sorted(self.running)))
            self.tracker.ended(self.running.pop(key)[0], key)

    @invariant()
    def bounds_the_damage(self):
        assert self.crashes_with[POISON] <= MAX_CRASHES
        contained = self.crashes_with[POISON] == MAX_CRASHES
        standing = self.tracker.standing(POISON, 0)
        assert (standing == Standing.CONTAINED) == contained
        for content in INNOCENTS:
            if self.tracker.standing(content, 0) == Standing.CONTAINED:
                assert self.crashes_with[content] >= MAX_CRASHES


TestPoisonMachine = PoisonMachine.TestCase


@given(order=st.lists(st.sampled_from(range(4)), min_size=2, max_size=8))
def test_resends_to_other_hosts_meet_the_shared_verdict(order):
    hosts = [PoisonTracker("svc") for _ in range(4)]
    crashes = 0
    for attempt, number in enumerate(order):
        tracker = hosts[number]
        if not tracker.rule("bad", attempt).allowed:
            continue
        tracker.started("bad", attempt, f"s{attempt}")
        verdict = codec.encode(tracker.crashed("bad", attempt, attempt))
        crashes += 1
        for other in hosts:
            other.merge(codec.decode(PoisonVerdict, verdict), attempt)
    assert crashes == 2
    assert {host.standing("bad", 99) for host in hosts} == {Standing.CONTAINED}


@pytest.mark.parametrize(
    ("body", "same"),
    [
        ({"user": "u2", "stream": True}, True),
        ({"metadata": {"try": "2"}}, True),
        ({"temperature": 1}, False),
        ({"messages": [1]}, False),
    ],
)
def test_fingerprint_covers_the_content_and_not_the_caller(body, same):
    base = {"model": "m", "messages": [], "user": "u"}
    assert (
        fingerprint("/v1", base)
        == fingerprint("/v1", dict(reversed((base | body).items())))
    ) == same


def test_verdicts_clear_and_lapse():
    first, second = PoisonTracker("svc"), PoisonTracker("svc")
    first.started("x", "1", "s1")
    second.merge(first.crashed("x", "1", 5), 5)
    assert second.rule("x", 5).isolated
    first.started("x", "2", "s2")
    second.merge(first.finished("x", "2", 6), 6)
    assert second.standing("x", 6) == Standing.TRUSTED
    for attempt in "34":
        first.started("x", attempt, "s1")
        first.crashed("x", attempt, 7)
    assert first.standing("x", 7) == Standing.CONTAINED
    assert first.standing("x", 7 + CONTAINED_MS) != Standing.CONTAINED
