"""Statuses of hosts with any number of jobs, refused requests and servers."""

import asyncio
import itertools
import random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale.clock import FakeClock
from galenascale.gateway import active_jobs
from galenascale.gateway.active_jobs import draw_shard
from galenascale.gateway.admission import MAX_SHARED_REFUSALS, RecentRefusals
from galenascale.gateway.jobs.takeover import STALL_TIMEOUT_S, Takeover
from galenascale.gateway.load import FleetLoad, hash_key
from galenascale.gateway.peer_table import PEER_TIMEOUT_S, PeerTable
from galenascale.gateway.peers import _encode_batches
from galenascale.generated.gateway_messages import HostStatus
from test.gateway.fleet import gateway_fleet, until

# Bytes of the largest payload of a UDP datagram over IPv4.
MAX_PAYLOAD_BYTES = 65_507
# More jobs than one datagram can list.
MANY_JOBS = 20_000
STATUS_INTERVAL_S = 0.5


def job_keys(count):
    """Return the keys of a number of jobs."""
    return [hash_key(f"job-{number}") for number in range(count)]


def make_status(keys, sequence, rng, started_ms=1):
    """Return a status of a host that runs jobs."""
    shard = draw_shard(keys, rng)
    return HostStatus(
        host_id="other",
        address="10.0.0.2",
        started_ms=started_ms,
        sequence=sequence,
        active_jobs=shard.jobs,
        job_shard=shard.number,
        job_shards=shard.count,
    )


async def test_host_with_many_jobs_is_known_to_the_others(monkeypatch):
    """
    Guards hosts with many open jobs against being taken for lost.

    Their status was larger than a datagram, so that none was sent.
    """
    keys = set(job_keys(MANY_JOBS))
    jobs = property(lambda load: keys, lambda load, value: None)
    monkeypatch.setattr(FleetLoad, "active_jobs", jobs, raising=False)
    async with gateway_fleet(hosts=2) as fleet:
        tables = [host.context.peers for host in fleet.hosts]
        now = asyncio.get_running_loop().time
        await until(lambda: all(len(table.alive(now())) == 1 for table in tables))
        await asyncio.sleep(PEER_TIMEOUT_S + 0.5)
        assert [len(table.alive(now())) for table in tables] == [1, 1]


@given(
    jobs=st.integers(0, MANY_JOBS),
    refused=st.integers(0, 30_000),
    seed=st.integers(0, 1 << 20),
)
def test_status_of_any_size_is_a_datagram_and_lists_each_job(jobs, refused, seed):
    """Guards against lists that grow with the work of a host."""
    rng = random.Random(seed)
    keys = job_keys(jobs)
    refusals = RecentRefusals()
    refusals.add(range(refused), 0.0)
    table = PeerTable("10.0.0.1")
    unlisted = set(keys)
    for sequence in itertools.count(1):
        status = make_status(keys, sequence, rng)
        status.refused = refusals.recent_keys(0.0)
        (data,) = _encode_batches((status,))
        assert len(data) <= MAX_PAYLOAD_BYTES
        table.update(status, float(sequence))
        # No job of a live host counts as one that it does not run.
        assert all(table.unlisted_at("other", key) is None for key in keys)
        unlisted.difference_update(status.active_jobs)
        if not unlisted:
            break
        assert sequence < 50 * status.job_shards


@pytest.mark.parametrize("jobs", [0, 1, 3000, MANY_JOBS])
def test_job_that_its_host_does_not_run_is_noticed(jobs):
    """Guards jobs of a live host that does not know that they are its own."""
    rng = random.Random(jobs)
    keys = job_keys(jobs)
    table = PeerTable("10.0.0.1")
    lost = hash_key("lost")
    for sequence in range(1, 200):
        table.update(make_status(keys, sequence, rng), sequence * STATUS_INTERVAL_S)
    assert table.unlisted_at("other", lost) > 200 * STATUS_INTERVAL_S - 20
    for sequence in range(200, 400):
        status = make_status([*keys, lost], sequence, rng)
        table.update(status, sequence * STATUS_INTERVAL_S)
    assert table.unlisted_at("other", lost) is None


@pytest.mark.parametrize("jobs", [0, 3000])
def test_restarted_host_runs_no_job_of_its_former_run(jobs):
    """Guards jobs of a host that was replaced between two statuses."""
    table = PeerTable("10.0.0.1")
    rng = random.Random(1)
    keys = job_keys(jobs + 1)
    for sequence in range(1, 60):
        table.update(make_status(keys, sequence, rng), 1.0)
    table.update(make_status([], 1, rng, started_ms=2), 2.0)
    assert {table.unlisted_at("other", key) for key in keys} == {2.0}


@pytest.mark.parametrize(
    ("shard", "shards"), [(0, 0), (-1, 4), (4, 4), (0, -1), (7, 1 << 30)]
)
def test_odd_shards_change_nothing(shard, shards):
    """Guards against statuses that were changed on the way."""
    table = PeerTable("10.0.0.1")
    table.update(HostStatus(host_id="other", address="10.0.0.2", sequence=1), 1.0)
    odd = HostStatus(
        host_id="other",
        address="10.0.0.2",
        sequence=2,
        job_shard=shard,
        job_shards=shards,
    )
    table.update(odd, 2.0)
    assert table.unlisted_at("other", 5) == 1.0


def test_newest_refusals_are_shared():
    """Guards callers that return: the others know of the latest refusals."""
    refusals = RecentRefusals()
    refusals.add(range(2 * MAX_SHARED_REFUSALS), 0.0)
    refusals.add((0,), 0.5)
    shared = refusals.recent_keys(0.5)
    assert len(shared) == MAX_SHARED_REFUSALS
    assert {0, 2 * MAX_SHARED_REFUSALS - 1} <= set(shared)
    assert refusals.recent_keys(60.0) == []


def test_listing_in_shards_leaves_small_hosts_as_they_were():
    """Guards upgrades: earlier builds expect all jobs in each status."""
    keys = job_keys(active_jobs.MAX_LISTED_JOBS)
    shard = draw_shard(keys, random.Random(0))
    assert (shard.number, shard.count) == (0, 1)
    assert shard.jobs == keys


@pytest.mark.parametrize("shards", [1, 4])
def test_takeover_waits_for_a_status_after_the_stall_timeout(shards):
    """Guards running items: an old list says nothing of newer jobs."""
    clock = FakeClock(0.0)
    table = PeerTable("10.0.0.1")
    context = SimpleNamespace(clock=clock, peers=table)
    takeover = Takeover(context, None, None, None, 0, None)
    state = SimpleNamespace(job_id="job-1", runner="other")
    for sequence in range(shards):
        status = HostStatus(
            host_id="other",
            address="10.0.0.2",
            sequence=sequence + 1,
            job_shard=sequence,
            job_shards=shards,
        )
        table.update(status, 0.0)
    clock.now_s = 0.1
    assert not takeover._is_stalled(state, clock.now_s)
    clock.now_s += STALL_TIMEOUT_S + 0.1
    assert not takeover._is_stalled(state, clock.now_s)
    status.sequence += 1
    status.job_shard = hash_key("job-1") % shards
    table.update(status, clock.now_s)
    assert takeover._is_stalled(state, clock.now_s)
