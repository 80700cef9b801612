"""Order in which waiting items start."""

import types

import attrs
import pytest

from galenascale.gateway.jobs.item_order import RunLengthEstimate, start_order
from galenascale.gateway.jobs.item_runs import RunResult
from galenascale.gateway.jobs.open_items import OpenItem
from galenascale.gateway.jobs.outcomes import RunResultHandler
from galenascale.gateway.jobs.stored_items import pack_items
from galenascale.gateway.json_log import JsonLog
from galenascale.gateway.metrics import GatewayMetrics
from galenascale.generated.gateway_messages import Job, JobItem
from test.gateway.fleet import gateway_fleet
from test.gateway.test_jobs import submit, wait_for_results


@attrs.define
class Item:
    """The part of an OpenItem that the sort key reads."""

    due_at_ms: int
    events: int

    slack_ms = OpenItem.slack_ms


def test_items_that_can_be_in_time_start_first():
    """
    Guards items that can be in time against those that are late anyway.

    With more items than slots, the order of due times alone makes every item
    late.
    """
    estimate = RunLengthEstimate()
    late = Item(due_at_ms=1000, events=0)
    due_soon = Item(due_at_ms=9000, events=0)
    started = Item(due_at_ms=20000, events=150)
    not_started = Item(due_at_ms=20000, events=0)
    items = [late, not_started, due_soon, started]
    items.sort(key=lambda item: start_order(item, 0, estimate))
    assert items == [started, due_soon, not_started, late]


@pytest.mark.parametrize(
    ("outcome", "failures", "finished", "delayed"),
    [
        ("completed", 0, True, False),
        ("cannot_be_done", 0, True, False),
        ("failed", 2, True, False),
        ("failed", 1, False, True),
        ("refused", 0, False, True),
        ("broken", 0, False, True),
    ],
)
def test_finished_item_is_not_delayed(outcome, failures, finished, delayed):
    """Guards the last failed run of an item against a pointless back-off."""
    context = types.SimpleNamespace(
        clock=types.SimpleNamespace(monotonic=lambda: 5.0),
        metrics=GatewayMetrics(),
        log=JsonLog("h", "error"),
        configuration=types.SimpleNamespace(version=1),
    )
    recorder = types.SimpleNamespace(add=lambda *_: None)
    items = pack_items([JobItem("i")])
    state = types.SimpleNamespace(job=Job(), items=items, job_id="j")
    item = OpenItem(state, 0, failures=failures)
    route = types.SimpleNamespace(max_attempts=3)
    server = types.SimpleNamespace(server_id="s")
    handler = RunResultHandler(context, recorder)
    handler.handle(item, server, route, RunResult(outcome))
    assert item.finished is finished
    assert (item.not_before > 5.0) is delayed


async def test_length_of_a_run_does_not_count_the_wait_before_it():
    """
    Guards due times against a queue at the server, taken for run time.

    The server answers late, then sends its events at once.
    """
    async with gateway_fleet(runners=1) as fleet:
        (runner,) = fleet.runners_of("llm")
        runner.behaviour.processing_time_s = 0.8
        lengths = []
        scheduler = fleet.hosts[0].runner._scheduler
        estimate = scheduler.estimates.of_route("jobs")
        estimate.add_run = lambda run_ms, events: lengths.append((run_ms, events))
        assert await submit(fleet, "job-1", items=1) == 202
        await wait_for_results(fleet, "job-1", 1)
        ((run_ms, events),) = lengths
        assert events == 5
        assert 0 < run_ms < 700
