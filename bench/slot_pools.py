"""
Bursts of streams beside batch, with slots granted by the owners of pools.

Plays the very `SlotPool` that hosts use: a pool for each failure domain, asks
and grants as messages with a delay, some of them lost, engines with slots and
a queue. Prints the shares of streams that begin late and that went to a full
server while another one had a free slot, how often items were cut and how many
of them are done in time.
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
# Seconds after which a host without an answer chooses by itself.
ANSWER_TIMEOUT_S = 0.015
ASK_AGAIN_S = 0.5
RENEWAL_INTERVAL_S = 0.7


@attrs.frozen
class Pattern:
    """A kind of load."""

    name: str
    hosts: int
    domains: int
    servers: int
    slots: int
    # Streams a second in the calm and in a burst.
    calm_per_s: float
    burst_per_s: float
    burst_s: float
    period_s: float
    run_s: float
    # Wait for a slot after which the first event is late.
    longest_wait_s: float
    # Items come in jobs of ten.
    jobs_per_s: float = 0.0
    item_s: float = 4.5
    due_s: float = 18.0
    delay_s: float = 0.001
    lost_share: float = 0.0
    # Share of the traffic that the first failure domain has more.
    skew: float = 0.2
    length_s: float = 27.0
    # Hosts choose servers by chance, without owners.
    blind: bool = False


@attrs.define(eq=False)
class Job:
    """A stream or an item on its way."""

    number: int
    host: int
    batch: bool
    asked_at: float
    left_s: float
    server: int | None = None
    began_at: float | None = None
    cuts: int = 0
    run: int = 0
    done_at: float | None = None


@attrs.define
class Totals:
    """What became of all streams and items."""

    streams: int = 0
    late: int = 0
    misplaced: int = 0
    items: int = 0
    items_in_time: int = 0
    cuts: int = 0

    def add(self, other):
        """Add the counts of another play."""
        for field in attrs.fields(Totals):
            value = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, value)

    @property
    def shares(self):
        """Return shares by name."""
        return {
            "late": self.late / max(1, self.streams),
            "misplaced": self.misplaced / max(1, self.streams),
            "cuts an item": self.cuts / max(1, self.items),
            "items in time": self.items_in_time / max(1, self.items),
        }


class Play:
    """One play of a pattern."""

    def __init__(self, pattern, seed):
        self.pattern = pattern
        self.rng = random.Random(seed)
        self.now = 0.0
        self.order = itertools.count()
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
        self.jobs = {}
        # Numbers of the asks that an owner answered.
        self.answered = set()
        self.renew_at = RENEWAL_INTERVAL_S
        self.totals = Totals()

    def at(self, seconds, step, *args):
        """Call a step later."""
        heapq.heappush(self.events, (self.now + seconds, next(self.order), step, args))

    def play(self):
        """Return the Totals."""
        self.at(0.0, self._arrive)
        self.at(0.0, self._submit)
        self.at(TICK_S, self._tick)
        end_at = self.pattern.length_s + self.pattern.due_s
        while self.events and self.now < end_at:
            self.now, _, step, args = heapq.heappop(self.events)
            step(*args)
        return self.totals

    # Load.

    def _rate(self):
        pattern = self.pattern
        in_burst = self.now % pattern.period_s >= pattern.period_s - pattern.burst_s
        return pattern.burst_per_s if in_burst else pattern.calm_per_s

    def _host(self):
        pattern = self.pattern
        if self.rng.random() < pattern.skew:
            return self.rng.randrange(pattern.hosts // pattern.domains) * (
                pattern.domains
            )
        return self.rng.randrange(pattern.hosts)

    def _arrive(self):
        if self.now > self.pattern.length_s:
            return
        self.at(self.rng.expovariate(self._rate()), self._arrive)
        run_s = self.pattern.run_s * self.rng.uniform(0.6, 1.4)
        self._new(Job(next(self.order), self._host(), False, self.now, run_s))

    def _submit(self):
        if not self.pattern.jobs_per_s or self.now > self.pattern.length_s:
            return
        self.at(self.rng.expovariate(self.pattern.jobs_per_s), self._submit)
        host = self._host()
        for _ in range(10):
            item_s = self.pattern.item_s * self.rng.uniform(0.6, 1.4)
            self._new(Job(next(self.order), host, True, self.now, item_s))

    def _new(self, job):
        self.jobs[job.number] = job
        if self.pattern.blind and not job.batch:
            self._begin(job, self.rng.randrange(self.pattern.servers))
            return
        self._ask(job)

    # A host asks for a slot.

    def _ask(self, job):
        job.run += 1
        self._send_ask(job, job.run)
        if not job.batch:
            self.at(ANSWER_TIMEOUT_S, self._look_for_answer, job, job.run)

    def _send_ask(self, job, run):
        if job.run != run or job.began_at is not None or job.done_at is not None:
            return
        due_s = self.pattern.due_s - job.left_s
        start_by = job.asked_at + (due_s if job.batch else self.pattern.longest_wait_s)
        request = SlotRequest(
            f"h{job.host}", self._run_number(job), job.batch, start_by
        )
        self._message(self._decide, job.host % self.pattern.domains, request)
        if job.batch:
            self.at(ASK_AGAIN_S, self._send_ask, job, run)

    def _run_number(self, job):
        return job.number * 1000 + job.run

    def _message(self, step, *args):
        if self.rng.random() >= self.pattern.lost_share:
            self.at(self.pattern.delay_s, step, *args)

    def _look_for_answer(self, job, run):
        """Choose by chance if the owner's answer does not come."""
        waits = self._run_number(job) in self.answered
        if job.run == run and job.began_at is None and not waits:
            self._begin(job, self.rng.randrange(self.pattern.servers))

    # The owner of a pool.

    def _decide(self, number, request):
        self._apply(number, self.pools[number].submit(request, self.now))

    def _apply(self, number, decisions):
        for decision in decisions:
            if isinstance(decision, Forwarded):
                request = attrs.evolve(decision.request, forwarded=True)
                self._message(self._decide, decision.pool_key, request)
            elif isinstance(decision, Preempted):
                self._message(self._cut, decision.number, number)
            elif isinstance(decision, Grant):
                self._message(
                    self._granted,
                    decision.request.number,
                    decision.server_key,
                    number,
                )
            elif isinstance(decision, Refused):
                raise AssertionError("nothing is refusable here")
            else:
                self._message(self.answered.add, decision.request.number)

    def _tick(self):
        self.at(TICK_S, self._tick)
        for number, pool in enumerate(self.pools):
            self._apply(number, pool.tick(self.now))
            for other in range(len(self.pools)):
                if other != number:
                    self._message(self._told, other, number, pool.free_slots())
        if self.now >= self.renew_at:
            self.renew_at = self.now + RENEWAL_INTERVAL_S
            for job in self.jobs.values():
                if job.began_at is not None:
                    self._hold(job)

    def _hold(self, job):
        number = job.server % self.pattern.domains
        host = f"h{job.host}"
        run = Run(
            host, self._run_number(job), job.server, job.batch, 0.0, self.now, self.now
        )
        self._message(self._held, number, run)

    def _held(self, number, run):
        self._apply(number, self.pools[number].record_run(run, self.now))

    def _told(self, number, other, spare):
        self._apply(
            number, self.pools[number].update_free_slots(other, spare, self.now)
        )

    # A host gets a slot, and the engine runs.

    def _granted(self, run_number, server, pool):
        number, run = divmod(run_number, 1000)
        job = self.jobs.get(number)
        if job is None or job.run != run or job.began_at is not None:
            self._message(self._ended, pool, run_number, job.host if job else 0)
            return
        self._begin(job, server)

    def _begin(self, job, server):
        pattern = self.pattern
        job.server = server
        job.began_at = self.now
        free = [pattern.slots - count for count in self.running]
        if not job.batch:
            self.totals.streams += 1
            self.totals.misplaced += free[server] <= 0 < max(free)
        if self.running[server] < pattern.slots:
            self._run(job)
        else:
            self.queues[server].append(job)

    def _run(self, job):
        self.running[job.server] += 1
        if not job.batch:
            waited_s = self.now - job.asked_at
            self.totals.late += waited_s > self.pattern.longest_wait_s
        job.began_at = self.now
        self.at(job.left_s, self._finish, job, job.run)

    def _finish(self, job, run):
        if job.run != run or job.done_at is not None:
            return
        job.done_at = self.now
        self._free(job)
        del self.jobs[job.number]
        if job.batch:
            self.totals.items += 1
            self.totals.cuts += job.cuts
            in_time = self.now - job.asked_at <= self.pattern.due_s
            self.totals.items_in_time += in_time

    def _free(self, job):
        server = job.server
        self.running[server] -= 1
        pool = server % self.pattern.domains
        self._message(self._ended, pool, self._run_number(job), job.host)
        if self.queues[server] and self.running[server] < self.pattern.slots:
            self._run(self.queues[server].pop(0))

    def _ended(self, pool, run_number, host):
        run_id = (f"h{host}", run_number)
        self._apply(pool, self.pools[pool].end(run_id, self.now))

    def _cut(self, run_number, pool):
        number, run = divmod(run_number, 1000)
        job = self.jobs.get(number)
        if job is None or job.run != run or job.began_at is None:
            self._message(self._ended, pool, run_number, job.host if job else 0)
            return
        if job in self.queues[job.server]:
            self.queues[job.server].remove(job)
            self._message(self._ended, pool, run_number, job.host)
        else:
            job.left_s = max(0.0, job.left_s - (self.now - job.began_at))
            self._free(job)
        job.cuts += 1
        job.began_at = None
        job.server = None
        self._ask(job)


