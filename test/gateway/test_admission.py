"""Admission control: limits of the wait, and refused requests."""

import random

import attrs
import pytest

from galenascale.gateway.admission import (
    FIRST_EVENT_SAFETY_FACTOR,
    MAX_RETRY_AFTER_FRACTION,
    REFUSAL_TTL_S,
    RETRY_AFTER_RANGE_S,
    Admission,
    fingerprint,
)
from galenascale.gateway.requests import CallerRequest
from test.gateway.test_attempts import make_plan


def make_request(body=b"x"):
    """Return a request with the given body."""
    return CallerRequest("r", "POST", "/chat/1", "h", (), body)


def plan_at(now, timeout_s=5.0):
    """Return the plan of a request that arrived at `now`."""
    return attrs.evolve(make_plan(), arrived_at=now, deadline=now + timeout_s)


def test_retried_request_is_recognized_at_any_host():
    """Guards callers against repeated refusals of the same request."""
    first, second = (Admission(random.Random(seed)) for seed in (2, 3))
    key = fingerprint(make_request())
    retry_after_s = first.refuse(key, plan_at(10.0), 10.0)
    assert RETRY_AFTER_RANGE_S[0] <= retry_after_s <= RETRY_AFTER_RANGE_S[1]
    second.add_remote_refusals(first.local_refusals.recent_keys(10.1), 10.1)
    assert first.was_refused(key, 11.0)
    assert second.was_refused(key, 11.0)
    # A request with other content is not recognized.
    assert not second.was_refused(fingerprint(make_request(b"y")), 11.0)


def test_refusals_expire():
    """Guards against growing memory and messages between hosts."""
    admission = Admission(random.Random(2))
    admission.refuse(1, plan_at(10.0), 10.0)
    assert len(admission.local_refusals.recent_keys(11.0)) == 1
    assert admission.local_refusals.recent_keys(10.0 + REFUSAL_TTL_S + 0.1) == []
    assert not admission.was_refused(1, 10.0 + REFUSAL_TTL_S + 0.1)


def test_refusals_of_other_hosts_leave_the_memory():
    """Guards long-lived hosts: each refused request stayed in the memory."""
    admission = Admission(random.Random(2))
    for number in range(3000):
        at = number * 0.01
        admission.add_remote_refusals([number, number + 1], at)
        assert admission.was_refused(number, at)
    kept = len(admission._known_refusals._until_by_key)
    assert kept <= REFUSAL_TTL_S / 0.01 + 2


@pytest.mark.parametrize(
    ("timeout_s", "runs", "may_refuse"),
    [
        (5.0, 0, True),
        (RETRY_AFTER_RANGE_S[0] / MAX_RETRY_AFTER_FRACTION - 0.1, 0, False),
        (5.0, 1, False),
    ],
)
def test_only_requests_with_time_for_a_retry_are_refused(timeout_s, runs, may_refuse):
    """Guards callers against a Retry-After longer than they would wait."""
    plan = plan_at(10.0, timeout_s)
    plan.runs = runs
    assert Admission(random.Random(1)).may_refuse(plan, 10.0) is may_refuse


@pytest.mark.parametrize(
    ("first_event_s", "wait_share"), [(0.0, 1.0), (0.05, 0.8125), (0.4, 0.1)]
)
def test_wait_leaves_time_for_the_first_event(first_event_s, wait_share):
    """Guards the latency objective, which includes the first event."""
    admission = Admission(random.Random(1))
    for _ in range(50):
        admission.first_event_latency.record("llm", first_event_s)
    plan = plan_at(10.0)
    wait_s = admission.start_by(plan, "llm") - 10.0
    assert plan.route.objective_s == 0.4
    assert FIRST_EVENT_SAFETY_FACTOR == 1.5
    assert wait_s == pytest.approx(0.4 * wait_share)
