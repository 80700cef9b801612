"""Requests slots for the items of this host and assigns them to items."""

import collections

import attrs

from galenascale.gateway.jobs.item_order import RunLengthEstimates, start_order
from galenascale.gateway.servers import find_by_key
from galenascale.gateway.slots.tenant_shares import NO_TENANT, tenant_key

# Largest number of pending slot requests for each service. A granted slot goes
# to the item that is first in the queue at that moment.
MAX_SLOT_REQUESTS = 16
# Those of them for items that need less memory than all others: large items
# may wait long for a server's memory while its slots are free.
SMALL_ITEM_REQUESTS = 4


@attrs.define
class _ServiceQueue:
    """
    Waiting items of one service, and its pending slot requests.

    Items of all routes to the service wait together; what a route says is
    asked for each item.
    """

    waiting: list = attrs.field(factory=list)
    pending_requests: list = attrs.field(factory=list)


class ItemScheduler:
    """Requests slots from the owners of pools and starts items in them."""

    def __init__(self, context, on_start):
        self._context = context
        # Called with (item, server, lease).
        self._on_start = on_start
        self._queues_by_service = {}
        # Whether a server suits the items of this round that avoid none, by
        # service and expected version.
        self._suitable_by_version = {}
        self.estimates = RunLengthEstimates()

    def may_start(self, item, now):
        """
        Return True if an item is neither running nor backing off.

        `now` is a monotonic time in seconds.
        """
        return item.task is None and item.not_before <= now

    def suits_a_server(self, item, service, now):
        """
        Return True if a server of a service may run an item now.

        Slots are requested only for such items, so that others, however many
        and however early due, do not keep those behind them from free slots.
        """
        if item.avoids_any(now):
            return self._find_suitable(item, service, now)
        if item.expected_version is None:
            return True
        # Thousands of items may expect the same version.
        key = (service, item.expected_version)
        if key not in self._suitable_by_version:
            self._suitable_by_version[key] = self._find_suitable(item, service, now)
        return self._suitable_by_version[key]

    def _find_suitable(self, item, service, now):
        """Return True if an item may be sent to a server of a service."""
        return any(
            self._suits(item, server, now)
            for server in self._context.servers.usable(service, now)
        )

    def _suits(self, item, server, now):
        """Return True unless a server is of no use to an item now."""
        if item.avoids(server, now):
            return False
        versions = self._context.versions
        return not versions.excludes(server.incarnation, item.expected_version, now)

    def update(self, waiting_by_service):
        """
        Set the waiting items and adjust the slot requests to them.

        This ends the round in which `suits_a_server` was asked.
        """
        self._suitable_by_version.clear()
        for service in waiting_by_service:
            self._queues_by_service.setdefault(service, _ServiceQueue())
        for service, queue in self._queues_by_service.items():
            queue.waiting = sorted(
                waiting_by_service.get(service, ()), key=self._sort_key()
            )
            self._request_slots(service, queue)

    def _request_slots(self, service, queue):
        wanted = with_small_items(self._first_of_tenants(queue.waiting), queue.waiting)
        while len(queue.pending_requests) > len(wanted):
            self._context.slots.client.cancel(queue.pending_requests.pop())
        for pending, item in zip(queue.pending_requests, wanted, strict=False):
            pending.request.start_by = self._start_by(item)
            pending.request.tenant = self._tenant_key(item)
            pending.request.memory_tokens = item.memory_tokens
        for item in wanted[len(queue.pending_requests) :]:
            pending = self._context.slots.client.submit(
                service,
                lambda lease, queue=queue: self._on_slot_result(queue, lease),
                batch=True,
                start_by=self._start_by(item),
                tenant=self._tenant_key(item),
                memory_tokens=item.memory_tokens,
            )
            if pending is not None:
                queue.pending_requests.append(pending)

    def _first_of_tenants(self, waiting):
        """
        Return the MAX_SLOT_REQUESTS items for which slots are requested.

        If there are more, each tenant's first item comes before any tenant's
        second one, so that one with many items does not use all requests.
        """
        if len(waiting) <= MAX_SLOT_REQUESTS:
            return waiting
        rank_by_tenant = collections.Counter()
        ranked = []
        for item in waiting:
            rank_by_tenant[item.state.job.tenant] += 1
            ranked.append((rank_by_tenant[item.state.job.tenant], item))
        ranked.sort(key=lambda pair: pair[0])
        return [item for _, item in ranked[:MAX_SLOT_REQUESTS]]

    def _tenant_key(self, item):
        if self._context.configuration.tenants is None:
            return NO_TENANT
        return tenant_key(item.state.job.tenant)

    def cancel_all(self):
        """Cancel all slot requests."""
        for queue in self._queues_by_service.values():
            while queue.pending_requests:
                self._context.slots.client.cancel(queue.pending_requests.pop())

    def _start_by(self, item):
        """Return the latest monotonic time for a start that is in time."""
        clock = self._context.clock
        estimate = self.estimates.of_route(item.route.name)
        slack_ms = item.slack_ms(clock.wall_ms(), estimate)
        return clock.monotonic() + slack_ms / 1000

    def _on_slot_result(self, queue, lease):
        """Start the first item that may run in a granted slot."""
        client = self._context.slots.client
        queue.pending_requests = [
            pending for pending in queue.pending_requests if client.is_pending(pending)
        ]
        if lease is None:
            return
        now = self._context.clock.monotonic()
        entries = self._context.servers.usable(lease.pool.service, now)
        server = find_by_key(entries, lease.server_key)
        item = server and self._first_item(queue, server, lease, now)
        if item is None:
            client.release(lease)
            return
        lease.tenant = self._tenant_key(item)
        queue.waiting.remove(item)
        self._on_start(item, server, lease)

    def _first_item(self, queue, server, lease, now):
        """Return the first item that may run, of the tenant if it has one."""
        startable = [
            item
            for item in queue.waiting
            if self.may_start(item, now)
            and self._suits(item, server, now)
            and item.memory_tokens <= lease.memory_tokens
        ]
        of_tenant = (
            item for item in startable if self._tenant_key(item) == lease.tenant
        )
        return next(of_tenant, startable[0] if startable else None)

    def _sort_key(self):
        now_ms = self._context.clock.wall_ms()
        return lambda item: start_order(
            item, now_ms, self.estimates.of_route(item.route.name)
        )


def with_small_items(wanted, waiting):
    """
    Return the items to request slots for, small ones among them.

    `wanted` are the first of the `waiting` items, MAX_SLOT_REQUESTS at most.
    """
    if len(wanted) == len(waiting):
        return wanted
    least = min(item.memory_tokens for item in wanted)
    small = [item for item in waiting if item.memory_tokens < least]
    small = small[:SMALL_ITEM_REQUESTS]
    return wanted[: MAX_SLOT_REQUESTS - len(small)] + small
