"""Quotas of batch tokens on complete hosts, with faults."""

import asyncio

import attrs
import pytest

from galenascale.gateway.jobs.scopes import QuotaScope
from test.gateway.fleet import ROUTES, gateway_fleet, until
from test.gateway.test_jobs import make_job, read_results, submit, wait_for_results

# Tokens of an item in the jobs of these tests.
ITEM_TOKENS = 180
TEN_ITEMS_TOKENS = 10 * ITEM_TOKENS
POLL_S = 0.1


def write_limit(fleet, tokens):
    """Write a configuration with a limit for the route of jobs."""
    routes = [
        {**route, "MaxQueueTokens": tokens} if route["Name"] == "jobs" else route
        for route in ROUTES
    ]
    fleet.write_config(routes)


async def wait_until_in_force(fleet):
    """Wait until all hosts use the newest configuration."""
    await until(
        lambda: all(
            host.context.configuration.version == fleet.version for host in fleet.hosts
        )
    )


async def apply_limit(fleet, tokens):
    """Set the limit and wait until all hosts use it."""
    write_limit(fleet, tokens)
    await wait_until_in_force(fleet)


def slow_items_down(fleet):
    """Make servers take 1 s for each event of an item."""
    for runner in fleet.runners_of("llm"):
        runner.behaviour.event_interval_s = 1.0


def speed_items_up(fleet):
    """Make servers take 0.01 s for each event of an item."""
    for runner in fleet.runners_of("llm"):
        runner.behaviour.event_interval_s = 0.01


async def submit_until_accepted(fleet, seconds, job_id, **fields):
    """Submit a job until it is accepted; fail after some seconds."""
    async with asyncio.timeout(seconds):
        status = await submit(fleet, job_id, **fields)
        for _ in range(int(seconds / POLL_S)):
            if status == 202:
                return
            await asyncio.sleep(POLL_S)
            status = await submit(fleet, job_id, **fields)
        assert status == 202


def known_open_tokens(fleet, host=0):
    """Return the open tokens in the state that a host last read."""
    logs = fleet.hosts[host].context.quotas._logs_by_scope
    scope = QuotaScope("jobs")
    return logs[scope].state.total if scope in logs else 0


async def test_job_that_does_not_fit_is_refused_until_others_are_done():
    """Guards the limit on all hosts, and jobs that fit again later."""
    async with gateway_fleet(hosts=2) as fleet:
        await apply_limit(fleet, TEN_ITEMS_TOKENS)
        slow_items_down(fleet)
        assert await submit(fleet, "job-1", items=6) == 202
        reply = await fleet.request(
            "/jobs/x", request_id="job-2", host=2, data=make_job(6)
        )
        assert reply.status == 429
        assert float(reply.headers["Retry-After"]) > 0
        assert await submit(fleet, "job-3", items=4, host=2) == 202
        # Submitting an accepted job again succeeds at any use of the quota.
        assert await submit(fleet, "job-1", items=6, host=2) == 202
        speed_items_up(fleet)
        await wait_for_results(fleet, "job-1", 6)
        await wait_for_results(fleet, "job-3", 4)
        await submit_until_accepted(fleet, 3.0, "job-2", items=6, host=2)
        # The refused job ran only after it had been accepted.
        await wait_for_results(fleet, "job-2", 6)


async def test_job_larger_than_the_limit_gets_no_retry_after():
    """Guards callers against retries that can never succeed."""
    async with gateway_fleet() as fleet:
        await apply_limit(fleet, TEN_ITEMS_TOKENS)
        reply = await fleet.request("/jobs/x", request_id="j", data=make_job(11))
        assert (reply.status, reply.headers.get("Retry-After")) == (429, None)
        assert b"quota_exceeded" in reply.body


async def test_simultaneous_jobs_stay_within_the_limit_and_fill_it():
    """Guards the limit against concurrent decisions of several hosts."""
    async with gateway_fleet(hosts=3) as fleet:
        await apply_limit(fleet, TEN_ITEMS_TOKENS)
        slow_items_down(fleet)
        statuses = await asyncio.gather(
            *(submit(fleet, f"job-{n}", items=2, host=n % 3 + 1) for n in range(18))
        )
        assert sorted(statuses) == [202] * 5 + [429] * 13


