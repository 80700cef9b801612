"""Pages of results that callers ask a stopping host for."""

import asyncio

import orjson
import pytest

from galenascale.gateway.jobs.api import STOPPING_RESULTS_BYTES
from test.gateway.fleet import gateway_fleet, until
from test.gateway.test_jobs import TOKENS, make_job, read_results, wait_for_results

ITEMS = 6
GRACE_S = 4.0
# Bytes of a page beside the texts of its results.
PAGE_OVERHEAD_BYTES = 4 << 10


async def run_job(fleet, events):
    """Run a job whose results have a number of events each; return them."""
    for runner in fleet.runners_of("llm"):
        runner.behaviour.events = events
        runner.behaviour.event_interval_s = 0.0
    tokens = TOKENS | {"X-Galenascale-Token-Usage": "9,9000"}
    job = make_job(ITEMS, headers=tokens)
    reply = await fleet.request("/jobs/x", request_id="job-1", data=job)
    assert reply.status == 202
    return await wait_for_results(fleet, "job-1", ITEMS)


# Guards callers against pages of which a stopping host cuts off the rest.
@pytest.mark.parametrize("events", [1000, 6000])
async def test_stopping_host_answers_with_pages_that_the_kernel_holds(events):
    """A page had up to 1 MB, however little time was left to read it."""
    async with gateway_fleet(hosts=2, bounds={"stop_grace_s": GRACE_S}) as fleet:
        results = await run_job(fleet, events)
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
