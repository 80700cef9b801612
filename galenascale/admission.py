"""Admission of requests: bounded queues, fair shares, limits, early refusal.

This module does no I/O and reads no clock; the caller passes the monotonic
time. Tenants share a service by start-time fair queueing: the waiting tenant
with the smallest start tag is next, and its following tag is `cost / share`
later. A tenant that sends too many requests only lengthens its own queue.
"""

import enum
from collections import deque

import attrs

from galenascale.errors import Refused
from galenascale.rate_limit import DEFAULT_LIMITS, RateBucket

# Weight of the newest sample in the moving average of the time between starts.
START_INTERVAL_WEIGHT = 0.1
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 30.0
# Number of tenants per queue above which idle ones are removed.
MAX_IDLE_FLOWS = 4096


class Priority(enum.IntEnum):
    """Priority classes of requests; lower values start first."""

    ONLINE = 0
    BATCH = 1


@attrs.define(eq=False)
class Ticket:
    """
    A request in admission; deadline and queued_at are monotonic seconds.

    Requests with the same `group` need the same capacity.
    """

    request_id: str
    tenant: str
    deadline: float
    group: str = ""
    priority: Priority = Priority.ONLINE
    cost: float = 1.0
    running: bool = False
    queued_at: float = 0.0


@attrs.define(eq=False)
class _Flow:
    """Waiting tickets of a tenant in one priority class of a service."""

    tickets: deque = attrs.field(factory=deque)
    next_start: float = 0.0


@attrs.define(eq=False)
class _PriorityQueue:
    """Fair queue of one priority class with its virtual time."""

    flows_by_tenant: dict = attrs.field(factory=dict)
    # Flows with waiting tickets by tenant; idle tenants are not iterated.
    waiting_flows: dict = attrs.field(factory=dict)
    virtual_time: float = 0.0
    waiting: int = 0


@attrs.define(eq=False)
class _Tenant:
    running: int = 0
    bucket: RateBucket = attrs.field(factory=RateBucket)