async def test_cancelled_job_releases_its_tokens():
    """Guards against cancelled jobs that keep their tokens."""
    async with gateway_fleet(hosts=2) as fleet:
        await apply_limit(fleet, TEN_ITEMS_TOKENS)
        slow_items_down(fleet)
        assert await submit(fleet, "job-1", items=10) == 202
        assert await submit(fleet, "job-2", items=1) == 429
        await fleet.request("/lots/job-1", method="DELETE", host=2)
        await submit_until_accepted(fleet, 1.0, "job-2", items=10)


@attrs.frozen
class Change:
    """A limit before and after, and the status for a job of four items."""

    before: int
    after: int
    status: int


@pytest.mark.parametrize(
    "change",
    [
        Change(2 * TEN_ITEMS_TOKENS, TEN_ITEMS_TOKENS // 2, 429),
        Change(TEN_ITEMS_TOKENS, 2 * TEN_ITEMS_TOKENS, 202),
        Change(TEN_ITEMS_TOKENS, 0, 202),
        Change(0, TEN_ITEMS_TOKENS, 429),
    ],
    ids=lambda change: f"{change.before}-{change.after}",
)
async def test_changed_limit_applies_to_new_jobs_only(change):
    """Guards accepted jobs, also those from before there was a limit."""
    async with gateway_fleet(hosts=2) as fleet:
        await apply_limit(fleet, change.before)
        slow_items_down(fleet)
        assert await submit(fleet, "job-1", items=8) == 202
        await apply_limit(fleet, change.after)
        if not change.before:
            await until(lambda: known_open_tokens(fleet) or known_open_tokens(fleet, 1))
        assert await submit(fleet, "job-2", items=4, host=2) == change.status
        speed_items_up(fleet)
        await wait_for_results(fleet, "job-1", 8)


async def test_tokens_of_a_lost_host_are_released():
    """Guards against tokens that stay reserved after a host was lost."""
    async with gateway_fleet(hosts=2) as fleet:
        await apply_limit(fleet, TEN_ITEMS_TOKENS)
        slow_items_down(fleet)
        assert await submit(fleet, "job-1", items=10) == 202
        await fleet.hosts.pop(0).kill()
        speed_items_up(fleet)
        assert await submit(fleet, "job-2", items=1, host=2) == 429
        await wait_for_results(fleet, "job-1", 10, host=2)
        await submit_until_accepted(fleet, 5.0, "job-2", items=10, host=2)


@pytest.mark.parametrize("refusal", ["busy", "reset"])
async def test_quota_is_not_reported_exceeded_while_the_store_is_down(refusal):
    """Guards against a 429 while the use of the quota cannot be read."""
    async with gateway_fleet() as fleet:
        await apply_limit(fleet, TEN_ITEMS_TOKENS)
        slow_items_down(fleet)
        assert await submit(fleet, "job-1", items=10) == 202
        fleet.store.faults.failure_mode_by_client["*"] = refusal
        assert await submit(fleet, "job-2", items=1) in (503, 504)
        fleet.store.faults.failure_mode_by_client.clear()
        assert await submit(fleet, "job-1", items=10) == 202
        assert await submit(fleet, "job-2", items=1) == 429


async def test_host_without_the_store_decides_through_another_one():
    """Guards the limit on a host that the store refuses."""
    async with gateway_fleet(hosts=2) as fleet:
        await apply_limit(fleet, TEN_ITEMS_TOKENS)
        slow_items_down(fleet)
        assert await submit(fleet, "job-1", items=6) == 202
        fleet.store.faults.failure_mode_by_client["127.0.0.2"] = "busy"
        await until(lambda: not fleet.hosts[1].store_status.is_up)
        assert await submit(fleet, "job-2", items=6, host=2) == 429
        assert await submit(fleet, "job-3", items=4, host=2) == 202


async def test_lost_answers_of_the_store_reserve_nothing_twice():
    """Guards against a refusal of a job because of its own reservation."""
    async with gateway_fleet() as fleet:
        await apply_limit(fleet, TEN_ITEMS_TOKENS)
        slow_items_down(fleet)
        fleet.store.faults.lost_response_probability = 0.5
        status = await submit(fleet, "job-1", items=10)
        fleet.store.faults.lost_response_probability = 0.0
        if status != 202:
            assert await submit(fleet, "job-1", items=10) == 202
        page = await read_results(fleet, "job-1")
        assert page["Total"] == 10
        assert await submit(fleet, "job-2", items=1) == 429
