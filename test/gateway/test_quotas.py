"""Quotas of batch tokens through whole hosts, with faults."""

import asyncio

import attrs
import pytest

from test.gateway.fleet import ROUTES, gateway_fleet, until
from test.gateway.test_jobs import make_job, read_results, submit, wait_for_results

# Tokens of an item in the jobs of these tests.
ITEM_TOKENS = 180
TEN_ITEMS = 10 * ITEM_TOKENS
POLL_S = 0.1


def set_limit(fleet, tokens):
    """Let the operator set the limit of the route of jobs."""
    routes = [
        {**route, "MaxQueueTokens": tokens} if route["Name"] == "jobs" else route
        for route in ROUTES
    ]
    fleet.write_config(routes)


async def in_force(fleet):
    """Wait until all hosts have the newest configuration."""
    await until(
        lambda: all(
            host.parts.configuration.version == fleet.version for host in fleet.hosts
        )
    )


async def limit(fleet, tokens):
    """Set the limit and wait until it is in force."""
    set_limit(fleet, tokens)
    await in_force(fleet)


def hold_items(fleet):
    """Let runs of items take long."""
    for runner in fleet.runners_of("llm"):
        runner.behaviour.event_interval_s = 1.0


def let_go(fleet):
    """Let items end soon."""
    for runner in fleet.runners_of("llm"):
        runner.behaviour.event_interval_s = 0.01


async def accepted_within(fleet, seconds, job_id, **fields):
    """Submit a job again until it is accepted; fail after some seconds."""
    async with asyncio.timeout(seconds):
        status = await submit(fleet, job_id, **fields)
        for _ in range(int(seconds / POLL_S)):
            if status == 202:
                return
            await asyncio.sleep(POLL_S)
            status = await submit(fleet, job_id, **fields)
        assert status == 202


def open_tokens(fleet, host=0):
    """Return the open tokens as a host last read them."""
    logs = fleet.hosts[host].parts.quotas._quota_logs_by_route
    return logs["jobs"].state.total if "jobs" in logs else 0


async def test_job_that_does_not_fit_is_refused_until_others_are_done():
    """Guards the limit, and a job that fits again, on all hosts."""
    async with gateway_fleet(hosts=2) as fleet:
        await limit(fleet, TEN_ITEMS)
        hold_items(fleet)
        assert await submit(fleet, "job-1", items=6) == 202
        reply = await fleet.request(
            "/jobs/x", request_id="job-2", host=2, data=make_job(6)
        )
        assert reply.status == 429
        assert float(reply.headers["Retry-After"]) > 0
        assert await submit(fleet, "job-3", items=4, host=2) == 202
        # An accepted job is accepted again, however full it is.
        assert await submit(fleet, "job-1", items=6, host=2) == 202
        let_go(fleet)
        await wait_for_results(fleet, "job-1", 6)
        await wait_for_results(fleet, "job-3", 4)
        await accepted_within(fleet, 3.0, "job-2", items=6, host=2)
        # The refused one ran only once it was accepted.
        await wait_for_results(fleet, "job-2", 6)


async def test_job_larger_than_the_limit_is_not_asked_to_come_back():
    """Guards callers against tries that can never succeed."""
    async with gateway_fleet() as fleet:
        await limit(fleet, TEN_ITEMS)
        reply = await fleet.request("/jobs/x", request_id="j", data=make_job(11))
        assert (reply.status, reply.headers.get("Retry-After")) == (429, None)
        assert b"quota_exceeded" in reply.body


async def test_simultaneous_jobs_stay_within_the_limit_and_fill_it():
    """Guards the limit against hosts that decide at the same moment."""
    async with gateway_fleet(hosts=3) as fleet:
        await limit(fleet, TEN_ITEMS)
        hold_items(fleet)
        statuses = await asyncio.gather(
            *(submit(fleet, f"job-{n}", items=2, host=n % 3 + 1) for n in range(18))
        )
        assert sorted(statuses) == [202] * 5 + [429] * 13


