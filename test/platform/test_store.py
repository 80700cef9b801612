"""Timeouts of the store's client if the store stops responding."""

import asyncio

import aiohttp
import pytest

from galenascale.gateway.jobs.partitions import LONG_POLL_S, RETRY_INTERVAL_S
from galenascale.gateway.store_followers import CONFIG_WAIT_SHARE
from galenascale.gateway.topic_follower import PROBE_TIMEOUTS_S
from galenascale.platform.store import StoreClient
from galenascale.store import StoreUnavailable

# Seconds after the store responds again from which a host must meet its time
# limits (StableMs of the platform's settings), at the least.
STABLE_S = 3.0
# Seconds in which a changed configuration must be in force.
CONFIG_APPLY_S = 2.0


@pytest.fixture
async def client(store):
    """Yield a client of the stand-in store."""
    async with aiohttp.ClientSession() as session:
        yield StoreClient(f"http://{store.address}", session)


@pytest.mark.parametrize(
    ("wait_s", "timeout_s"),
    [
        (CONFIG_APPLY_S * CONFIG_WAIT_SHARE, None),
        (LONG_POLL_S, None),
        (0.0, None),
        (0.0, min(PROBE_TIMEOUTS_S)),
    ],
)
async def test_read_hanging_since_an_outage_times_out_in_time(
    store, client, wait_s, timeout_s
):
    """
    A read that hangs since an outage must not delay a new configuration.

    Seen in the fault scenario Trouble-3: the store did not respond from 18 s
    to 25 s and acknowledged a change at 25.1 s; a host whose read had begun at
    24.8 s applied the old configuration until 28.3 s.
    """
    store.faults.failure_mode_by_client["*"] = "silent"
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    with pytest.raises(StoreUnavailable):
        await client.read("jobs", 0, 0, wait_s=wait_s, timeout_s=timeout_s)
    assert loop.time() - started_at + RETRY_INTERVAL_S < STABLE_S
