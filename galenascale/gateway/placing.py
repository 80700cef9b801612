"""Where an online request is sent: to a granted slot or by the own choice."""

import contextlib

import attrs

from galenascale.errors import BackendError
from galenascale.gateway.configuration import RequestKind
from galenascale.gateway.load import hash_key
from galenascale.gateway.servers import find_by_key
from galenascale.generated.gateway_messages import SlotOutcome

# Share of a caller's patience for which a request waits for a slot; after it
# the request queues at a server, so that it is not given up unserved.
MAX_WAIT_SHARE = 0.5


@attrs.define
class Placed:
    """A server for one send, and the slot that is held there."""

    candidate: object
    # Monotonic time in seconds.
    placed_at: float
    # None if no owner counts the run.
    lease: object = None
    # An owner granted it.
    granted: bool = False
    # Seconds that the request waited for the slot.
    waited_s: float = 0.0
    # Monotonic time in seconds of the first event or of the head.
    answered_at: float | None = None
    # How the run ended, for the owner of the slot.
    outcome: SlotOutcome = SlotOutcome.UNUSED

    @property
    def first_event_s(self):
        """Return the seconds to the first event; None before it."""
        if self.answered_at is None:
            return None
        return round(self.answered_at - self.placed_at, 4)

    @property
    def server(self):
        """Return the entry of the server."""
        return self.candidate.server


class Placer:
    """Finds servers for the sends of online requests."""

    def __init__(self, parts, dispatcher):
        self._parts = parts
        self._dispatcher = dispatcher

    async def place(self, route, plan, services, content_key):
        """
        Return the Placed for the next send, or None if there is no server.

        Raise SlotRefused if the request should come back later.
        """
        if route.kind is RequestKind.STREAMING:
            for service in services:
                placed = await self._ask(service, plan, content_key)
                if placed is not None:
                    return placed
        candidate = self._dispatcher.pick(plan, services)
        if candidate is None:
            return None
        lease = None
        if route.kind is RequestKind.STREAMING:
            start_by = self._parts.admission.start_by(plan, candidate.server.service)
            lease = self._parts.slots.client.lease_without_grant(
                candidate.server, start_by
            )
            self._parts.metrics.slots.labels("own_choice").inc()
        return Placed(candidate, self._parts.clock.monotonic(), lease)

    async def _ask(self, service, plan, content_key):
        """Return a Placed with a granted slot, or None."""
        parts = self._parts
        now = parts.clock.monotonic()
        entries = parts.servers.usable(service, now)
        if all(plan.excludes(entry.incarnation) for entry in entries):
            # Those that refused it are asked again after a pause.
            return None
        admission = parts.admission
        lease = await parts.slots.client.acquire(
            service,
            now + plan.remaining_s(now) * MAX_WAIT_SHARE,
            start_by=admission.start_by(plan, service),
            avoid=self._unwanted(entries, plan),
            returned=admission.is_returned(content_key, now),
            refusable=admission.may_refuse(plan, now),
        )
        if lease is None:
            return None
        after = parts.clock.monotonic()
        entry = find_by_key(parts.servers.usable(service, after), lease.server_key)
        if entry is None or plan.excludes(entry.incarnation):
            parts.slots.client.release(lease, SlotOutcome.UNUSED)
            return None
        parts.metrics.slots.labels("granted").inc()
        candidate = self._dispatcher.candidate(entry, after)
        return Placed(candidate, after, lease, granted=True, waited_s=after - now)

    def _unwanted(self, entries, plan):
        """Return the keys of the servers that must not be granted."""
        health = self._parts.health
        return frozenset(
            hash_key(entry.server_id)
            for entry in entries
            if plan.excludes(entry.incarnation) or health.is_paused(entry.incarnation)
        )

    @contextlib.contextmanager
    def held(self, placed):
        """Hold the slot of a Placed during a send, and release it."""
        try:
            yield
        except BackendError as error:
            unreachable = error.step == "connect" and error.code != "server_left"
            placed.outcome = (
                SlotOutcome.UNREACHABLE if unreachable else SlotOutcome.FAILED
            )
            raise
        finally:
            if placed.lease is not None:
                self._parts.slots.client.release(placed.lease, placed.outcome)
