"""
Allocation of the slots of a pool of backend servers.

Engines serve requests in the order of arrival and know no priorities. A pool
counts the runs on each server: it places online requests on free slots, queues
them here and not at each server, and gives batch items only slots that online
requests do not need. It returns its decisions; the caller sends them.
"""

import itertools
import math

from galenascale.gateway.slots.decisions import (
    Grant,
    Queued,
    Refused,
)
from galenascale.gateway.slots.idle_servers import find_idle_servers
from galenascale.gateway.slots.pool_reports import find_free_slots, find_pressure
from galenascale.gateway.slots.preemption import (
    item_to_preempt,
    preempt,
    preempt_excess_items,
    repeat_preemptions,
)
from galenascale.gateway.slots.run_times import RunTimes
from galenascale.gateway.slots.runs import Run, RunTable
from galenascale.gateway.slots.server_slots import ServerSlots
from galenascale.gateway.slots.sibling_pools import SiblingPools
from galenascale.gateway.slots.tenant_shares import TenantShares
from galenascale.gateway.slots.wait_queue import WaitQueue

# Seconds after which a run or a request is dropped unless its host renews it;
# hosts send several renewals within this time.
LEASE_S = 2.5
# Step in seconds of the reported wait; smaller changes are not reported.
WAIT_STEP_S = 0.05


