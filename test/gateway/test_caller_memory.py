"""The budget for bodies of callers: who gives way, and what is held."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale.errors import UserError
from galenascale.gateway.caller_memory import (
    DEFAULT_BUDGET_BYTES,
    MAX_BUDGET_BYTES,
    MEGABYTE,
    MIN_BUDGET_BYTES,
    STALL_S,
    CallerMemory,
    HeldMemory,
)
from galenascale.gateway.jobs.api import MAX_JOB_PARTS, PART_MARKS
from galenascale.gateway.settings import check_gateway_settings
from galenascale.generated.gateway_messages import GatewaySettings

LIMIT = 100
BUDGET = 1000


class Caller:
    """A caller that sends a body at its own pace."""

    def __init__(self, memory, now=0.0):
        self.memory = memory
        self.evicted = False
        self.body = HeldMemory(now, now, self._on_evict)

    def _on_evict(self):
        self.evicted = True

    def send(self, count, now):
        """Send bytes; return False if the body has to give way."""
        return self.memory.add(self.body, count, LIMIT, now)

    def finish(self):
        """End the body; it is held until the answer."""
        self.body.on_evict = None

    def leave(self):
        """End the request."""
        self.memory.release(self.body)


def test_stalled_crowd_gives_way_to_callers_that_send():
    """Pattern: a crowd stops just short of its end, then others come."""
    memory = CallerMemory(BUDGET)
    crowd = [Caller(memory) for _ in range(10)]
    assert all(caller.send(99, 0.0) for caller in crowd)
    others = [Caller(memory, now=5.0) for _ in range(10)]
    assert all(other.send(60, 5.0) for other in others)
    assert not any(other.evicted for other in others)
    assert sum(caller.evicted for caller in crowd) >= 5
    assert memory.held_bytes <= BUDGET


def test_slow_caller_outlasts_a_silent_one():
    """A caller that sends a little all the time is not stalled."""
    memory = CallerMemory(BUDGET)
    slow = Caller(memory)
    silent = [Caller(memory) for _ in range(10)]
    for caller in silent:
        caller.send(95, 0.0)
    for tenth in range(1, 80):
        assert slow.send(1, tenth / 10)
    assert not slow.evicted
    assert any(caller.evicted for caller in silent)


def test_whole_bodies_are_not_evicted():
    """Pattern: all memory is held by requests that run."""
    memory = CallerMemory(BUDGET)
    running = [Caller(memory) for _ in range(10)]
    for caller in running:
        assert caller.send(100, 0.0)
        caller.finish()
    late = Caller(memory, now=9.0)
    assert not late.send(1, 9.0)
    assert not any(caller.evicted for caller in running)
    running[0].leave()
    late.leave()
    assert Caller(memory, now=9.1).send(100, 9.1)


def test_longest_silence_gives_way_first():
    """Who made the most progress is cut last."""
    memory = CallerMemory(300)
    first, second, third = (Caller(memory) for _ in range(3))
    first.send(100, 0.0)
    second.send(100, 1.0)
    third.send(100, 2.0)
    newcomer = Caller(memory, now=2.0 + STALL_S)
    assert newcomer.send(50, 2.0 + STALL_S)
    assert first.evicted
    assert not second.evicted
    assert not third.evicted


def test_request_that_runs_is_refused_more_memory_but_not_evicted():
    """It has run, or will, and waits for its answer."""
    memory = CallerMemory(BUDGET)
    running = Caller(memory)
    assert running.send(BUDGET, 0.0)
    running.finish()
    assert not running.send(1, 0.0)
    assert not running.evicted
    assert memory.held_bytes == BUDGET


def test_unread_answers_give_way_to_callers_that_send():
    """Pattern: a crowd takes nothing of its answers, then others come."""
    memory = CallerMemory(BUDGET)
    crowd = [Caller(memory) for _ in range(10)]
    for caller in crowd:
        assert memory.add_unmoved(caller.body, 99, LIMIT, 0.0)
    other = Caller(memory, now=0.2)
    assert other.send(90, 0.2)
    assert not other.evicted
    assert sum(caller.evicted for caller in crowd) == 1


@given(
    crowd_size=st.integers(2, 40),
    age_s=st.floats(0.0, STALL_S, exclude_max=True),
    count=st.integers(1, BUDGET // 41),
)
def test_small_request_is_not_evicted_for_a_crowd(crowd_size, age_s, count):
    """Pattern: a crowd has just filled the memory, then one short request."""
    memory = CallerMemory(BUDGET)
    crowd = [Caller(memory) for _ in range(crowd_size)]
    for caller in crowd:
        caller.send(BUDGET // crowd_size, 0.0)
    other = Caller(memory, now=age_s)
    assert other.send(count, age_s)
    assert not other.evicted


def test_reader_that_takes_most_gives_way_last():
    """A slow reader counts by what it takes, not by what it holds."""
    memory = CallerMemory(300)
    readers = [Caller(memory) for _ in range(3)]
    for taken, reader in enumerate(readers, 1):
        memory.add_unmoved(reader.body, 100, LIMIT, 0.0)
        reader.body.record_progress(taken, 0.5)
    assert Caller(memory, now=0.6).send(100, 0.6)
    assert [reader.evicted for reader in readers] == [True, False, False]


def test_two_largest_bodies_always_fit():
    """A budget below the configuration's limit would refuse legal bodies."""
    memory = CallerMemory(1)
    callers = [Caller(memory) for _ in range(2)]
    assert all(caller.send(LIMIT, 0.0) for caller in callers)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 9),
            st.integers(0, 100),
            st.sampled_from(("send", "finish", "leave")),
            st.floats(0.0, 3.0),
        ),
        max_size=200,
    )
)
def test_budget_holds_and_is_given_back(steps):
    """Whatever callers do, the sum is right and within the budget."""
    memory = CallerMemory(BUDGET)
    callers = {}
    now = 0.0
    for number, count, step, delay_s in steps:
        now += delay_s
        caller = callers.get(number) or callers.setdefault(number, Caller(memory, now))
        if step == "send" and not caller.body.evicted:
            caller.send(count, now)
        elif step == "finish":
            caller.finish()
        elif step == "leave":
            callers.pop(number).leave()
        assert 0 <= memory.held_bytes <= BUDGET
    for caller in callers.values():
        caller.leave()
    assert memory.held_bytes == 0


