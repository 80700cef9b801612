"""
Simulation of bursts of streams beside batch items on slot pools.

Runs the `SlotPool` that hosts use, with a pool for each failure domain,
requests and grants as messages that are delayed or lost, and engines with
slots and a queue. Prints the shares of streams that start late and of those
that went to a full server while another one had a free slot, the preemptions
of an item, and the share of items that are done in time.
"""

import heapq
import itertools
import random

import attrs

from galenascale.gateway.slots.decisions import (
    Forwarded,
    Grant,
    PoolServer,
    Preempted,
    Refused,
)
from galenascale.gateway.slots.pool import SlotPool
from galenascale.gateway.slots.runs import Run
from galenascale.gateway.slots.wait_queue import SlotRequest

SEEDS = range(5, 9)
TICK_S = 0.05
# Seconds after which a host without an answer chooses a server by itself.
ANSWER_TIMEOUT_S = 0.015
# Seconds between two requests for an item that waits, and between two messages
# that renew the held slots.
REQUEST_REPEAT_S = 0.5
RENEWAL_INTERVAL_S = 0.7


@attrs.frozen
class LoadPattern:
    """A fleet and the load on it; times are in seconds."""

    name: str
    hosts: int
    domains: int
    servers: int
    slots: int
    # Streams a second between bursts and during one.
    base_per_s: float
    burst_per_s: float
    burst_s: float
    period_s: float
    run_s: float
    # Wait for a slot after which the first event is late.
    max_wait_s: float
    # Batch jobs a second, of ten items each.
    jobs_per_s: float = 0.0
    item_s: float = 4.5
    due_s: float = 18.0
    delay_s: float = 0.001
    lost_share: float = 0.0
    # Additional share of the traffic that arrives in the first failure domain.
    skew: float = 0.2
    length_s: float = 27.0
    # Hosts choose servers for streams at random, without the pools' owners.
    random_choice: bool = False


@attrs.define(eq=False)
class Task:
    """A stream or a batch item that is not done yet."""

    number: int
    host: int
    batch: bool
    submitted_at: float
    remaining_s: float
    server: int | None = None
    started_at: float | None = None
    preemptions: int = 0
    attempt: int = 0
    done_at: float | None = None


@attrs.define
class Totals:
    """Counts of streams and items by their outcome."""

    streams: int = 0
    late: int = 0
    misplaced: int = 0
    items: int = 0
    items_in_time: int = 0
    preemptions: int = 0

    def add(self, other):
        """Add the counts of another simulation."""
        for field in attrs.fields(Totals):
            value = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, value)

    @property
    def shares(self):
        """Return shares of streams and items by the names that are printed."""
        return {
            "late": self.late / max(1, self.streams),
            "misplaced": self.misplaced / max(1, self.streams),
            "cuts an item": self.preemptions / max(1, self.items),
            "items in time": self.items_in_time / max(1, self.items),
        }


