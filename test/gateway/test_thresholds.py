"""
Thresholds against capacities that shrink with the hosts and domains in reach.

Guards requests and jobs against needing more than a source can ever hold: each
is let through in a time that follows from the rate, and no source lets more
through than it may.
"""

import types

from hypothesis import given, settings
from hypothesis import strategies as st

from galenascale.gateway.jobs.job_memory import JobMemory
from galenascale.gateway.rates.limits import RateLimit
from galenascale.gateway.rates.share import DomainShare
from galenascale.rate_limit import RateBucket

# Tokens by which counting in floating point may be off.
ROUNDING = 1e-6

rate_limits = st.builds(
    RateLimit,
    requests_per_s=st.floats(0.01, 1000.0),
    burst=st.floats(0.0, 100.0),
    window_s=st.floats(1.0, 60.0),
    overshoot=st.floats(0.0, 0.5),
    slack=st.floats(0.0, 5.0),
    domains=st.integers(1, 12),
)


@given(limit=rate_limits, requests=st.integers(1, 5))
@settings(max_examples=200, deadline=None)
def test_domain_lets_requests_of_a_tenant_through(limit, requests):
    """Guards tenants with low rates, whose domains get a part of them each."""
    share = DomainShare.start(limit, 0.0)
    now = 0.0
    for _ in range(requests):
        wait_s = share.promise(limit, now)
        assert wait_s <= 1.0 / limit.domain_rate + ROUNDING
        now += wait_s + ROUNDING / limit.domain_rate
        share.promised_at = float("-inf")
        assert share.take(limit, now)
    assert requests <= limit.domain_capacity + limit.domain_rate * now + ROUNDING


@given(limit=rate_limits, hosts=st.integers(1, 300))
@settings(max_examples=200, deadline=None)
def test_host_that_no_owner_answers_lets_requests_through(limit, hosts):
    """Guards tenants behind hosts that are cut off from all owners."""
    capacity = limit.unowned_capacity(hosts)
    rate = capacity / limit.window_s
    bucket = RateBucket(0.0, 0.0)
    wait_s = bucket.take(rate, 0.0, capacity)
    assert wait_s <= limit.window_s + ROUNDING
    assert bucket.take(rate, wait_s + ROUNDING, capacity) == 0.0


@given(
    budget=st.integers(0, 1 << 26),
    sizes=st.lists(st.integers(0, 1 << 27), min_size=1, max_size=6),
)
def test_host_without_jobs_takes_a_job_of_any_size(budget, sizes):
    """Guards jobs that are larger than the budget of a small host."""
    memory = JobMemory(budget)
    for number, size in enumerate(sizes):
        job = types.SimpleNamespace(job_id=str(number), loaded_size=lambda s=size: s)
        fits = memory.needed_bytes + size <= budget
        assert memory.has_room(size) == (fits or not memory.needed_bytes)
        if memory.has_room(size):
            memory.reserve(job)
        if number % 2:
            memory.release(job)
