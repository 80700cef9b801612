"""Admission of requests: bounded queues, fair shares, limits, early refusal.

Decision core without I/O; the caller passes the monotonic time. Tenants share
a service by start-time fair queueing: of the waiting tenants the one with the
smallest start tag is next, and its following tag lies `cost / share` later. A
tenant that floods therefore only lengthens its own queue.
"""

import enum
from collections import deque

import attrs

from galenascale.errors import Refused
from galenascale.rate_limit import DEFAULT_LIMITS, RateBucket

# Weight of the newest sample in the average time between two starts.
START_INTERVAL_WEIGHT = 0.1
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 30.0
# Idle tenants are forgotten beyond this number.
MAX_IDLE_TENANTS = 4096


class Priority(enum.IntEnum):
    """Classes of work; lower values go first."""

    ONLINE = 0
    BATCH = 1


@attrs.define(eq=False)
class Ticket:
    """One request in admission; `group` names what it needs capacity of."""

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
    """Waiting tickets of one tenant in one class of a service."""

    tickets: deque = attrs.field(factory=deque)
    next_start: float = 0.0


@attrs.define(eq=False)
class _Lane:
    """One class of a service with its virtual time."""

    flows_by_tenant: dict = attrs.field(factory=dict)
    # The flows with waiting tickets, so that idle tenants cost nothing.
    backlog: dict = attrs.field(factory=dict)
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
        self._lanes = {priority: _Lane() for priority in Priority}
        self._start_interval_s = 0.0
        self._last_start = 0.0

    def configure(self, max_queue, limits_by_tenant):
        """Put new limits in force; tickets that wait already stay."""
        self.max_queue = max_queue
        self._limits_by_tenant = limits_by_tenant

    def waiting(self, priority=Priority.ONLINE):
        """Return the number of tickets that wait in a class."""
        return self._lanes[priority].waiting

    def running(self, tenant):
        """Return the number of started and unfinished tickets of a tenant."""
        state = self._tenants.get(tenant)
        return state.running if state else 0

    def offer(self, ticket, now):
        """
        Queue a ticket and return the ticket it displaces, if any.

        Raise Refused when the ticket exceeds a limit or cannot start before
        its deadline. The displaced ticket must be refused by the caller: it is
        the newest of the tenant that holds the most of a full queue for its
        share.
        """
        if now >= ticket.deadline:
            raise self._refusal("deadline has passed", "deadline_exceeded", 0.0)
        lane = self._lanes[ticket.priority]
        wait_s = self.expected_wait_s(ticket)
        if now + wait_s >= ticket.deadline:
            raise self._refusal(
                f"expected wait of {wait_s:.2f} s exceeds the deadline",
                "deadline_unreachable",
                wait_s,
            )
        displaced = None
        if lane.waiting >= self.max_queue:
            displaced = self._displaceable(lane, ticket)
        self._charge_rate(ticket.tenant, now)
        if displaced is not None:
            self.withdraw(displaced)
        flow = lane.flows_by_tenant.get(ticket.tenant)
        if flow is None:
            flow = lane.flows_by_tenant[ticket.tenant] = _Flow()
        if not flow.tickets:
            flow.next_start = max(flow.next_start, lane.virtual_time)
            lane.backlog[ticket.tenant] = flow
        ticket.queued_at = now
        flow.tickets.append(ticket)
        lane.waiting += 1
        return displaced

    def take(self, now, fits):
        """
        Start the next ticket and return (ticket, what `fits` returned).

        `fits(ticket)` returns a true value when there is capacity for it. A
        group without capacity is not asked for twice, so batch never passes
        online requests of its group. Return None when nothing can start.
        """
        blocked = set()
        for priority in Priority:
            lane = self._lanes[priority]
            order = sorted(
                lane.backlog.items(), key=lambda item: (item[1].next_start, item[0])
            )
            for tenant, flow in order:
                if not self._below_concurrency(tenant):
                    continue
                for ticket in flow.tickets:
                    if ticket.group in blocked or now >= ticket.deadline:
                        continue
                    fit = fits(ticket)
                    if fit:
                        self._start(lane, flow, ticket, now)
                        return ticket, fit
                    blocked.add(ticket.group)
        return None

    def withdraw(self, ticket):
        """Remove a waiting ticket; return False when it does not wait."""
        lane = self._lanes[ticket.priority]
        flow = lane.backlog.get(ticket.tenant)
        if flow is None or ticket not in flow.tickets:
            return False
        self._unqueue(lane, flow, ticket)
        self._forget_idle(lane)
        return True

    def finish(self, ticket):
        """Return the capacity of a started ticket."""
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
        """Return the expected wait in seconds of a ticket offered now."""
        lane = self._lanes[ticket.priority]
        if not lane.waiting:
            return 0.0
        share = self._share(ticket.tenant)
        flow = lane.backlog.get(ticket.tenant)
        rounds = ((len(flow.tickets) if flow else 0) + 1) / share
        ahead = sum(
            min(len(other.tickets), rounds * self._share(tenant))
            for tenant, other in lane.backlog.items()
        )
        return ahead * self._start_interval_s

    def refusal_for(self, ticket, code="overloaded", http_status=503):
        """Return the refusal of a ticket that was given up on in the queue."""
        wait_s = self.expected_wait_s(ticket)
        return self._refusal("request was not started", code, wait_s, http_status)

    def _remove(self, condition):
        removed = []
        for lane in self._lanes.values():
            for flow in list(lane.backlog.values()):
                gone = [ticket for ticket in flow.tickets if condition(ticket)]
                for ticket in gone:
                    self._unqueue(lane, flow, ticket)
                removed += gone
            self._forget_idle(lane)
        return removed

    @staticmethod
    def _unqueue(lane, flow, ticket):
        flow.tickets.remove(ticket)
        lane.waiting -= 1
        if not flow.tickets:
            del lane.backlog[ticket.tenant]

    def _limits(self, tenant):
        return self._limits_by_tenant.get(tenant) or DEFAULT_LIMITS

    def _share(self, tenant):
        return self._limits(tenant).share

    def _below_concurrency(self, tenant):
        limit = self._limits(tenant).max_concurrency
        return not limit or self.running(tenant) < limit

    def _start(self, lane, flow, ticket, now):
        self._unqueue(lane, flow, ticket)
        lane.virtual_time = max(lane.virtual_time, flow.next_start)
        flow.next_start += ticket.cost / self._share(ticket.tenant)
        state = self._tenants.setdefault(ticket.tenant, _Tenant())
        state.running += 1
        ticket.running = True
        # A ticket that did not have to wait counts as 0, so that the average
        # falls again after an outage even if nothing waits any more.
        sample = now - max(self._last_start, ticket.queued_at)
        self._start_interval_s += START_INTERVAL_WEIGHT * (
            sample - self._start_interval_s
        )
        self._last_start = now

    def _displaceable(self, lane, ticket):
        def excess(item):
            tenant, flow = item
            return len(flow.tickets) / self._share(tenant)

        tenant, flow = max(lane.backlog.items(), key=excess)
        own = lane.backlog.get(ticket.tenant)
        own_count = (len(own.tickets) if own else 0) + 1
        if tenant == ticket.tenant or (
            own_count / self._share(ticket.tenant) > excess((tenant, flow)) - 1e-9
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

    def _forget_idle(self, lane):
        if len(lane.flows_by_tenant) <= MAX_IDLE_TENANTS:
            return
        for tenant, flow in list(lane.flows_by_tenant.items()):
            if not flow.tickets and flow.next_start <= lane.virtual_time:
                del lane.flows_by_tenant[tenant]

    def _refusal(self, message, code, wait_s, http_status=503):
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return Refused(
            message,
            code=code,
            http_status=http_status,
            retry_after_s=retry_after_s,
            step="admission",
        )
