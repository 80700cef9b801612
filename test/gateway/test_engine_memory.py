"""Memory of engines: loads of long prompts beside short ones."""

import heapq
import itertools
import random

import pytest

from galenascale.gateway.configuration import (
    Configuration,
    ConfigurationState,
    Engine,
    Service,
)
from galenascale.gateway.slots.decisions import Grant, PoolServer, Preempted
from galenascale.gateway.slots.pool import SlotPool
from galenascale.gateway.slots.pool_servers import engine_memory, size_reason
from galenascale.gateway.slots.runs import Run
from galenascale.gateway.slots.wait_queue import SlotRequest

SLOTS = 8
MEMORY = 8000
SHORT, LONG = 1000, 6000
# Seconds without an event after which callers give a stream up.
PATIENCE_S = 2.0


def make_pool(servers=3, memory=MEMORY):
    """Return a pool of engines."""
    pool = SlotPool(random.Random(7))
    pool.set_servers(
        [PoolServer(key, SLOTS, memory_tokens=memory) for key in range(1, servers + 1)]
    )
    return pool


def grants_of(decisions):
    """Return (number, server key) of the grants."""
    return [
        (item.request.number, item.server_key)
        for item in decisions
        if isinstance(item, Grant)
    ]


class MixedLoad:
    """Long and short prompts at a pool; counts what engines would put back."""

    def __init__(self, memory, long_share=0.05, per_s=20.0, length_s=60.0):
        self.pool = make_pool(memory=memory)
        self.rng = random.Random(5)
        self.events = []
        self.order = itertools.count()
        self.sizes = {}
        self.arrived_at = {}
        self.used = dict.fromkeys((1, 2, 3), 0)
        self.put_back = 0
        self.waits_by_size = {SHORT: [], LONG: []}
        now = 0.0
        for number in itertools.count():
            now += self.rng.expovariate(per_s)
            if now > length_s:
                break
            self.sizes[number] = LONG if self.rng.random() < long_share else SHORT
            self.arrived_at[number] = now
            heapq.heappush(self.events, (now, next(self.order), "ask", number, 0))

    def run(self):
        """Play the load to its end."""
        while self.events:
            now, _, what, number, server = heapq.heappop(self.events)
            if what == "ask":
                decisions = self.pool.submit(self._request(number, now), now)
            else:
                self.used[server] -= self.sizes[number]
                decisions = self.pool.end(("a", number), now, served=True)
            for granted, key in grants_of(decisions):
                self._start(granted, key, now)
        return self

    def _request(self, number, now):
        size = self.sizes[number]
        return SlotRequest("a", number, start_by=now + 1, memory_tokens=size)

    def _start(self, number, server, now):
        self.used[server] += self.sizes[number]
        self.put_back += self.used[server] > MEMORY
        self.waits_by_size[self.sizes[number]].append(now - self.arrived_at[number])
        heapq.heappush(
            self.events,
            (now + self.rng.uniform(0.4, 1.0), next(self.order), "end", number, server),
        )


def test_engines_put_no_run_back():
    """
    Pattern: one prompt in twenty takes three quarters of an engine's memory.

    Pools counted slots alone, so engines ran out of memory and put the newest
    runs back in the middle of their streams.
    """
    assert MixedLoad(memory=0).run().put_back > 0
    assert MixedLoad(memory=MEMORY).run().put_back == 0


@pytest.mark.parametrize("size", [SHORT, LONG], ids=["short", "long"])
def test_neither_size_starves(size):
    """Pattern: the same; short prompts took each token that became free."""
    load = MixedLoad(memory=MEMORY).run()
    assert sum(map(len, load.waits_by_size.values())) == len(load.sizes)
    assert max(load.waits_by_size[size]) < PATIENCE_S


def test_long_request_gets_a_server_that_empties():
    """Pattern: two short prompts at each server, and more behind it."""
    pool = make_pool(servers=2, memory=2 * SHORT)
    for number in range(4):
        pool.submit(SlotRequest("a", number, memory_tokens=SHORT), 0.0)
    pool.submit(SlotRequest("b", 50, start_by=1.0, memory_tokens=1900), 0.0)
    for number in range(60, 66):
        pool.submit(SlotRequest("a", number, start_by=2.0, memory_tokens=SHORT), 0.0)
    started = []
    for number in range(4):
        started += [found for found, _ in grants_of(pool.end(("a", number), 0.1))]
    assert 50 in started
    # Those behind it go on at the other server.
    assert set(started) - {50} <= {60, 61, 62, 63}
    assert len(started) >= 3


def test_another_server_is_held_if_the_first_one_goes():
    """A request would wait for a server that is gone."""
    pool = make_pool(servers=2, memory=2 * SHORT)
    for number in range(4):
        pool.submit(SlotRequest("a", number, memory_tokens=SHORT), 0.0)
    pool.submit(SlotRequest("b", 50, start_by=1.0, memory_tokens=1900), 0.0)
    gone = pool._servers._hold.server_key
    left = 3 - gone
    pool.set_servers([PoolServer(left, SLOTS, memory_tokens=2 * SHORT)])
    pool.tick(0.1)
    assert pool._servers._hold.server_key == left


def test_requests_without_tokens_need_slots_only():
    """Plain requests, and hosts of an earlier build."""
    pool = make_pool(servers=1, memory=10)
    decisions = []
    for number in range(SLOTS):
        decisions += pool.submit(SlotRequest("a", number), 0.0)
    assert len(grants_of(decisions)) == SLOTS


def test_next_owner_counts_the_memory_of_held_slots():
    """An owner is lost; hosts renew their slots with the next one."""
    pool = make_pool(servers=1, memory=1000)
    run = Run("h", 1, 1, False, 1.0, 0.0, 0.0, memory_tokens=800)
    pool.record_run(run, 0.0, new=False)
    assert grants_of(pool.submit(SlotRequest("a", 2, memory_tokens=300), 0.0)) == []
    assert grants_of(pool.end(("h", 1), 0.1)) == [(2, 1)]


def test_preempted_item_leaves_enough_memory():
    """An item is not preempted in vain for a request that would not fit."""
    pool = make_pool(servers=1, memory=1000)
    pool.submit(SlotRequest("a", 1, batch=True, memory_tokens=100), 0.0)
    pool.submit(SlotRequest("a", 2, memory_tokens=800), 0.0)
    decisions = pool.submit(SlotRequest("a", 3, memory_tokens=500), 0.0)
    assert not any(isinstance(item, Preempted) for item in decisions)


@pytest.mark.parametrize(
    ("engines", "tokens", "refused"),
    [
        ({"one": Engine(8, 1000)}, 1001, True),
        ({"one": Engine(8, 1000)}, 1000, False),
        ({"one": Engine(8, 1000), "two": Engine(8, 4000)}, 3000, False),
        ({"one": Engine(8, 1000), "two": None}, 3000, False),
        ({"one": Engine(8, 0)}, 10**9, False),
        ({}, 10, False),
    ],
)
def test_request_that_fits_no_engine_is_refused(engines, tokens, refused):
    """It would wait for its whole time, and be refused by each engine."""
    configuration = ConfigurationState()
    services = {name: Service(name, 10, engine) for name, engine in engines.items()}
    configuration.install(Configuration(1, (), services))
    assert (size_reason(configuration, engines, tokens) is not None) == refused


def test_memory_of_a_service_that_is_not_known():
    """A host without a configuration counts no memory."""
    assert engine_memory(ConfigurationState(), "one") == 0