async def test_ended_job_gives_its_tokens_back():
    """Guards the quota against jobs whose end was asked for."""
    async with gateway_fleet(hosts=2) as fleet:
        await limit(fleet, TEN_ITEMS)
        hold_items(fleet)
        assert await submit(fleet, "job-1", items=10) == 202
        assert await submit(fleet, "job-2", items=1) == 429
        await fleet.request("/lots/job-1", method="DELETE", host=2)
        await accepted_within(fleet, 1.0, "job-2", items=10)


@attrs.frozen
class Change:
    """A limit before and after, and what a job of four items then gets."""

    before: int
    after: int
    status: int


@pytest.mark.parametrize(
    "change",
    [
        Change(2 * TEN_ITEMS, TEN_ITEMS // 2, 429),
        Change(TEN_ITEMS, 2 * TEN_ITEMS, 202),
        Change(TEN_ITEMS, 0, 202),
        Change(0, TEN_ITEMS, 429),
    ],
    ids=lambda change: f"{change.before}-{change.after}",
)
async def test_changed_limit_is_in_force_and_takes_nothing_back(change):
    """Guards accepted jobs, and jobs from before there was a limit."""
    async with gateway_fleet(hosts=2) as fleet:
        await limit(fleet, change.before)
        hold_items(fleet)
        assert await submit(fleet, "job-1", items=8) == 202
        await limit(fleet, change.after)
        if not change.before:
            await until(lambda: open_tokens(fleet) or open_tokens(fleet, 1))
        assert await submit(fleet, "job-2", items=4, host=2) == change.status
        let_go(fleet)
        await wait_for_results(fleet, "job-1", 8)


async def test_tokens_of_a_lost_host_come_back():
    """Guards the quota against hosts that end with jobs and reservations."""
    async with gateway_fleet(hosts=2) as fleet:
        await limit(fleet, TEN_ITEMS)
        hold_items(fleet)
        assert await submit(fleet, "job-1", items=10) == 202
        await fleet.hosts.pop(0).kill()
        let_go(fleet)
        assert await submit(fleet, "job-2", items=1, host=2) == 429
        await wait_for_results(fleet, "job-1", 10, host=2)
        await accepted_within(fleet, 5.0, "job-2", items=10, host=2)


@pytest.mark.parametrize("refusal", ["busy", "reset"])
async def test_job_while_the_store_is_away_is_not_called_too_large(refusal):
    """Guards callers: without the store nobody knows whether a job fits."""
    async with gateway_fleet() as fleet:
        await limit(fleet, TEN_ITEMS)
        hold_items(fleet)
        assert await submit(fleet, "job-1", items=10) == 202
        fleet.store.faults.failure_mode_by_client["*"] = refusal
        assert await submit(fleet, "job-2", items=1) in (503, 504)
        fleet.store.faults.failure_mode_by_client.clear()
        assert await submit(fleet, "job-1", items=10) == 202
        assert await submit(fleet, "job-2", items=1) == 429


async def test_host_without_the_store_decides_through_another_one():
    """Guards the limit while the store refuses one host."""
    async with gateway_fleet(hosts=2) as fleet:
        await limit(fleet, TEN_ITEMS)
        hold_items(fleet)
        assert await submit(fleet, "job-1", items=6) == 202
        fleet.store.faults.failure_mode_by_client["127.0.0.2"] = "busy"
        await until(lambda: not fleet.hosts[1].store_status.is_up)
        assert await submit(fleet, "job-2", items=6, host=2) == 429
        assert await submit(fleet, "job-3", items=4, host=2) == 202


async def test_lost_answers_of_the_store_reserve_nothing_twice():
    """Guards a job that fits against its own reservation."""
    async with gateway_fleet() as fleet:
        await limit(fleet, TEN_ITEMS)
        hold_items(fleet)
        fleet.store.faults.lost_response_probability = 0.5
        status = await submit(fleet, "job-1", items=10)
        fleet.store.faults.lost_response_probability = 0.0
        if status != 202:
            assert await submit(fleet, "job-1", items=10) == 202
        page = await read_results(fleet, "job-1")
        assert page["Total"] == 10
        assert await submit(fleet, "job-2", items=1) == 429
