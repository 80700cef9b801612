"""
Jobs beyond the memory that a host has for them.

Guards a host against accepted jobs of any number: what does not fit stays in
the store, is read when it is needed, and is neither lost nor changed.
"""

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale.gateway.jobs.job_memory import JobMemory
from galenascale.gateway.jobs.own_jobs import MAX_OPEN_ITEMS, choose_jobs
from galenascale.gateway.jobs.records import encode_record
from galenascale.gateway.jobs.state import JobState, PartitionState
from galenascale.generated.gateway_messages import (
    ItemOutcome,
    ItemState,
    Job,
    JobClaim,
    JobItem,
    JobOutcomes,
    JobRecordKind,
)
from test.gateway.fleet import gateway_fleet, until
from test.gateway.test_jobs import (
    make_job,
    output_of,
    read_results,
    submit,
    wait_for_results,
)

HOST_ID = "a"
STARTED_MS = 1
BUDGET_BYTES = 60_000
# Budget in a whole fleet: one job of three items.
ONE_JOB_BYTES = 5_000


def job_record(job_id, runner):
    """Return the record of a job of four items."""
    items = [
        JobItem(item_id=f"{job_id}-{number}", headers={"X-A": "1" * 500})
        for number in range(4)
    ]
    job = Job(items=items, runner=runner, runner_started_ms=STARTED_MS)
    return encode_record(JobRecordKind.JOB, job_id, job)


def outcome_record(job_id, index):
    """Return the record of an outcome of 2 KB."""
    outcome = ItemOutcome(index, int(ItemState.COMPLETED), b"x" * 2000)
    return encode_record(JobRecordKind.OUTCOMES, job_id, JobOutcomes([outcome]))


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("job"), st.integers(0, 30), st.sampled_from("ab")),
        st.tuples(st.just("outcome"), st.integers(0, 30), st.integers(0, 3)),
        st.tuples(st.just("claim"), st.integers(0, 30), st.sampled_from("ab")),
        st.tuples(st.just("end"), st.integers(0, 30), st.none()),
    ),
    max_size=120,
)


def make_record(kind, job_id, value):
    """Return the record of a step."""
    if kind == "job":
        return job_record(job_id, value)
    if kind == "outcome":
        return outcome_record(job_id, value)
    if kind == "claim":
        claim = JobClaim(value, STARTED_MS)
        return encode_record(JobRecordKind.CLAIM, job_id, claim)
    return encode_record(JobRecordKind.ENDED, job_id)


@given(STEPS)
def test_memory_is_what_the_states_take_and_own_jobs_stay_loaded(steps):
    """A wrong sum would refuse jobs for ever, or let a host end."""
    memory = JobMemory(BUDGET_BYTES, HOST_ID, STARTED_MS)
    state = PartitionState(memory)
    for offset, (kind, number, value) in enumerate(steps):
        state.apply(make_record(kind, f"j{number}", value), offset)
    states = state.jobs_by_id.values()
    own = [each for each in states if each.is_open and each.runner == HOST_ID]
    assert memory.held_bytes == sum(each.size() for each in states)
    assert memory.needed_bytes == sum(each.size() for each in own)
    idle = [each for each in states if each.is_loaded and each not in own]
    assert memory.held_bytes <= BUDGET_BYTES or len(idle) <= 1
    state.drop_older(1 << 40)
    for each in list(state.jobs_by_id.values()):
        assert each.is_open
        memory.remove(each)
    assert memory.held_bytes == memory.needed_bytes == 0


def lower_budget(fleet, budget_bytes=ONE_JOB_BYTES):
    """Lower the memory for jobs of all hosts."""
    for host in fleet.hosts:
        host.context.job_memory._budget_bytes = budget_bytes


