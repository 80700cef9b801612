"""A short soak on fixed seeds, and the seeds that ever failed."""

import pytest

from test.soak.gateway_process import BREAK_VARIABLE, BREAKS_BY_NAME
from test.soak.play import Size, play

# Played in each run of CI; `python -m test.soak` plays fresh ones.
SEEDS = (11, 12)
# Seeds that failed once, with the cause.
REGRESSIONS = {}
SMALL = Size(hosts=3, faults=6)


@pytest.mark.parametrize("seed", [*SEEDS, *REGRESSIONS])
async def test_promises_hold_under_faults(seed):
    """Guards the promises of the gateway while processes and links fail."""
    result = await play(seed, SMALL)
    assert result.broken == [], f"logs: {result.directory}"
    assert result.served > result.requests / 4
    assert result.jobs > 0


@pytest.mark.parametrize("name", sorted(BREAKS_BY_NAME))
async def test_soak_notices_a_broken_promise(name):
    """Guards the soak against checks that cannot fail."""
    result = await play(3, SMALL, {BREAK_VARIABLE: name})
    assert result.broken