SMALL = Pattern("12 hosts, 9 servers", 12, 3, 9, 8, 25, 77, 2.8, 6.6, 0.6, 0.2, 0.05)
GROWN = Pattern(
    "81 hosts, 30 servers", 81, 3, 30, 7, 60, 295, 2.8, 6.6, 0.71, 0.2, 0.197
)
PATTERNS = (
    SMALL,
    attrs.evolve(GROWN, name="81 hosts, blind choice", blind=True, jobs_per_s=0.0),
    attrs.evolve(GROWN, name="81 hosts, no batch", jobs_per_s=0.0),
    GROWN,
    attrs.evolve(GROWN, name="81 hosts, 1% of the messages lost", lost_share=0.01),
    Pattern("200 hosts, 60 servers", 200, 5, 60, 7, 90, 480, 2.0, 8.0, 0.71, 0.2, 0.4),
    Pattern("24 hosts, no bursts", 24, 2, 12, 16, 200, 200, 1.0, 5.0, 0.7, 0.2, 0.3),
)


def play(pattern, seeds=SEEDS):
    """Return the Totals of some plays of a pattern."""
    totals = Totals()
    for seed in seeds:
        totals.add(Play(pattern, seed).play())
    return totals


def main():
    """Print the shares of all patterns."""
    for pattern in PATTERNS:
        shares = play(pattern).shares
        text = "  ".join(f"{name} {value:.3f}" for name, value in shares.items())
        print(f"{pattern.name:36} {text}")


if __name__ == "__main__":
    main()
