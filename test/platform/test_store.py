"""The client of the store against a store that falls silent."""

import asyncio

import aiohttp
import pytest

from galenascale.gateway.jobs.partitions import LONG_POLL_S, RETRY_INTERVAL_S
from galenascale.gateway.store_followers import CONFIG_WAIT_SHARE, PROBE_TIMEOUTS_S
from galenascale.platform.store import StoreClient
from galenascale.store import StoreUnavailable

# The shortest time after which a host is held to its bounds again, once the
# store answers (StableMs of the platform's settings), in seconds.
STABLE_S = 3.0
# The operator's bound for changes of the configuration, in seconds.
CONFIG_APPLY_S = 2.0


@pytest.fixture
async def client(store):
    """Return a client of the stand-in."""
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
async def test_read_from_before_the_return_of_the_store_ends_in_time(
    store, client, wait_s, timeout_s
):
    """
    Guards the configuration in force against a read that hangs.

    Trouble-3 of a site: the store was silent from 18 s to 25 s, a change was
    acknowledged at 25.1 s, and a host whose read had begun at 24.8 s answered
    by the old configuration until 28.3 s.
    """
    store.faults.failure_mode_by_client["*"] = "silent"
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    with pytest.raises(StoreUnavailable):
        await client.read("jobs", 0, 0, wait_s=wait_s, timeout_s=timeout_s)
    assert loop.time() - started_at + RETRY_INTERVAL_S < STABLE_S
