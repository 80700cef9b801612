"""Slots for the items of this host, and which of them get those."""

import attrs

from galenascale.gateway.jobs.pacing import RunEstimate, start_order
from galenascale.gateway.servers import find_by_key

# Slots that are asked for at a time, for each service. A granted slot is given
# to the first item at that moment.
MAX_ASKS = 16


@attrs.define
class _ServiceAsks:
    """What is asked for the items of one service."""

    route: object
    waiting: list = attrs.field(factory=list)
    claims: list = attrs.field(factory=list)


class ItemScheduler:
    """Asks the owners of pools for slots and hands these to items."""

    def __init__(self, parts, on_start):
        self._parts = parts
        # Called with (item, server, route, lease).
        self._on_start = on_start
        self._asks_by_service = {}
        self.estimate = RunEstimate()

    def may_start(self, item, now):
        """Return True if an item waits and its content is not dangerous."""
        if item.task is not None or item.not_before > now:
            return False
        key = item.content_key
        return key is None or not self._parts.crashes.is_dangerous(key, now)

    def update(self, waiting_by_service, routes_by_service):
        """Ask for as many slots as items wait, the most urgent ones first."""
        for service, route in routes_by_service.items():
            asks = self._asks_by_service.setdefault(service, _ServiceAsks(route))
            asks.route = route
        for service, asks in self._asks_by_service.items():
            asks.waiting = sorted(
                waiting_by_service.get(service, ()), key=self._start_order()
            )
            self._ask(service, asks)

    def _ask(self, service, asks):
        wanted = asks.waiting[:MAX_ASKS]
        while len(asks.claims) > len(wanted):
            self._parts.slots.client.cancel(asks.claims.pop())
        for claim, item in zip(asks.claims, wanted, strict=False):
            claim.request.start_by = self._start_by(item)
        for item in wanted[len(asks.claims) :]:
            claim = self._parts.slots.client.submit(
                service,
                lambda lease, asks=asks: self._on_end(asks, lease),
                batch=True,
                start_by=self._start_by(item),
            )
            if claim is not None:
                asks.claims.append(claim)

    def cancel(self):
        """Ask for nothing more."""
        for asks in self._asks_by_service.values():
            while asks.claims:
                self._parts.slots.client.cancel(asks.claims.pop())

    def _start_by(self, item):
        """Return the monotonic time until which a start is in time."""
        clock = self._parts.clock
        slack_ms = item.slack_ms(clock.wall_ms(), self.estimate)
        return clock.monotonic() + slack_ms / 1000

    def _on_end(self, asks, lease):
        client = self._parts.slots.client
        asks.claims = [claim for claim in asks.claims if client.is_pending(claim)]
        if lease is None:
            return
        now = self._parts.clock.monotonic()
        entries = self._parts.servers.usable(lease.pool.service, now)
        server = find_by_key(entries, lease.server_key)
        item = server and self._first_item(asks, server, now)
        if item is None:
            client.release(lease)
            return
        asks.waiting.remove(item)
        self._on_start(item, server, asks.route, lease)

    def _first_item(self, asks, server, now):
        for item in asks.waiting:
            if self.may_start(item, now) and not item.avoids(server, now):
                return item
        return None

    def _start_order(self):
        now_ms = self._parts.clock.wall_ms()
        return lambda item: start_order(item, now_ms, self.estimate)
