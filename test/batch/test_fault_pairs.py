"""Every pair of failures, one after the other, while a job runs."""

import asyncio
import itertools

import pytest

from test.batch.test_outcomes import Script, check_all
from test.batch.world import World

# Steps of each failure, which lasts until the checks end all failures.
FAILURES = {
    "worker_death": [("crash", 0), ("crash", 1)],
    "host_loss": [("replace", 0)],
    "store_down": [("appends", ["down"] * 40)],
    "lost_answer": [("appends", ["lost_answer", "late"] * 4)],
    "paused_holder": [("pause", 0), ("pause", 1)],
    "resent_job": [("resend", 2)],
    "cancel": [("cancel", 2)],
    "racing_operators": [("racing", True), ("call", 2), ("cancel", 1), ("resend", 2)],
}
PAIRS = list(itertools.combinations_with_replacement(FAILURES, 2))


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    ("first", "second"),
    PAIRS,
    ids=["-".join(pair) for pair in PAIRS],
)
def test_pair(first, second, idempotent):
    """Guards outcomes against a second failure before the first is over."""

    async def run():
        world = World()
        items = tuple(f"{'item' if idempotent else 'once'}{n}" for n in range(8))
        script = Script(world, "svc", idempotent, items)
        await script.step("resend", 0)
        for name in (first, second):
            await world.clock.advance(0.45)
            for step in FAILURES[name]:
                await script.step(*step)
        await world.clock.advance(6)
        await script.step("resend", 2)
        await check_all(world)
        assert len(world.accepted) == 1
        await world.close()

    asyncio.run(run())
