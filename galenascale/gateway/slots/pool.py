"""
Allocation of the slots of a pool of backend servers.

Engines serve requests in the order of arrival and know no priorities. A pool
counts the runs on each server: it places online requests on free slots, queues
them here and not at each server, and gives batch items only slots that online
requests do not need. It returns its decisions; the caller sends them.
"""

import math

from galenascale.gateway.slots.decisions import (
    Forwarded,
    FreeSlots,
    Grant,
    Preempted,
    Pressure,
    Queued,
    Refused,
)
from galenascale.gateway.slots.runs import Run, RunTable
from galenascale.gateway.slots.wait_queue import WaitQueue

# Seconds after which a run or a request is dropped unless its host renews it;
# hosts send several renewals within this time.
LEASE_S = 2.5
# Seconds for which a server that refused a run gets no other one: it has more
# runs than the pool knows of.
REFUSAL_PAUSE_S = 0.1
# Seconds after which the preemption of an item that still runs is repeated.
PREEMPT_RETRY_S = 0.1
# Weight of the newest run in the moving average of the run time, and number of
# runs before which no wait is forecast.
RUN_TIME_WEIGHT = 0.05
MIN_RUNS_FOR_FORECAST = 20
# Seconds after which another pool's report of its free slots is dropped.
FREE_SLOTS_MAX_AGE_S = 0.7
# Weight of the random term that chooses between equally free servers.
JITTER = 1e-3


