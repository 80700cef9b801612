"""Health of backend servers from past responses, and its decay."""

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
    """The fields of a server entry that load balancing reads."""

    name: str
    slots: int = 8


def candidates(health, names, now):
    """Return candidates without load, with the recorded quality."""
    return [
        Candidate(
            Server(name), online=0, own_slots=8, quality=health.quality(name, now)
        )
        for name in names
    ]


def test_server_that_recovered_is_used_again_at_low_load():
    """
    Guards against servers that stay avoided after their faults ended.

    In a soak run, three of four servers had failed some requests. With one
    request at a time afterwards, all went to the fourth, because only a
    request could show that the others had recovered.
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
    """Guards requests against a failing server that passes its checks."""
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
    # Without the quality a quarter of the requests would go to this server,
    # and 200 would fail.
    assert failed < 50


@pytest.mark.parametrize("failures", [1, 3, 20])
def test_failures_decay_with_time(failures):
    """Guards servers against being avoided for old failures."""
    health = ServerHealth()
    for _ in range(failures):
        health.record_failure("a", 0.0)
    at_once = health.quality("a", 0.0)
    assert at_once < 1.0
    assert at_once < health.quality("a", FAILURE_DECAY_S) < 1.0
    assert health.quality("a", 4 * FAILURE_DECAY_S) > MIN_OWN_SLOT_QUALITY
