"""Attempt limits of a request, and the errors that end it."""

import attrs
import pytest

from galenascale.errors import Execution
from galenascale.gateway.attempts import MAX_REFUSALS, AttemptPlan
from galenascale.gateway.configuration import RequestKind, Route, TrafficSplit


def make_plan(kind=RequestKind.IDEMPOTENT, attempts=2, **fields):
    """Return the plan of a request that arrived at 10 s."""
    route = Route(
        "r", "h", "/", kind, (TrafficSplit("s", 1),), 5.0, 0.4, attempts, **fields
    )
    return AttemptPlan(route, arrived_at=10.0, deadline=15.0)


@attrs.frozen
class Case:
    """A kind of route and the results of its attempts."""

    kind: RequestKind
    resumable: bool
    events: tuple
    may_run: bool
    status: int


@pytest.mark.parametrize(
    "case",
    [
        Case(RequestKind.NON_IDEMPOTENT, False, ("refused",), True, 503),
        Case(RequestKind.NON_IDEMPOTENT, False, ("broken",), False, 502),
        Case(RequestKind.STREAMING, False, ("broken",), False, 502),
        Case(RequestKind.STREAMING, True, ("broken",), True, 502),
        Case(RequestKind.STREAMING, True, ("broken", "broken"), False, 502),
        # The first run lost with its server does not count as an attempt.
        Case(RequestKind.STREAMING, True, ("broken", "cut_off"), True, 502),
        Case(RequestKind.STREAMING, True, ("broken", "cut_off", "cut_off"), False, 502),
        Case(RequestKind.IDEMPOTENT, False, ("refused", "broken"), True, 502),
        Case(RequestKind.IDEMPOTENT, False, ("broken", "broken"), False, 502),
    ],
    ids=str,
)
def test_sends_stay_within_what_the_route_allows(case):
    """Guards at-most-once routes, attempt limits and 503 only if not run."""
    plan = make_plan(case.kind, resumable=case.resumable)
    for number, event in enumerate(case.events):
        plan.record_send(number)
        if event == "refused":
            plan.record_refusal(number)
        elif event == "cut_off":
            plan.record_server_loss()
    assert plan.may_run() is case.may_run
    error = plan.make_error("over", now=12.0)
    assert error.http_status == case.status
    assert (error.execution is Execution.NOT_RUN) is (case.status == 503)


def test_request_is_refused_at_once_when_it_cannot_be_in_time():
    """Guards callers against futile waits for servers that refuse."""
    plan = make_plan()
    plan.record_send(1)
    plan.record_refusal(1)
    assert plan.next_backoff_s(now=10.1) is not None
    assert not plan.excludes(1)
    plan.record_send(1)
    plan.record_refusal(1)
    assert plan.next_backoff_s(now=10.39) is None


def test_request_is_refused_after_many_refusals():
    """Guards servers against endless attempts of one request."""
    plan = make_plan()
    for number in range(MAX_REFUSALS):
        plan.record_send(number)
        plan.record_refusal(number)
    assert plan.next_backoff_s(now=10.0) is None