@pytest.mark.parametrize(
    ("host_mb", "caller_mb", "budget_bytes"),
    [
        (0, 0, DEFAULT_BUDGET_BYTES),
        (60, 0, MIN_BUDGET_BYTES),
        (180, 0, 18 * MEGABYTE),
        (4096, 0, MAX_BUDGET_BYTES),
        (180, 5, 5 * MEGABYTE),
    ],
)
def test_budget_follows_from_the_memory_of_the_host(host_mb, caller_mb, budget_bytes):
    """The setting goes first; without both there is a default."""
    settings = GatewaySettings(host_memory_mb=host_mb, caller_memory_mb=caller_mb)
    memory = CallerMemory.from_config(settings)
    caller = Caller(memory)
    assert caller.send(budget_bytes, 0.0)
    assert not caller.send(1, 0.0)


def test_negative_memory_is_refused():
    """Settings are checked before they are used."""
    settings = GatewaySettings(
        schema_version=1,
        host_id="h",
        failure_domain="a",
        caller_listen="127.0.0.1:1",
        ready_listen="127.0.0.1:2",
        peer_listen="127.0.0.1:3",
        peer_datagram_port=4,
        caller_memory_mb=-1,
    )
    settings.store.address = "127.0.0.1:5"
    settings.store.partitions = 1
    settings.store.retention_s = 1000000
    with pytest.raises(UserError, match="caller_memory_mb: must not be negative"):
        check_gateway_settings(settings, "test")


def test_largest_sound_job_has_few_parts():
    """200 items with long lists of prompt parts stay below the limit."""
    prompt = ",".join(f"5c1e07a{number}:800" for number in range(20))
    headers = ",".join(f'"X-Header-{number}":"v"' for number in range(12))
    item = '{"Id":"e5","Path":"/a/b","Headers":{"P":"' + prompt + '",' + headers
    job = (item + '},"Body":"q8","Tokens":9},').encode() * 200
    assert sum(map(job.count, PART_MARKS)) < MAX_JOB_PARTS / 4
