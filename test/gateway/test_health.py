"""What a server's past answers say of it, and for how long."""

import random

import attrs
import pytest

from galenascale.gateway.balancing import (
    MIN_OWN_SLOT_QUALITY,
    Candidate,
    choose_candidate,
)
from galenascale.gateway.health import FAILURE_DECAY_S, ServerHealth


@attrs.frozen
class Server:
    """The part of an entry that the choice reads."""

    name: str
    slots: int = 8


def candidates(health, names, now):
    """Return servers without load, with what is known of their answers."""
    return [
        Candidate(
            Server(name), online=0, own_slots=8, quality=health.quality(name, now)
        )
        for name in names
    ]


def test_server_that_recovered_is_used_again_at_low_load():
    """
    Guards the spread of requests after faults that have ended.

    The load: after the faults of a soak's play one request at a time, four
    servers. Three had failed some requests each; all requests went to the
    fourth, as nothing but a request could show that the others had recovered.
    """
    health = ServerHealth()
    names = ["a", "b", "c", "d"]
    for name in names[:3]:
        for _ in range(4):
            health.record_failure(name, 0.0)
    rng = random.Random(5)
    requests = 400
    counts = dict.fromkeys(names, 0)
    for number in range(requests):
        now = number * 0.1
        name = choose_candidate(candidates(health, names, now), rng).server.name
        health.record_success(name, now)
        counts[name] += 1
    assert min(counts.values()) > requests / len(names) / 2


def test_server_that_keeps_failing_gets_few_requests():
    """Guards requests against a server that fails them with a good health."""
    health = ServerHealth()
    names = ["grey", "b", "c", "d"]
    rng = random.Random(5)
    failed = 0
    for number in range(2000):
        now = number * 0.02
        name = choose_candidate(candidates(health, names, now), rng).server.name
        if name == "grey" and rng.random() < 0.4:
            failed += 1
            health.record_failure(name, now)
        else:
            health.record_success(name, now)
    # A quarter of the requests would go there without any judgement, and 200
    # fail.
    assert failed < 50


@pytest.mark.parametrize("failures", [1, 3, 20])
def test_failures_are_forgotten_with_time(failures):
    """Guards servers against what they did long ago."""
    health = ServerHealth()
    for _ in range(failures):
        health.record_failure("a", 0.0)
    at_once = health.quality("a", 0.0)
    assert at_once < 1.0
    assert at_once < health.quality("a", FAILURE_DECAY_S) < 1.0
    assert health.quality("a", 4 * FAILURE_DECAY_S) > MIN_OWN_SLOT_QUALITY