class Simulation:
    """One simulation of a load pattern."""

    def __init__(self, pattern, seed):
        self.pattern = pattern
        self.rng = random.Random(seed)
        self.now = 0.0
        self.event_numbers = itertools.count()
        self.events = []
        self.running = [0] * pattern.servers
        self.queues = [[] for _ in range(pattern.servers)]
        self.pools = [SlotPool(self.rng) for _ in range(pattern.domains)]
        for number, pool in enumerate(self.pools):
            pool.set_servers(
                [
                    PoolServer(server, pattern.slots)
                    for server in range(pattern.servers)
                    if server % pattern.domains == number
                ]
            )
        self.tasks = {}
        # Numbers of the requests that an owner answered.
        self.answered = set()
        self.renew_at = RENEWAL_INTERVAL_S
        self.totals = Totals()

    def schedule(self, seconds, callback, *args):
        """Call a function after some seconds."""
        heapq.heappush(
            self.events, (self.now + seconds, next(self.event_numbers), callback, args)
        )

    def run(self):
        """Run the simulation to its end and return the Totals."""
        self.schedule(0.0, self._arrive)
        self.schedule(0.0, self._submit_job)
        self.schedule(TICK_S, self._tick)
        end_at = self.pattern.length_s + self.pattern.due_s
        while self.events and self.now < end_at:
            self.now, _, callback, args = heapq.heappop(self.events)
            callback(*args)
        return self.totals

    # Arrival of streams and items.

    def _rate(self):
        pattern = self.pattern
        in_burst = self.now % pattern.period_s >= pattern.period_s - pattern.burst_s
        return pattern.burst_per_s if in_burst else pattern.base_per_s

    def _random_host(self):
        pattern = self.pattern
        if self.rng.random() < pattern.skew:
            return self.rng.randrange(pattern.hosts // pattern.domains) * (
                pattern.domains
            )
        return self.rng.randrange(pattern.hosts)

    def _arrive(self):
        if self.now > self.pattern.length_s:
            return
        self.schedule(self.rng.expovariate(self._rate()), self._arrive)
        run_s = self.pattern.run_s * self.rng.uniform(0.6, 1.4)
        self._add_task(
            Task(next(self.event_numbers), self._random_host(), False, self.now, run_s)
        )

    def _submit_job(self):
        if not self.pattern.jobs_per_s or self.now > self.pattern.length_s:
            return
        self.schedule(self.rng.expovariate(self.pattern.jobs_per_s), self._submit_job)
        host = self._random_host()
        for _ in range(10):
            item_s = self.pattern.item_s * self.rng.uniform(0.6, 1.4)
            self._add_task(Task(next(self.event_numbers), host, True, self.now, item_s))

    def _add_task(self, task):
        self.tasks[task.number] = task
        if self.pattern.random_choice and not task.batch:
            self._place(task, self.rng.randrange(self.pattern.servers))
            return
        self._request_slot(task)

    # Hosts that request slots.

    def _request_slot(self, task):
        task.attempt += 1
        self._send_request(task, task.attempt)
        if not task.batch:
            self.schedule(ANSWER_TIMEOUT_S, self._check_answer, task, task.attempt)

    def _send_request(self, task, attempt):
        if (
            task.attempt != attempt
            or task.started_at is not None
            or task.done_at is not None
        ):
            return
        request = self._make_request(task)
        self._send(self._decide, task.host % self.pattern.domains, request)
        if task.batch:
            self.schedule(REQUEST_REPEAT_S, self._send_request, task, attempt)

    def _make_request(self, task):
        due_s = self.pattern.due_s - task.remaining_s
        start_by = task.submitted_at + (
            due_s if task.batch else self.pattern.max_wait_s
        )
        return SlotRequest(
            f"h{task.host}", self._request_number(task), task.batch, start_by
        )

    def _request_number(self, task):
        return task.number * 1000 + task.attempt

    def _send(self, callback, *args):
        if self.rng.random() >= self.pattern.lost_share:
            self.schedule(self.pattern.delay_s, callback, *args)

    def _check_answer(self, task, attempt):
        """Choose a server at random if the owner did not answer."""
        is_queued = self._request_number(task) in self.answered
        if task.attempt == attempt and task.started_at is None and not is_queued:
            self._place(task, self.rng.randrange(self.pattern.servers))

    # Owners of pools.

    def _decide(self, number, request):
        self._apply(number, self.pools[number].submit(request, self.now))

    def _apply(self, number, decisions):
        for decision in decisions:
            if isinstance(decision, Forwarded):
                request = attrs.evolve(decision.request, forwarded=True)
                self._send(self._decide, decision.pool_key, request)
            elif isinstance(decision, Preempted):
                self._send(self._preempt, decision.number, number)
            elif isinstance(decision, Grant):
                self._send(
                    self._on_grant,
                    decision.request.number,
                    decision.server_key,
                    number,
                )
            elif isinstance(decision, Refused):
                self._send(self._on_refused, decision.request.number)
            else:
                self._send(self.answered.add, decision.request.number)

    def _on_refused(self, request_number):
        raise AssertionError("nothing is refusable here")

    def _tick(self):
        self.schedule(TICK_S, self._tick)
        for number, pool in enumerate(self.pools):
            self._apply(number, pool.tick(self.now))
            for other in range(len(self.pools)):
                if other != number:
                    free_slots = pool.free_slots()
                    pool.add_forecast(free_slots, self.now)
                    self._send(self._update_free_slots, other, number, free_slots)
        if self.now >= self.renew_at:
            self.renew_at = self.now + RENEWAL_INTERVAL_S
            for task in self.tasks.values():
                if task.started_at is not None:
                    self._renew(task)

    def _renew(self, task):
        number = task.server % self.pattern.domains
        host = f"h{task.host}"
        run = Run(
            host,
            self._request_number(task),
            task.server,
            task.batch,
            0.0,
            self.now,
            self.now,
            tenant=self._make_request(task).tenant,
        )
        self._send(self._record_run, number, run)

    def _record_run(self, number, run):
        self._apply(number, self.pools[number].record_run(run, self.now))

    def _update_free_slots(self, number, other, free_slots):
        self._apply(
            number, self.pools[number].update_free_slots(other, free_slots, self.now)
        )

    # Granted slots and engines.

    def _on_grant(self, request_number, server, pool):
        number, attempt = divmod(request_number, 1000)
        task = self.tasks.get(number)
        if task is None or task.attempt != attempt or task.started_at is not None:
            self._send(self._end, pool, request_number, task.host if task else 0)
            return
        self._place(task, server)

    def _place(self, task, server):
        pattern = self.pattern
        task.server = server
        task.started_at = self.now
        free = [pattern.slots - count for count in self.running]
        if not task.batch:
            self.totals.streams += 1
            self.totals.misplaced += free[server] <= 0 < max(free)
        if self.running[server] < pattern.slots:
            self._start(task)
        else:
            self.queues[server].append(task)

    def _start(self, task):
        self.running[task.server] += 1
        if not task.batch:
            waited_s = self.now - task.submitted_at
            self.totals.late += waited_s > self.pattern.max_wait_s
        task.started_at = self.now
        self.schedule(self._duration_s(task), self._finish, task, task.attempt)

    def _duration_s(self, task):
        """Return the seconds that the rest of a task takes at its server."""
        return task.remaining_s

    def _finish(self, task, attempt):
        if task.attempt != attempt or task.done_at is not None:
            return
        task.done_at = self.now
        self._release(task)
        del self.tasks[task.number]
        if task.batch:
            self.totals.items += 1
            self.totals.preemptions += task.preemptions
            in_time = self.now - task.submitted_at <= self.pattern.due_s
            self.totals.items_in_time += in_time

    def _release(self, task):
        server = task.server
        self.running[server] -= 1
        pool = server % self.pattern.domains
        served = task.done_at is not None
        self._send(self._end, pool, self._request_number(task), task.host, served)
        if self.queues[server] and self.running[server] < self.pattern.slots:
            self._start(self.queues[server].pop(0))

    def _end(self, pool, request_number, host, served=False):
        run_id = (f"h{host}", request_number)
        self._apply(pool, self.pools[pool].end(run_id, self.now, served=served))

    def _preempt(self, request_number, pool):
        number, attempt = divmod(request_number, 1000)
        task = self.tasks.get(number)
        if task is None or task.attempt != attempt or task.started_at is None:
            self._send(self._end, pool, request_number, task.host if task else 0)
            return
        if task in self.queues[task.server]:
            self.queues[task.server].remove(task)
            self._send(self._end, pool, request_number, task.host)
        else:
            task.remaining_s = max(0.0, task.remaining_s - (self.now - task.started_at))
            self._release(task)
        task.preemptions += 1
        task.started_at = None
        task.server = None
        self._request_slot(task)


