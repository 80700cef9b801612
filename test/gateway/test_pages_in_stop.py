"""Pages of results that callers ask a stopping host for."""

import asyncio

import orjson
import pytest

from galenascale.gateway.jobs.api import STOPPING_RESULTS_BYTES
from test.gateway.fleet import gateway_fleet, until
from test.gateway.slow_callers import run_job
from test.gateway.test_jobs import read_results

ITEMS = 6
GRACE_S = 4.0
# Bytes of a page beside the texts of its results.
PAGE_OVERHEAD_BYTES = 4 << 10


# Guards callers against pages of which a stopping host cuts off the rest.
@pytest.mark.parametrize("events", [1000, 6000])
async def test_stopping_host_answers_with_pages_that_the_kernel_holds(events):
    """A page had up to 1 MB, however little time was left to read it."""
    async with gateway_fleet(hosts=2, bounds={"stop_grace_s": GRACE_S}) as fleet:
        results = await run_job(fleet, ITEMS, events)
        host = fleet.hosts.pop(0)
        stop = asyncio.create_task(host.stop())
        await until(lambda: host.request_handler.stopping)
        reply = await fleet.request("/lots/job-1?After=0", method="GET")
        assert reply.headers["Connection"] == "close"
        largest = max(STOPPING_RESULTS_BYTES, len(orjson.dumps(results[0]["Text"])))
        assert len(reply.body) <= largest + PAGE_OVERHEAD_BYTES
        # Callers read on at other hosts.
        page = await read_results(fleet, "job-1")
        while page["NextToken"] < ITEMS:
            rest = await read_results(fleet, "job-1", page["NextToken"], host=2)
            assert rest["NextToken"] > page["NextToken"]
            page = rest | {"Outputs": page["Outputs"] + rest["Outputs"]}
        assert page["Outputs"] == results
        await stop