class SlotPool:
    """Allocates the slots of a pool's servers to requests and items."""

    def __init__(self, rng):
        self._rng = rng
        self._servers_by_key = {}
        self._runs = RunTable()
        self._online_queue = WaitQueue()
        self._batch_queue = WaitQueue()
        self._refused_until_by_server = {}
        self._free_slots_by_pool = {}
        self._mean_run_s = 0.0
        self._completed = 0

    def set_servers(self, servers):
        """Set the PoolServers that may be granted."""
        self._servers_by_key = {server.key: server for server in servers}

    @property
    def has_servers(self):
        """Return True if there is a server to grant."""
        return bool(self._servers_by_key)

    @property
    def in_use(self):
        """Return True if the pool has runs or waiting requests."""
        return bool(self._runs or self._online_queue or self._batch_queue)

    def free_slots(self):
        """Return the FreeSlots to report to other pools."""
        free = max(0, self._free_slot_count() - len(self._online_queue))
        return FreeSlots(
            free=free,
            free_for_batch=max(0, free - self.reserve()),
            preemptible=len(self._runs.preemptible()),
        )

    def pressure(self):
        """Return the Pressure while a request waits, else None."""
        if not (self._online_queue or self._batch_queue):
            return None
        return Pressure(
            slots=sum(server.slots for server in self._servers_by_key.values()),
            online=self._runs.online,
            batch=self._runs.batch,
            waiting_online=len(self._online_queue),
            waiting_batch=len(self._batch_queue),
        )

    def update_free_slots(self, pool_key, free_slots, now):
        """Store another pool's free slots; return the decisions."""
        free_slots.received_at = now
        self._free_slots_by_pool[pool_key] = free_slots
        return self._schedule(now)

    def submit(self, request, now):
        """Decide on a SlotRequest of a host; return the decisions."""
        request.seen_at = now
        run = self._runs.get(request.run_id)
        if run is not None:
            # The grant was lost, or the request came twice.
            run.seen_at = now
            return [Grant(request, run.server_key)]
        queue = self._batch_queue if request.batch else self._online_queue
        queue.add(request)
        decisions = self._schedule(now)
        if queue.contains(request):
            decisions.append(self._queue_or_refuse(request, queue, now))
        return decisions

    def _queue_or_refuse(self, request, queue, now):
        wait_s = self._forecast_wait_s(request, queue, now)
        if (
            request.refusable
            and not request.returned
            and now + wait_s > request.start_by
        ):
            queue.remove(request.run_id)
            return Refused(request, wait_s)
        return Queued(request, wait_s)

    def _forecast_wait_s(self, request, queue, now):
        """Return the forecast wait for a slot in seconds."""
        slots = sum(server.slots for server in self._servers_by_key.values())
        if self._completed < MIN_RUNS_FOR_FORECAST or not slots:
            return 0.0
        return (queue.count_ahead(request, now) + 1) * self._mean_run_s / slots

    def record_run(self, run, now):
        """Add or renew a host's run; return the items preempted for it."""
        self._online_queue.remove(run.run_id)
        self._batch_queue.remove(run.run_id)
        known = self._runs.get(run.run_id)
        if known is None:
            run.seen_at = now
            self._runs.add(run)
        else:
            known.seen_at = now
        return self._preempt_excess_items(run.server_key, now)

    def end(self, run_id, now, *, refused=False):
        """End a run or withdraw a request; return the decisions."""
        queued = self._online_queue.remove(run_id) or self._batch_queue.remove(run_id)
        run = self._runs.get(run_id)
        if run is None:
            return self._schedule(now) if queued else []
        self._runs.remove(run)
        if refused:
            self._refused_until_by_server[run.server_key] = now + REFUSAL_PAUSE_S
        elif not run.batch:
            self._record_run_time(now - run.started_at)
        return self._schedule(now)

    def _record_run_time(self, elapsed_s):
        if not self._completed:
            self._mean_run_s = elapsed_s
        self._completed += 1
        self._mean_run_s += RUN_TIME_WEIGHT * (elapsed_s - self._mean_run_s)

    def tick(self, now):
        """Drop what hosts no longer renew; return the decisions."""
        self._runs.expire(now - LEASE_S)
        self._online_queue.expire(now - LEASE_S)
        self._batch_queue.expire(now - LEASE_S)
        for pool_key, free_slots in list(self._free_slots_by_pool.items()):
            if now - free_slots.received_at > FREE_SLOTS_MAX_AGE_S:
                del self._free_slots_by_pool[pool_key]
        preemptions = [
            self._preempt(run, now)
            for run in self._runs
            if run.preempted_at is not None and now - run.preempted_at > PREEMPT_RETRY_S
        ]
        return preemptions + self._schedule(now)

    def reserve(self):
        """
        Return the number of free slots that are kept for online requests.

        The number of running requests fluctuates by its square root.
        """
        return math.ceil(math.sqrt(self._runs.online + 1))

    def _free_on(self, server):
        return server.slots - max(
            server.reported_runs, self._runs.counts_at(server.key).total
        )

    def _free_slot_count(self):
        servers = self._servers_by_key.values()
        return sum(max(0, self._free_on(server)) for server in servers)

    def _best_server(self, avoid, now):
        """Return the server with the best free share and quality, or None."""
        best = None
        best_score = 0.0
        for server in self._servers_by_key.values():
            free = self._free_on(server)
            if free <= 0 or server.key in avoid:
                continue
            if now < self._refused_until_by_server.get(server.key, now):
                continue
            score = free / server.slots * server.quality + JITTER * self._rng.random()
            if score > best_score:
                best, best_score = server, score
        return best

    def _schedule(self, now):
        """Return the decisions on requests that need not wait any longer."""
        decisions = []
        for request in self._online_queue.in_order(now):
            new_decisions = self._place_online(request, now)
            if new_decisions:
                self._online_queue.remove(request.run_id)
                decisions += new_decisions
        if self._online_queue:
            return decisions
        for request in self._batch_queue.in_order(now):
            new_decisions = self._place_batch(request, now)
            if new_decisions:
                self._batch_queue.remove(request.run_id)
                decisions += new_decisions
        return decisions

    def _place_online(self, request, now):
        server = self._best_server(request.avoid, now)
        if server is not None:
            return [self._grant(request, server.key, now)]
        forwarded = self._forward(request, lambda free_slots: free_slots.free)
        if forwarded:
            return forwarded
        item = self._item_to_preempt(request.avoid)
        if item is not None:
            return [
                self._preempt(item, now),
                self._grant(request, item.server_key, now),
            ]
        if self._servers_by_key.keys() <= request.avoid:
            return self._forward(request, lambda free_slots: 1)
        return self._forward(request, lambda free_slots: free_slots.preemptible)

    def _place_batch(self, request, now):
        if self._free_slot_count() > self.reserve():
            server = self._best_server(request.avoid, now)
            if server is not None:
                return [self._grant(request, server.key, now)]
        return self._forward(request, lambda free_slots: free_slots.free_for_batch)

    def _grant(self, request, server_key, now):
        slack_s = request.start_by - now
        self._runs.add(
            Run(
                request.host,
                request.number,
                server_key,
                request.batch,
                slack_s,
                now,
                now,
            )
        )
        return Grant(request, server_key)

    def _forward(self, request, count_of):
        """Forward a request to the pool with the largest `count_of` slots."""
        free_slots_by_pool = self._free_slots_by_pool
        if request.forwarded or not free_slots_by_pool:
            return []
        key = max(free_slots_by_pool, key=lambda key: count_of(free_slots_by_pool[key]))
        free_slots = free_slots_by_pool[key]
        if count_of(free_slots) <= 0:
            return []
        if free_slots.free > 0:
            free_slots.free -= 1
            free_slots.free_for_batch -= 1
        else:
            free_slots.preemptible -= 1
        return [Queued(request, 0.0), Forwarded(request, key)]

    def _item_to_preempt(self, avoid):
        for run in self._runs.preemptible():
            if run.server_key in self._servers_by_key and run.server_key not in avoid:
                return run
        return None

    def _preempt_excess_items(self, server_key, now):
        """Preempt items at a server that has more runs than slots."""
        server = self._servers_by_key.get(server_key)
        count = self._runs.counts_at(server_key)
        if server is None or not count.batch or count.total <= server.slots:
            return []
        excess = count.total - server.slots - self._runs.preempted_count(server_key)
        items = [
            run for run in self._runs.preemptible() if run.server_key == server_key
        ]
        return [self._preempt(run, now) for run in items[: max(0, excess)]]

    def _preempt(self, run, now):
        run.preempted_at = now
        return Preempted(run.host, run.number)
