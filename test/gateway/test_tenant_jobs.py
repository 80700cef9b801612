"""Batch jobs of tenants: whose job it is, and what servers are shown."""

import asyncio

import orjson
import pytest

from galenascale.codec import decode, encode
from galenascale.gateway.jobs.records import decode_body, encode_record
from galenascale.gateway.jobs.scopes import QuotaScope, may_access, scoped_job_id
from galenascale.gateway.jobs.state import PartitionState
from galenascale.generated.gateway_messages import (
    Job,
    JobItem,
    JobRecord,
    JobRecordKind,
)
from test.gateway.fleet import ROUTES, gateway_fleet, key_header, make_tenant, until
from test.gateway.test_jobs import make_job

TENANTS = (make_tenant("one", "key-1", "key-1b"), make_tenant("two", "key-2"))


async def submit(fleet, job_id, key, **fields):
    """Submit a job with a key and return the status."""
    reply = await fleet.request(
        "/jobs/x",
        request_id=job_id,
        data=make_job(3),
        headers=key_header(key),
        **fields,
    )
    return reply.status


async def call(fleet, path, key=None, method="GET", host=1):
    """Make a call about a job and return the Reply."""
    headers = {} if key is None else key_header(key)
    return await fleet.request(path, method=method, headers=headers, host=host)


async def wait_for_outputs(fleet, job_id, key, count=3, host=1):
    """Return the results of a job once there are `count` of them."""
    async with asyncio.timeout(10):
        while True:
            reply = await call(fleet, f"/lots/{job_id}", key, host=host)
            assert reply.status == 200
            page = orjson.loads(reply.body)
            if page["NextToken"] >= count:
                return page["Outputs"]
            await asyncio.sleep(0.05)


async def test_items_carry_the_tenant_and_no_key():
    """Guards keys against servers, and tenants that submit jobs."""
    async with gateway_fleet(tenants=TENANTS) as fleet:
        assert await submit(fleet, "job-1", "key-1") == 202
        await wait_for_outputs(fleet, "job-1", "key-1b")
        requests = [r for runner in fleet.runners_of("llm") for r in runner.requests]
        assert len(requests) == 3
        for request in requests:
            assert request.header("X-Galenascale-Tenant") == "one"
            assert request.header("Authorization") is None


async def test_another_tenant_meets_no_such_job():
    """Guards jobs against callers of other tenants, at every call."""
    async with gateway_fleet(tenants=TENANTS, hosts=2) as fleet:
        for runner in fleet.runners_of("llm"):
            runner.behaviour.event_interval_s = 0.4
        assert await submit(fleet, "job-1", "key-1") == 202
        calls = (
            ("/lots/job-1", "GET"),
            ("/items/job-1?Id=item-1", "GET"),
            ("/lots/job-1", "DELETE"),
            ("/lots/one%2Fjob-1", "GET"),
            ("/lots/one%2Fjob-1", "DELETE"),
        )
        for path, method in calls:
            reply = await call(fleet, path, "key-2", method, host=2)
            unknown = await call(fleet, "/lots/nothing", "key-2", method, host=2)
            assert (reply.status, reply.body) == (404, unknown.body)
            assert (await call(fleet, path, None, method, host=2)).status == 404
            assert (await call(fleet, path, "key-3", method, host=2)).status == 401
        body = await call(fleet, "/items/job-1?Id=item-1", "key-1b", host=2)
        assert (body.status, body.body) == (200, b"body")
        assert len(await wait_for_outputs(fleet, "job-1", "key-1")) == 3


async def test_same_id_from_two_tenants_names_two_jobs():
    """Guards jobs against callers that use the id of another's job."""
    async with gateway_fleet(tenants=TENANTS, hosts=2) as fleet:
        assert await submit(fleet, "job-1", "key-1") == 202
        assert await submit(fleet, "job-1", "key-2", host=2) == 202
        assert await submit(fleet, "job-1", "key-1b", host=2) == 202
        await wait_for_outputs(fleet, "job-1", "key-1")
        await wait_for_outputs(fleet, "job-1", "key-2")
        tenants = sorted(
            request.header("X-Galenascale-Tenant")
            for runner in fleet.runners_of("llm")
            for request in runner.requests
        )
        assert tenants == ["one"] * 3 + ["two"] * 3
        reply = await call(fleet, "/lots/job-1", "key-2", "DELETE")
        assert reply.status == 200
        assert len(await wait_for_outputs(fleet, "job-1", "key-1")) == 3


