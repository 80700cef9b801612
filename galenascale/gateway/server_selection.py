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
MAX_WAIT_FRACTION = 0.5


@attrs.define
class SelectedServer:
    """A server for one send, and the slot that is held there."""

    candidate: object
    # Monotonic time in seconds.
    selected_at: float
    # None if no owner counts the run.
    lease: object = None
    # An owner granted it.
    granted: bool = False
    # Seconds that the request waited for the slot.
    waited_s: float = 0.0
    # Monotonic time in seconds of the first event or of the head.
    first_event_at: float | None = None
    # How the run ended, for the owner of the slot.
    outcome: SlotOutcome = SlotOutcome.UNUSED

    @property
    def first_event_s(self):
        """Return the seconds to the first event; None before it."""
        if self.first_event_at is None:
            return None
        return round(self.first_event_at - self.selected_at, 4)

    @property
    def server(self):
        """Return the entry of the server."""
        return self.candidate.server


class ServerSelector:
    """Finds servers for the sends of online requests."""

    def __init__(self, parts, dispatcher):
        self._parts = parts
        self._dispatcher = dispatcher

    async def select(self, route, plan, services, content_key):
        """
        Return the SelectedServer for the next attempt, or None without one.

        Raise SlotRefused if the request should come back later.
        """
        if route.kind is RequestKind.STREAMING:
            for service in services:
                selected = await self._acquire_slot(service, plan, content_key)
                if selected is not None:
                    return selected
        candidate = self._dispatcher.choose_server(plan, services)
        if candidate is None:
            return None
        lease = None
        if route.kind is RequestKind.STREAMING:
            start_by = self._parts.admission.start_by(plan, candidate.server.service)
            lease = self._parts.slots.client.take(candidate.server, start_by)
            self._parts.metrics.slots.labels("own_choice").inc()
        return SelectedServer(candidate, self._parts.clock.monotonic(), lease)

    async def _acquire_slot(self, service, plan, content_key):
        """Return a SelectedServer with a granted slot, or None."""
        parts = self._parts
        now = parts.clock.monotonic()
        entries = parts.servers.usable(service, now)
        if all(plan.excludes(entry.incarnation) for entry in entries):
            # Those that refused it are asked again after a pause.
            return None
        admission = parts.admission
        lease = await parts.slots.client.acquire(
            service,
            now + plan.remaining_s(now) * MAX_WAIT_FRACTION,
            start_by=admission.start_by(plan, service),
            avoid=self._excluded_server_keys(entries, plan),
            returned=admission.was_refused(content_key, now),
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
        candidate = self._dispatcher.make_candidate(entry, after)
        return SelectedServer(
            candidate, after, lease, granted=True, waited_s=after - now
        )

    def _excluded_server_keys(self, entries, plan):
        """Return the keys of the servers that must not be granted."""
        health = self._parts.health
        return frozenset(
            hash_key(entry.server_id)
            for entry in entries
            if plan.excludes(entry.incarnation)
            or health.is_unreachable(entry.incarnation)
        )

    @contextlib.contextmanager
    def hold_slot(self, selected):
        """Hold the slot of a SelectedServer during a send, and release it."""
        try:
            yield
        except BackendError as error:
            unreachable = error.step == "connect" and error.code != "server_left"
            selected.outcome = (
                SlotOutcome.UNREACHABLE if unreachable else SlotOutcome.FAILED
            )
            raise
        finally:
            if selected.lease is not None:
                self._parts.slots.client.release(selected.lease, selected.outcome)