class Admission:
    """Admission of one service on one host."""

    def __init__(self, max_queue=256):
        self.max_queue = max_queue
        self._limits_by_tenant = {}
        self._tenants = {}
        self._queues = {priority: _PriorityQueue() for priority in Priority}
        self._start_interval_s = 0.0
        self._last_start = 0.0

    def configure(self, max_queue, limits_by_tenant):
        """Apply new limits; tickets that are already waiting stay."""
        self.max_queue = max_queue
        self._limits_by_tenant = limits_by_tenant

    def waiting(self, priority=Priority.ONLINE):
        """Return the number of waiting tickets of a priority class."""
        return self._queues[priority].waiting

    def running(self, tenant):
        """Return the number of running tickets of a tenant."""
        state = self._tenants.get(tenant)
        return state.running if state else 0

    def offer(self, ticket, now):
        """
        Queue a ticket and return the ticket it displaces, if any.

        Raise Refused if the ticket exceeds a limit or cannot start before its
        deadline. When the queue is full, the newest ticket of the tenant with
        the most waiting tickets relative to its share is displaced, and the
        caller must refuse it.
        """
        if now >= ticket.deadline:
            raise self._refusal("deadline has passed", "deadline_exceeded", 0.0)
        queue = self._queues[ticket.priority]
        wait_s = self.expected_wait_s(ticket)
        if now + wait_s >= ticket.deadline:
            raise self._refusal(
                f"expected wait of {wait_s:.2f} s exceeds the deadline",
                "deadline_unreachable",
                wait_s,
            )
        displaced = None
        if queue.waiting >= self.max_queue:
            displaced = self._select_displaced(queue, ticket)
        self._charge_rate(ticket.tenant, now)
        if displaced is not None:
            self.withdraw(displaced)
        flow = queue.flows_by_tenant.get(ticket.tenant)
        if flow is None:
            flow = queue.flows_by_tenant[ticket.tenant] = _Flow()
        if not flow.tickets:
            flow.next_start = max(flow.next_start, queue.virtual_time)
            queue.waiting_flows[ticket.tenant] = flow
        ticket.queued_at = now
        flow.tickets.append(ticket)
        queue.waiting += 1
        return displaced

    def start_next(self, now, find_capacity):
        """
        Start the next ticket; return it and the result of `find_capacity`.

        `find_capacity(ticket)` returns a true value if there is capacity for
        the ticket. A group without capacity is not tried again in this call,
        so batch never overtakes online requests of its group. Return None if
        no ticket can start.
        """
        blocked = set()
        for priority in Priority:
            queue = self._queues[priority]
            order = sorted(
                queue.waiting_flows.items(),
                key=lambda item: (item[1].next_start, item[0]),
            )
            for tenant, flow in order:
                if not self._is_below_concurrency_limit(tenant):
                    continue
                for ticket in flow.tickets:
                    if ticket.group in blocked or now >= ticket.deadline:
                        continue
                    capacity = find_capacity(ticket)
                    if capacity:
                        self._start(queue, flow, ticket, now)
                        return ticket, capacity
                    blocked.add(ticket.group)
        return None

    def withdraw(self, ticket):
        """Remove a waiting ticket; return False if it is not waiting."""
        queue = self._queues[ticket.priority]
        flow = queue.waiting_flows.get(ticket.tenant)
        if flow is None or ticket not in flow.tickets:
            return False
        self._dequeue(queue, flow, ticket)
        self._drop_idle_flows(queue)
        return True

    def finish(self, ticket):
        """Record the end of a ticket, if it is running."""
        if ticket.running:
            ticket.running = False
            self._tenants[ticket.tenant].running -= 1

    def expire(self, now):
        """Remove and return the waiting tickets whose deadline has passed."""
        return self._remove(lambda ticket: now >= ticket.deadline)

    def clear(self):
        """Remove and return all waiting tickets."""
        return self._remove(lambda ticket: True)

    def expected_wait_s(self, ticket):
        """Return the expected wait in seconds if a ticket is offered now."""
        queue = self._queues[ticket.priority]
        if not queue.waiting:
            return 0.0
        share = self._share(ticket.tenant)
        flow = queue.waiting_flows.get(ticket.tenant)
        rounds = ((len(flow.tickets) if flow else 0) + 1) / share
        ahead = sum(
            min(len(other.tickets), rounds * self._share(tenant))
            for tenant, other in queue.waiting_flows.items()
        )
        return ahead * self._start_interval_s

    def refusal_for(self, ticket, code="overloaded", http_status=503):
        """Return the Refused error for a ticket that is dropped unstarted."""
        wait_s = self.expected_wait_s(ticket)
        return self._refusal("request was not started", code, wait_s, http_status)

    def _remove(self, condition):
        removed = []
        for queue in self._queues.values():
            for flow in list(queue.waiting_flows.values()):
                matching = [ticket for ticket in flow.tickets if condition(ticket)]
                for ticket in matching:
                    self._dequeue(queue, flow, ticket)
                removed += matching
            self._drop_idle_flows(queue)
        return removed

    @staticmethod
    def _dequeue(queue, flow, ticket):
        flow.tickets.remove(ticket)
        queue.waiting -= 1
        if not flow.tickets:
            del queue.waiting_flows[ticket.tenant]

    def _limits(self, tenant):
        return self._limits_by_tenant.get(tenant) or DEFAULT_LIMITS

    def _share(self, tenant):
        return self._limits(tenant).share

    def _is_below_concurrency_limit(self, tenant):
        limit = self._limits(tenant).max_concurrency
        return not limit or self.running(tenant) < limit

    def _start(self, queue, flow, ticket, now):
        self._dequeue(queue, flow, ticket)
        queue.virtual_time = max(queue.virtual_time, flow.next_start)
        flow.next_start += ticket.cost / self._share(ticket.tenant)
        state = self._tenants.setdefault(ticket.tenant, _Tenant())
        state.running += 1
        ticket.running = True
        # A ticket that starts without waiting counts as 0, so that the average
        # falls after an outage even if no tickets are waiting.
        sample = now - max(self._last_start, ticket.queued_at)
        self._start_interval_s += START_INTERVAL_WEIGHT * (
            sample - self._start_interval_s
        )
        self._last_start = now

    def _select_displaced(self, queue, ticket):
        def queued_per_share(item):
            tenant, flow = item
            return len(flow.tickets) / self._share(tenant)

        tenant, flow = max(queue.waiting_flows.items(), key=queued_per_share)
        own = queue.waiting_flows.get(ticket.tenant)
        own_queued = (len(own.tickets) if own else 0) + 1
        if tenant == ticket.tenant or (
            own_queued / self._share(ticket.tenant)
            > queued_per_share((tenant, flow)) - 1e-9
        ):
            raise self._refusal(
                "queue is full", "queue_full", self.expected_wait_s(ticket)
            )
        return flow.tickets[-1]

    def _charge_rate(self, tenant, now):
        rate = self._limits(tenant).requests_per_s
        if not rate:
            return
        state = self._tenants.setdefault(tenant, _Tenant())
        missing_s = state.bucket.take(rate, now)
        if missing_s:
            message = f"tenant {tenant!r} exceeds {rate:g} requests/s"
            raise self._refusal(message, "rate_limited", missing_s, 429)

    def _drop_idle_flows(self, queue):
        if len(queue.flows_by_tenant) <= MAX_IDLE_FLOWS:
            return
        for tenant, flow in list(queue.flows_by_tenant.items()):
            if not flow.tickets and flow.next_start <= queue.virtual_time:
                del queue.flows_by_tenant[tenant]

    def _refusal(self, message, code, wait_s, http_status=503):
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return Refused(
            message,
            code=code,
            http_status=http_status,
            retry_after_s=retry_after_s,
            step="admission",
        )