class SlotPool:
    """Allocates the slots of a pool's servers to requests and items."""

    def __init__(self, rng):
        self._runs = RunTable()
        self._servers = ServerSlots(rng, self._runs)
        self._online_queue = WaitQueue(self._online_excess)
        self._batch_queue = WaitQueue(self._batch_excess)
        self._siblings = SiblingPools()
        self.shares = TenantShares()
        # Whether requests that wait may leave without limits of servers.
        self.leave_domain = True
        self._run_times = RunTimes()

    def set_servers(self, servers, *, by_speed=True):
        """Set the PoolServers that may be granted; faster ones `by_speed`."""
        self._servers.set(servers, by_speed)

    def _online_excess(self, requests):
        """Return the requests beyond their tenants' shares of the service."""
        if not any(request.tenant for request in requests):
            return {}
        held = self._runs.online_by_tenant()
        slots = self._servers.slots + self._siblings.add_slots_by_tenant(held)
        return self.shares.excess_by_run(requests, held, slots)

    def _batch_excess(self, requests):
        """Return the items beyond their tenants' shares of the pool."""
        if not any(request.tenant for request in requests):
            return {}
        held = self._runs.total_by_tenant()
        return self.shares.excess_by_run(requests, held, self._servers.slots)

    @property
    def has_servers(self):
        """Return True if there is a server to grant."""
        return bool(self._servers)

    def slowest_servers(self, now):
        """Return the slowness of the slowest servers, by key."""
        return self._servers.slowest(now)

    @property
    def in_use(self):
        """Return True if the pool has runs or waiting requests."""
        return bool(self._runs or self._online_queue or self._batch_queue)

    def host_count(self):
        """Return the number of hosts with runs or waiting requests."""
        return len({entry.host for entry in self._entries()})

    def _entries(self):
        return itertools.chain(self._runs, self._online_queue, self._batch_queue)

    def free_slots(self):
        """Return the FreeSlots to report to other pools."""
        waiting = len(self._online_queue)
        return find_free_slots(self._servers, self._runs, waiting, self.reserve())

    def add_forecast(self, free_slots, now):
        """Set the forecast wait in FreeSlots, as far as it is known."""
        forecast = self._servers.forecast(self._run_times.known_mean_s, now)
        if math.isfinite(forecast.starts_per_s):
            # Only requests within their tenants' shares go to other pools.
            requests, excess = self._online_queue.ranked(now)
            wait_s = forecast.wait_s(len(requests) - len(excess) + 1)
            free_slots.wait_s = round(wait_s / WAIT_STEP_S) * WAIT_STEP_S
            free_slots.starts_per_s = round(forecast.starts_per_s, 1)

    def pressure(self):
        """Return the Pressure while a request waits, else None."""
        return find_pressure(
            self._servers.slots,
            self._runs,
            self._online_queue,
            self._batch_queue,
            len(self._online_excess(list(self._online_queue))),
        )

    def idle_servers(self, now):
        """Return the IdleServers while a request waits beside some."""
        queue = self._online_queue or self._batch_queue
        if not queue:
            return None
        first = queue.in_order(now)[0]
        return find_idle_servers(self._servers, first, self.reserve(), now)

    def update_free_slots(self, pool_key, free_slots, now):
        """Store another pool's free slots; return the decisions."""
        self._siblings.update(pool_key, free_slots, now)
        return self._schedule(now)

    def submit(self, request, now):
        """Decide on a SlotRequest of a host; return the decisions."""
        request.seen_at = now
        run = self._runs.get(request.run_id)
        if run is not None:
            # The grant was lost, or the request came twice.
            run.seen_at = now
            return [Grant(request, run.server_key, run.paced)]
        queue = self._batch_queue if request.batch else self._online_queue
        queue.add(request)
        decisions = self._schedule(now)
        if queue.contains(request):
            decisions += self._queue_or_refuse(request, queue, now)
        return decisions

    def _queue_or_refuse(self, request, queue, now):
        forecast = self._servers.forecast(self._run_times.known_mean_s, now)
        requests, excess = queue.ranked(now)
        wait_s = forecast.wait_s(requests.index(request) + 1)
        may_leave = self._may_leave(forecast) and request.run_id not in excess
        if may_leave and not request.batch:
            decisions = self._siblings.forward_if_sooner(request, wait_s, now)
            if decisions:
                queue.remove(request.run_id)
                return decisions
        limited = self._servers.all_limited
        starts_at = now + wait_s
        beyond_share = request.run_id in excess
        is_late = request.should_return(starts_at)
        if is_late or (limited and starts_at > request.give_up_at):
            queue.remove(request.run_id)
            return [Refused(request, wait_s, limited, beyond_share)]
        held_back = self._servers.is_held_back(request.avoid)
        decisions = [Queued(request, wait_s, held_back, beyond_share)]
        if not request.batch:
            displaced = queue.take_displaced(requests, excess, forecast, now)
            decisions += [
                Refused(other, wait, beyond_share=True) for other, wait in displaced
            ]
        return decisions

    def record_run(self, run, now, *, new=True):
        """
        Add or renew a host's run; return the items preempted for it.

        `new` says that a run which the pool does not know has just been sent,
        and not before this host owned the pool.
        """
        self._online_queue.remove(run.run_id)
        self._batch_queue.remove(run.run_id)
        known = self._runs.get(run.run_id)
        if known is None:
            run.seen_at = now
            self._runs.add(run)
            if new:
                self._servers.spend(run.server_key)
        else:
            known.seen_at = now
        return preempt_excess_items(self._runs, self._servers, run.server_key, now)

    def end(self, run_id, now, *, refused=False, served=False):
        """End a run or withdraw a request; return the decisions."""
        queued = self._online_queue.remove(run_id) or self._batch_queue.remove(run_id)
        run = self._runs.get(run_id)
        if run is None:
            return self._schedule(now) if queued else []
        self._runs.remove(run)
        if refused:
            self._servers.pause(run.server_key, now)
        elif not run.batch:
            self._run_times.record(now - run.started_at)
            if served:
                self._servers.record_run(run, now)
        return self._schedule(now)

    def tick(self, now):
        """Drop what hosts no longer renew; return the decisions."""
        self._runs.expire(now - LEASE_S)
        self._online_queue.expire(now - LEASE_S)
        self._batch_queue.expire(now - LEASE_S)
        self._siblings.expire(now)
        preemptions = repeat_preemptions(self._runs, now)
        return preemptions + self._schedule(now) + self._forward_waiting(now)

    def reserve(self):
        """
        Return the number of free slots that are kept for online requests.

        The number of running requests fluctuates by its square root. A pool
        of one slot keeps none: an item there makes room for a request.
        """
        reserve = math.ceil(math.sqrt(self._runs.online + 1))
        return min(reserve, max(0, self._servers.slots - 1))

    def _schedule(self, now):
        """Return the decisions on requests that need not wait any longer."""
        self._servers.refill(now)
        self._servers.release_hold((self._online_queue, self._batch_queue))
        decisions = self._online_queue.place(self._place_online, self._servers, now)
        if not self._online_queue:
            decisions += self._batch_queue.place(self._place_batch, self._servers, now)
        return decisions

    def _may_leave(self, forecast):
        """Return True if requests that wait may go to another pool."""
        return forecast.has_limits or self.leave_domain

    def _forward_waiting(self, now):
        """Forward requests that start sooner in another pool."""
        forecast = self._servers.forecast(self._run_times.known_mean_s, now)
        if not self._online_queue or not self._may_leave(forecast):
            return []
        return self._siblings.forward_waiting(self._online_queue, forecast, now)

    def _place_online(self, request, now):
        server = self._servers.best(request, now)
        if server is not None:
            return [self._grant(request, server.key, now)]
        forwarded = self._siblings.forward(request, lambda free_slots: free_slots.free)
        if forwarded:
            return forwarded
        item = item_to_preempt(self._runs, self._servers, request)
        if item is not None:
            return [
                preempt(item, now),
                self._grant(request, item.server_key, now),
            ]
        if self._servers.are_within(request.avoid):
            return self._siblings.forward(request, lambda free_slots: 1)
        return self._siblings.forward(
            request, lambda free_slots: free_slots.preemptible
        )

    def _place_batch(self, request, now):
        if self._servers.free_count() > self.reserve():
            server = self._servers.best(request, now)
            if server is not None:
                return [self._grant(request, server.key, now)]
        return self._siblings.forward(
            request, lambda free_slots: free_slots.free_for_batch
        )

    def _grant(self, request, server_key, now):
        passed_over = self._servers.is_held_back(request.avoid)
        run = Run(
            request.host,
            request.number,
            server_key,
            request.batch,
            slack_s=request.start_by - now,
            started_at=now,
            seen_at=now,
            paced=self._servers.spend(server_key),
            tenant=request.tenant,
            tokens=request.tokens,
            memory_tokens=request.memory_tokens,
            start_seen=True,
        )
        self._runs.add(run)
        return Grant(request, server_key, run.paced, passed_over)
