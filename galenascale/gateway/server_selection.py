"""Selects the backend server for each attempt of an online request.

A streaming request first asks the hosts that own the slot pools for a slot. If
none is granted in time, and for all other requests, this host chooses a server
itself.
"""

import contextlib

import attrs

from galenascale.errors import BackendError
from galenascale.gateway.answer_meaning import Meaning, refusal_outcome
from galenascale.gateway.configuration import RequestKind
from galenascale.gateway.load import hash_key
from galenascale.gateway.servers import find_by_key
from galenascale.gateway.slots.tenant_shares import tenant_key
from galenascale.generated.gateway_messages import SlotOutcome

# Fraction of the remaining time for which a request waits for a slot. After
# that it is queued at a server, so that it does not time out without being
# served.
MAX_WAIT_FRACTION = 0.5
# Owners that are asked about servers with limits: the regular one and, if it
# is silent, a substitute.
MAX_OWNERS = 2


@attrs.define
class SelectedServer:
    """The server selected for one attempt, with the slot held on it."""

    candidate: object
    # Monotonic time in seconds.
    selected_at: float
    # None for plain requests, whose slots no owner counts.
    lease: object = None
    # Whether the slot was granted by the owner of its pool.
    granted: bool = False
    # Seconds spent waiting for the slot.
    waited_s: float = 0.0
    # Monotonic time in seconds of the first event.
    first_event_at: float | None = None
    # Outcome that is reported to the owner of the slot.
    outcome: SlotOutcome = SlotOutcome.UNUSED

    @property
    def first_event_s(self):
        """Return the seconds until the first event; None before it."""
        if self.first_event_at is None:
            return None
        return round(self.first_event_at - self.selected_at, 4)

    @property
    def server(self):
        """Return the server list entry."""
        return self.candidate.server


class ServerSelector:
    """Selects servers for the attempts of online requests."""

    def __init__(self, context, dispatcher):
        self._context = context
        self._dispatcher = dispatcher

    async def select(self, route, plan, services, content_key, **fields):
        """
        Return the SelectedServer for the next attempt.

        Return None if no server may be tried now. `fields` are those of
        `slot_fields`.

        Raise SlotRefused if the caller should retry later.
        """
        for service in services:
            limited = self._has_limited_server(service, plan)
            if route.kind is RequestKind.STREAMING or limited:
                selected = await self._acquire_slot(
                    service, plan, content_key, fields, limited
                )
                if selected is not None:
                    return selected
        candidate = self._dispatcher.choose_server(plan, services)
        if candidate is None:
            return None
        lease = None
        if route.kind is RequestKind.STREAMING:
            start_by = self._context.admission.start_by(plan, candidate.server.service)
            lease = self._context.slots.client.lease_without_grant(
                candidate.server,
                start_by,
                fields["tenant"],
                fields["memory_tokens"],
            )
            self._context.metrics.slots.labels("own_choice").inc()
        return SelectedServer(candidate, self._context.clock.monotonic(), lease)

    def leave_out_other_weights(self, plan, services, expected):
        """
        Leave servers out that have other weights than a request expects.

        `expected` is the version, or None for any. Raise RequestFailed if all
        servers have others.
        """
        if expected is None:
            return
        context = self._context
        now = context.clock.monotonic()
        waits_by_incarnation = {
            entry.incarnation: context.versions.retry_after_s(
                entry.incarnation, expected, now
            )
            for service in services
            for entry in context.servers.usable(service, now)
        }
        plan.other_weights = frozenset(
            incarnation for incarnation, wait in waits_by_incarnation.items() if wait
        )
        if waits_by_incarnation and all(waits_by_incarnation.values()):
            raise plan.make_version_error(min(waits_by_incarnation.values()))

    def _has_limited_server(self, service, plan):
        """Return True if a server that may be tried has named a limit."""
        limits = self._context.limits
        if not limits:
            return False
        now = self._context.clock.monotonic()
        return any(
            limits.rate_of(entry) is not None and not plan.excludes(entry.incarnation)
            for entry in self._context.servers.usable(service, now)
        )

    async def _acquire_slot(self, service, plan, content_key, fields, limited):
        """
        Return a SelectedServer with a granted slot, or None.

        `limited` says that servers named limits; this host cannot choose them.
        """
        context = self._context
        now = context.clock.monotonic()
        entries = context.servers.usable(service, now)
        if all(plan.excludes(entry.incarnation) for entry in entries):
            # Servers that refused the request are retried after a backoff.
            return None
        admission = context.admission
        give_up_at = now + plan.remaining_s(now) * MAX_WAIT_FRACTION
        lease = None
        for _ in range(MAX_OWNERS if limited else 1):
            lease = await context.slots.client.acquire(
                service,
                give_up_at,
                start_by=admission.start_by(plan, service),
                avoid=self._excluded_server_keys(entries, plan),
                returned=admission.was_refused(content_key, now),
                refusable=not plan.runs if limited else admission.may_refuse(plan, now),
                **fields,
            )
            if lease is not None or context.clock.monotonic() >= give_up_at:
                break
        if lease is None:
            return None
        after = context.clock.monotonic()
        entry = find_by_key(context.servers.usable(service, after), lease.server_key)
        if entry is None or plan.excludes(entry.incarnation):
            context.slots.client.release(lease, SlotOutcome.UNUSED)
            return None
        context.metrics.slots.labels("granted").inc()
        candidate = self._dispatcher.make_candidate(entry, after)
        return SelectedServer(
            candidate, after, lease, granted=True, waited_s=after - now
        )

    def _excluded_server_keys(self, entries, plan):
        """Return the keys of the servers whose slots must not be granted."""
        health = self._context.health
        return frozenset(
            hash_key(entry.server_id)
            for entry in entries
            if plan.excludes(entry.incarnation)
            or health.is_unreachable(entry.incarnation)
        )

    @contextlib.contextmanager
    def hold_slot(self, selected):
        """Hold the slot during an attempt and release it with the outcome."""
        try:
            yield
        except BackendError as error:
            selected.outcome = _failure_outcome(error)
            raise
        finally:
            if selected.lease is not None:
                self._context.slots.client.release(selected.lease, selected.outcome)


def _failure_outcome(error):
    if error.code == "server_limited":
        return SlotOutcome.UNUSED
    if error.step == "connect" and error.code != "server_left":
        return SlotOutcome.UNREACHABLE
    return SlotOutcome.FAILED


def service_order(route, rng):
    """Return the services of a route, a weighted random one first."""
    splits = [split for split in route.splits if split.weight > 0]
    if len(splits) < 2:
        return [split.service for split in splits]
    drawn = rng.choices(splits, [split.weight for split in splits])[0]
    others = [split.service for split in splits if split is not drawn]
    return [drawn.service, *others]


def slot_fields(request, *, resumes):
    """
    Return the fields of a SlotRequest that tell of a request.

    `resumes` says that the run goes on after events of an earlier one.
    """
    return {
        "tenant": tenant_key(request.tenant),
        # It generates only the rest.
        "tokens": 0 if resumes else request.max_output_tokens,
        "memory_tokens": request.memory_tokens,
    }


def slot_outcome(meaning, response, served):
    """
    Return what a response tells the owner of the slot about the server.

    `meaning` is the Meaning of its head. `response` is None for a streamed
    one; `served` is False for one that another server may replace.
    """
    if response is None:
        return SlotOutcome.SERVED
    if meaning is not Meaning.RAN:
        return refusal_outcome(meaning)
    if response.head.status >= 500:
        return SlotOutcome.FAILED
    return SlotOutcome.SERVED if served else SlotOutcome.REFUSED
