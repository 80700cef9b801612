"""Order in which waiting items start."""

import attrs

from galenascale.gateway.jobs.item_order import RunLengthEstimate, start_order
from galenascale.gateway.jobs.item_runs import OpenItem


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