async def test_key_taken_away_ends_no_job():
    """Guards jobs against changes of the keys of their tenant."""
    async with gateway_fleet(tenants=TENANTS) as fleet:
        for runner in fleet.runners_of("llm"):
            runner.behaviour.event_interval_s = 0.3
        assert await submit(fleet, "job-1", "key-1") == 202
        fleet.tenants = [make_tenant("one", "key-new"), make_tenant("two", "key-2")]
        fleet.write_config()
        await until(lambda: fleet.hosts[0].context.configuration.version == 2)
        assert (await call(fleet, "/lots/job-1", "key-1")).status == 401
        assert len(await wait_for_outputs(fleet, "job-1", "key-new")) == 3


async def test_quota_of_tokens_is_that_of_each_tenant():
    """Guards a tenant against the jobs of another one on the same route."""
    async with gateway_fleet(tenants=TENANTS) as fleet:
        for runner in fleet.runners_of("llm"):
            runner.behaviour.event_interval_s = 1.0
        routes = [
            {**route, "MaxQueueTokens": 540} if route["Name"] == "jobs" else route
            for route in ROUTES
        ]
        fleet.write_config(routes)
        await until(lambda: fleet.hosts[0].context.configuration.version == 2)
        assert await submit(fleet, "job-1", "key-1") == 202
        assert await submit(fleet, "job-2", "key-1b") == 429
        assert await submit(fleet, "job-2", "key-2") == 202
        for runner in fleet.runners_of("llm"):
            runner.behaviour.event_interval_s = 0.01
        await wait_for_outputs(fleet, "job-1", "key-1")
        await asyncio.sleep(0.8)
        assert await submit(fleet, "job-3", "key-1") == 202


async def test_job_from_before_tenants_is_open_to_all():
    """Guards jobs that were accepted while callers needed no key."""
    async with gateway_fleet() as fleet:
        reply = await fleet.request("/jobs/x", request_id="job-1", data=make_job(3))
        assert reply.status == 202
        fleet.tenants = list(TENANTS)
        fleet.write_config()
        await until(lambda: fleet.hosts[0].context.configuration.version == 2)
        assert len(await wait_for_outputs(fleet, "job-1", "key-1")) == 3
        assert (await call(fleet, "/lots/job-1")).status == 200


def test_records_of_builds_without_tenants_are_read():
    """Guards stored jobs against the change of their schema, both ways."""
    state = PartitionState()
    for job_id, tenant in (("old", ""), ("one/new", "one")):
        job = Job(items=[JobItem("i")], route="jobs", tenant=tenant)
        state.apply(encode_record(JobRecordKind.JOB, job_id, job))
    assert state.jobs_by_id["old"].job.tenant == ""
    record = decode(JobRecord, encode_record(JobRecordKind.JOB, "x", Job(tenant="t")))
    assert decode_body(Job, record.body) == Job(tenant="t")
    assert encode(Job(tenant="")) != encode(Job(tenant="t"))


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (("a", "b/c"), ("a/b", "c")),
        (("", "x"), ("x", "")),
        (("a", "x"), ("b", "x")),
        (("", "a/x"), ("a", "x")),
    ],
)
def test_scoped_ids_differ(first, second):
    """Guards jobs against ids that are put together to look like another."""
    assert scoped_job_id(*first) != scoped_job_id(*second)
    assert QuotaScope(*first).name != QuotaScope(*second).name or first[0] == ""


@pytest.mark.parametrize(
    ("owner", "tenant", "allowed"),
    [
        ("", None, True),
        ("", "", True),
        ("", "one", True),
        ("one", "one", True),
        ("one", "two", False),
        ("one", "", False),
        ("one", None, True),
    ],
)
def test_access_to_a_job(owner, tenant, allowed):
    """Guards the rule by which a caller may see a job."""
    assert may_access(Job(tenant=owner), tenant) is allowed
