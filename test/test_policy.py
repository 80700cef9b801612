"""Goals of the scheduling policy on both deployments, under a fake clock."""

import functools

import pytest

from bench import policy

SECONDS = 60.0


@functools.cache
def rows(shape):
    """Return the rows of online alone and of the policy."""
    policies = (policy.ALONE, policy.Policy("this policy"))
    return policy.compare(shape, SECONDS, policies)


@pytest.mark.parametrize("goal", ["first_token", "batch", "give_way"])
@pytest.mark.parametrize("shape", policy.SHAPES)
def test_policy_keeps_its_goals(shape, goal):
    """Guards online latency, use of idle slots and the time to give way."""
    assert goal not in policy.misses(rows(shape)[1])


def test_same_seed_yields_the_same_figures():
    """Guards against draws or hashes that differ between runs."""
    small = [policy.Policy("this policy", reserve=0)]
    assert policy.compare("mutara", 4.0, small) == policy.compare("mutara", 4.0, small)


def test_other_policies_differ_as_they_should():
    """Guards against a benchmark in which nothing depends on the policy."""
    alone, fcfs, split, own = policy.compare("mutara", 15.0)
    assert alone["batch_items_per_s"] == 0
    assert fcfs["p95_ratio"] > 2 * own["p95_ratio"]
    assert split["idle_share_used"] < own["idle_share_used"]