SMALL = LoadPattern(
    "12 hosts, 9 servers", 12, 3, 9, 8, 25, 77, 2.8, 6.6, 0.6, 0.2, 0.05
)
LARGE = LoadPattern(
    "81 hosts, 30 servers", 81, 3, 30, 7, 60, 295, 2.8, 6.6, 0.71, 0.2, 0.197
)
PATTERNS = (
    SMALL,
    attrs.evolve(
        LARGE, name="81 hosts, blind choice", random_choice=True, jobs_per_s=0.0
    ),
    attrs.evolve(LARGE, name="81 hosts, no batch", jobs_per_s=0.0),
    LARGE,
    attrs.evolve(LARGE, name="81 hosts, 1% of the messages lost", lost_share=0.01),
    LoadPattern(
        "200 hosts, 60 servers", 200, 5, 60, 7, 90, 480, 2.0, 8.0, 0.71, 0.2, 0.4
    ),
    LoadPattern(
        "24 hosts, no bursts", 24, 2, 12, 16, 200, 200, 1.0, 5.0, 0.7, 0.2, 0.3
    ),
)


def simulate(pattern, seeds=SEEDS):
    """Return the Totals of the simulations of a pattern, one for each seed."""
    totals = Totals()
    for seed in seeds:
        totals.add(Simulation(pattern, seed).run())
    return totals


def main():
    """Simulate all patterns and print their shares."""
    for pattern in PATTERNS:
        shares = simulate(pattern).shares
        text = "  ".join(f"{name} {value:.3f}" for name, value in shares.items())
        print(f"{pattern.name:36} {text}")


if __name__ == "__main__":
    main()
