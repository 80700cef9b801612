"""
Items that cannot start now, and those behind them.

Guards small items against waiting beside free slots for large ones, for which
the memory of no server has room.
"""

import attrs
import pytest

from galenascale.gateway.jobs.scheduler import (
    MAX_SLOT_REQUESTS,
    SMALL_ITEM_REQUESTS,
    with_small_items,
)
from test.gateway.fleet import gateway_fleet, until
from test.gateway.test_jobs import TOKENS, make_job, submit, wait_for_results

# Tokens of an item that leaves no room for another such one at an engine.
LARGE = 60_000


@attrs.frozen
class Item:
    """An item as far as its memory matters."""

    number: int
    memory_tokens: int


def make_items(*sizes):
    """Return items with these numbers of tokens."""
    return [Item(number, size) for number, size in enumerate(sizes)]


@pytest.mark.parametrize(
    ("sizes", "small"),
    [
        ([5] * 40, 0),
        ([1] * 40, 0),
        ([5] * 20 + [1] * 2, 2),
        ([5] * 20 + [1] * 20, SMALL_ITEM_REQUESTS),
        ([5] * 20 + [0] * 20, SMALL_ITEM_REQUESTS),
        # A small one is among the first anyway.
        ([5] * 8 + [1] + [5] * 20 + [1] * 20, 0),
        ([5, 1], 0),
    ],
)
def test_small_items_get_some_of_the_requests(sizes, small):
    """Guards the order of items of about the same size, too."""
    waiting = make_items(*sizes)
    first = waiting[:MAX_SLOT_REQUESTS]
    wanted = with_small_items(first, waiting)
    assert len(wanted) == len(first)
    kept = len(first) - small
    assert wanted[:kept] == first[:kept]
    least = min(item.memory_tokens for item in first)
    assert all(item.memory_tokens < least for item in wanted[kept:])


async def test_large_items_keep_no_small_ones_back():
    """Small items got no slot until all but a few large ones had run."""
    async with gateway_fleet(runners=2) as fleet:
        for runner in fleet.runners_of("llm"):
            runner.behaviour.events = 60
            runner.behaviour.event_interval_s = 0.03
        tokens = {"X-Galenascale-Token-Usage": f"{LARGE},300"}
        for number in range(2):
            body = make_job(20, headers=TOKENS | tokens)
            body = body.replace(b'"Tokens":180', b'"Tokens":%d' % LARGE)
            reply = await fleet.request(
                "/jobs/x", request_id=f"large-{number}", data=body
            )
            assert reply.status == 202
        await until(lambda: any(runner.running for runner in fleet.runners))
        assert await submit(fleet, "small") == 202
        assert len(await wait_for_results(fleet, "small", 3)) == 3
        large = [
            request
            for runner in fleet.runners
            for request in runner.requests
            if request.header("X-Galenascale-Token-Usage") != "100,80"
        ]
        assert len(large) < 20