async def test_results_beyond_the_memory_are_the_same_at_every_host():
    """Results are read again from the store, at the same positions."""
    async with gateway_fleet(hosts=2) as fleet:
        lower_budget(fleet, 1)
        pages = []
        for number in range(4):
            assert await submit(fleet, f"job{number}") == 202
            pages.append(await wait_for_results(fleet, f"job{number}", 3))
        for host in (1, 2):
            for number, page in enumerate(pages):
                again = await read_results(fleet, f"job{number}", host=host)
                assert again["Outputs"] == page
                rest = await read_results(fleet, f"job{number}", after=2, host=host)
                assert rest["Outputs"] == page[2:]
        memory = fleet.hosts[0].context.job_memory
        assert memory.needed_bytes == 0
        assert {result["Text"] for page in pages for result in page} == {output_of(5)}


async def test_item_body_of_a_job_that_is_not_loaded_is_read():
    """The job runs at another host, and this one has no room for it."""
    async with gateway_fleet(hosts=2, runners=0) as fleet:
        lower_budget(fleet, 1)
        for number in range(3):
            reply = await submit(fleet, f"job{number}", host=1 + number % 2)
            assert reply == 202 or number == 2
        reply = await fleet.request("/items/job0?Id=item-1", method="GET", host=2)
        assert (reply.status, reply.body) == (200, b"body")


async def test_job_that_cannot_be_held_is_refused_and_may_come_again():
    """A job that was accepted before stays accepted."""
    async with gateway_fleet(runners=0) as fleet:
        lower_budget(fleet)
        assert await submit(fleet, "first") == 202
        memory = fleet.hosts[0].context.job_memory
        await until(lambda: memory.needed_bytes)
        reply = await fleet.request("/jobs/x", request_id="second", data=make_job(3))
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0
        assert b"job_memory_full" in reply.body
        assert await submit(fleet, "first") == 202
        await fleet.add_runner("late", "llm")
        assert len(await wait_for_results(fleet, "first", 3)) == 3
        await until(lambda: not memory.needed_bytes)
        assert await submit(fleet, "second") == 202
        assert len(await wait_for_results(fleet, "second", 3)) == 3


@pytest.mark.parametrize("jobs", [5])
async def test_jobs_of_lost_hosts_are_taken_over_as_room_allows(jobs):
    """A host that reads all jobs of others at once would end."""
    async with gateway_fleet(hosts=2, runners=0) as fleet:
        for number in range(jobs):
            assert await submit(fleet, f"job{number}", host=2) == 202
        lower_budget(fleet)
        survivor = fleet.hosts[0]
        memory = survivor.context.job_memory
        most = 0

        async def watch():
            nonlocal most
            while True:
                most = max(most, memory.needed_bytes)
                await asyncio.sleep(0)

        watcher = asyncio.create_task(watch())
        await fleet.hosts.pop().kill()
        await fleet.add_runner("late", "llm")
        try:
            for number in range(jobs):
                async with asyncio.timeout(30):
                    while True:
                        page = await read_results(fleet, f"job{number}")
                        if isinstance(page, dict) and page["NextToken"] == 3:
                            break
                        await asyncio.sleep(0.1)
        finally:
            watcher.cancel()
        assert 0 < most <= 2 * ONE_JOB_BYTES


def make_states(counts):
    """Return the states of jobs with so many items, due in turn."""
    states = []
    for number, count in enumerate(counts):
        job = Job(items=[JobItem()] * count, accepted_ms=number, due_ms=1000)
        states.append(JobState.from_job(f"j{number}", job))
    return states


@pytest.mark.parametrize(
    ("counts", "opened", "chosen"),
    [
        ([10, 10], [], [0, 1]),
        ([MAX_OPEN_ITEMS, 10, 10], [], [0]),
        ([10, MAX_OPEN_ITEMS, 10], [], [0, 1]),
        # What is open stays open, although another job is due before it.
        ([10, MAX_OPEN_ITEMS], [1], [1]),
        ([10, MAX_OPEN_ITEMS - 1, 10], [1], [0, 1]),
        ([MAX_OPEN_ITEMS * 2], [], [0]),
    ],
)
def test_jobs_are_opened_by_due_time_up_to_a_number_of_items(counts, opened, chosen):
    """With all items open, a host looked at them all day and ran fewer."""
    states = make_states(counts)
    random.Random(1).shuffle(states)
    jobs = choose_jobs(states, {f"j{number}" for number in opened})
    assert sorted(state.job_id for state in jobs) == [f"j{n}" for n in chosen]
