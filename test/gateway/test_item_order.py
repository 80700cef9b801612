"""Which items come first, on patterns of load."""

import attrs

from galenascale.gateway.jobs.item_order import RunLengthEstimate, start_order
from galenascale.gateway.jobs.item_runs import OpenItem


@attrs.define
class Item:
    """The part of an open item that the orders read."""

    due_at_ms: int
    events: int

    slack_ms = OpenItem.slack_ms


def test_items_that_can_be_in_time_start_first():
    """
    Guards jobs that can be in time against those that cannot.

    The load: more items than slots, where the order of due times alone makes
    each item late.
    """
    estimate = RunLengthEstimate()
    late = Item(due_at_ms=1000, events=0)
    soon = Item(due_at_ms=9000, events=0)
    begun = Item(due_at_ms=20000, events=150)
    fresh = Item(due_at_ms=20000, events=0)
    items = [late, fresh, soon, begun]
    items.sort(key=lambda item: start_order(item, 0, estimate))
    assert items == [begun, soon, fresh, late]
