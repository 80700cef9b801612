"""Requests to the owners of pools for the slots that this host needs."""

import asyncio
import itertools

from galenascale.gateway.load import hash_key
from galenascale.gateway.slots.acquisition import SlotAcquisition
from galenascale.gateway.slots.leases import (
    PACED_GRANT_TTL_S,
    RENEWAL_INTERVAL_S,
    Lease,
    PendingRequest,
    SlotRefused,
)
from galenascale.gateway.slots.messages import make_ask, make_ended, make_hold
from galenascale.gateway.slots.wait_queue import SlotRequest
from galenascale.generated.gateway_messages import SlotMessageKind, SlotOutcome

# Number of renewal intervals without a message from the owner after which a
# pending request is given up.
MAX_MISSED_RENEWALS = 3.0
# Seconds without a confirmation after which the owner of a held slot counts as
# failed; shorter than the lease (`LEASE_S`), so that the next owner learns of
# the slot before the lease expires.
HOLD_TIMEOUT_S = 1.0


class SlotClient:
    """Requests slots from the owners of pools, renews and releases them."""

    def __init__(self, context, pool_map, send, started_ms):
        self._context = context
        self._pool_map = pool_map
        self._send = send
        # Unique among the runs of this host, across restarts too.
        self._numbers = itertools.count(started_ms << 16)
        self._pending_by_number = {}
        self._leases_by_number = {}
        self._leases_renewed_at = float("-inf")
        # (owner, pool, message) for runs that ended since the last tick, to be
        # sent twice: a slot whose end is lost is idle until its lease expires.
        self._end_messages = []
        self._handlers_by_kind = {
            SlotMessageKind.GRANT: self._on_grant,
            SlotMessageKind.QUEUED: self._on_queued,
            SlotMessageKind.REFUSED: self._on_refused,
            SlotMessageKind.UNKNOWN_POOL: self._on_unknown_pool,
            SlotMessageKind.MAKE_ROOM: self._on_make_room,
        }

    def _now(self):
        return self._context.clock.monotonic()

    def _owner(self, pool):
        return self._pool_map.owner(pool, self._now())

    def _notify(self, owner, pool, message):
        """Send a message about a pool to the host that owns it."""
        message.stand_in = self._pool_map.is_substitute(pool, owner, self._now())
        self._send(owner, message)

    async def acquire(self, service, give_up_at, **fields):
        """
        Return the Lease of a slot for an online request, or None.

        Wait for the slot until the monotonic time `give_up_at`, in seconds.
        None means that this time has passed or that no owner decides. `fields`
        are those of the SlotRequest. Raise SlotRefused if the request is
        `refusable` and would start too late, or if the limits of all servers
        let it start only after `give_up_at`.
        """
        if self._context.limits:
            fields["give_up_at"] = give_up_at
        until = asyncio.get_running_loop().time() + give_up_at - self._now()
        return await SlotAcquisition(self).run(service, until, **fields)

    def submit(self, service, on_result, **fields):
        """
        Request a slot without waiting for it; return the PendingRequest.

        Return None if the service has no pool. `on_result` is called with the
        Lease, with a SlotRefused, or with None if no owner decides.
        """
        now = self._now()
        pool = self._pool_map.preferred_pool(service, self._context.rng)
        if pool is None:
            return None
        request = SlotRequest(host="", number=next(self._numbers), **fields)
        pending = PendingRequest(request, pool, self._owner(pool), now, now, on_result)
        self._pending_by_number[request.number] = pending
        self.repeat(pending)
        return pending

    def repeat(self, pending):
        """Send a pending request, again if its message may be lost."""
        now = self._now()
        pending.sent_at = now
        self._notify(
            pending.owner, pending.pool, make_ask(pending.pool, pending.request, now)
        )

    def is_pending(self, pending):
        """Return True until a request is granted, refused or cancelled."""
        return pending.request.number in self._pending_by_number

    def cancel(self, pending):
        """Withdraw a request that is still pending."""
        number = pending.request.number
        if self._pending_by_number.pop(number, None) is not None:
            self._notify(pending.owner, pending.pool, make_ended(pending.pool, number))

    def suspect_owner(self, owner, reason):
        """Use the next host as owner, and renew the held slots there."""
        now = self._now()
        self._pool_map.suspect(owner, now)
        for lease in self._leases_by_number.values():
            if lease.owner == owner:
                lease.owner = None
                self._renew_lease(lease, now)
        self._context.log.write("slot_owner_silent", owner=owner, reason=reason)
        self._context.metrics.slots.labels("silent").inc()

    def lease_without_grant(self, entry, start_by, tenant, memory_tokens):
        """Return a Lease for a server chosen without its owner, or None."""
        pool = self._pool_map.pool_of_server(entry)
        if pool is None:
            return None
        number = next(self._numbers)
        key = hash_key(entry.server_id)
        now = self._now()
        lease = Lease(number, pool, key, False, start_by, now, tenant, memory_tokens)
        self._leases_by_number[number] = lease
        self._renew_lease(lease, now)
        return lease

    def release(self, lease, outcome=SlotOutcome.SERVED):
        """Return a slot to its owner with the SlotOutcome of its run."""
        if self._leases_by_number.pop(lease.number, None) is not None:
            owner = lease.owner or self._owner(lease.pool)
            message = make_ended(lease.pool, lease.number, lease.server_key, outcome)
            self._notify(owner, lease.pool, message)
            second_message = make_ended(lease.pool, lease.number)
            self._end_messages.append((owner, lease.pool, second_message))

    def receive(self, message, address, now):
        """Handle a message from an owner; ignore those for owners."""
        handler = self._handlers_by_kind.get(message.kind)
        if handler is not None:
            self._pool_map.clear_suspicion(address)
            handler(message, self._pool_map.pool_by_key(message.pool), address, now)

    def _record_answer(self, message, pool, address, now):
        """Return the pending request that a message answers, or None."""
        pending = self._pending_by_number.get(message.run)
        if pending is not None:
            pending.confirmed_at = now
            if pool is not None:
                pending.pool, pending.owner = pool, address
            pending.answered.set()
        return pending

    def _complete(self, message, pool, address, now):
        """Remove and return the request that a message decides, or None."""
        pending = self._record_answer(message, pool, address, now)
        if pending is not None:
            del self._pending_by_number[message.run]
        return pending

    def _on_grant(self, message, pool, address, now):
        lease = self._leases_by_number.get(message.run)
        if lease is not None:
            lease.confirmed_at = now
            lease.owner = address
            return
        if self._is_late(message, now):
            # The window that it was counted in has passed. The request is
            # still pending and is repeated.
            self._end_unless_held(message, pool, address)
            return
        pending = self._complete(message, pool, address, now)
        if pending is None:
            self._end_unless_held(message, pool, address)
            return
        request = pending.request
        lease = Lease(
            request.number,
            pending.pool,
            message.server,
            request.batch,
            request.start_by,
            confirmed_at=now,
            tenant=request.tenant,
            memory_tokens=request.memory_tokens,
            owner=address,
            paced_at=now if message.paced else None,
        )
        self._leases_by_number[lease.number] = lease
        pending.on_result(lease)

    def _is_late(self, message, now):
        """Return True for a paced grant that waited for this host to run."""
        pending = self._pending_by_number.get(message.run)
        return (
            message.paced
            and pending is not None
            and now - pending.sent_at > pending.interval_s + PACED_GRANT_TTL_S
        )

    def _end_unless_held(self, message, pool, address):
        """End a run that an owner counts but that has no lease here."""
        if message.run not in self._leases_by_number and pool is not None:
            self._send(address, make_ended(pool, message.run))

    def _on_queued(self, message, pool, address, now):
        pending = self._record_answer(message, pool, address, now)
        if pending is not None:
            # Renewals of a queued request must not be refused any more.
            pending.request.refusable = False

    def _on_refused(self, message, pool, address, now):
        pending = self._complete(message, pool, address, now)
        if pending is not None:
            pending.on_result(
                SlotRefused(message.wait_ms / 1000, message.paced, message.beyond_share)
            )

    def _on_unknown_pool(self, message, pool, address, now):
        pending = self._complete(message, pool, address, now)
        if pending is not None:
            self.suspect_owner(address, "owner has no server of the pool")
            pending.on_result(None)

    def _on_make_room(self, message, pool, address, now):
        lease = self._leases_by_number.get(message.run)
        if lease is None:
            self._end_unless_held(message, pool, address)
        elif lease.on_preempt is not None:
            lease.on_preempt(lease)

    def tick(self, now):
        """Renew pending requests and leases, and repeat the ends of runs."""
        end_messages, self._end_messages = self._end_messages, []
        for owner, pool, message in end_messages:
            self._notify(owner, pool, message)
        for pending in list(self._pending_by_number.values()):
            if now - pending.confirmed_at > MAX_MISSED_RENEWALS * pending.interval_s:
                self.suspect_owner(pending.owner, "no message about a queued request")
                del self._pending_by_number[pending.request.number]
                pending.on_result(None)
            elif now - pending.sent_at >= pending.interval_s:
                self.repeat(pending)
        if now - self._leases_renewed_at >= RENEWAL_INTERVAL_S:
            self.renew_leases(now)

    def renew_leases(self, now):
        """Renew all held slots; suspect owners that left one unconfirmed."""
        self._leases_renewed_at = now
        leases = list(self._leases_by_number.values())
        stale = [lease for lease in leases if now - lease.confirmed_at > HOLD_TIMEOUT_S]
        for owner in {lease.owner or self._owner(lease.pool) for lease in stale}:
            self.suspect_owner(owner, "no confirmation of a held slot")
        for lease in stale:
            lease.owner = None
            lease.confirmed_at = now
        for lease in leases:
            self._renew_lease(lease, now)

    def _renew_lease(self, lease, now):
        owner = lease.owner or self._owner(lease.pool)
        self._notify(owner, lease.pool, make_hold(lease, now))

    def on_owners_changed(self):
        """Renew the held slots with the present owners of their pools."""
        for lease in self._leases_by_number.values():
            lease.owner = None
        for pending in self._pending_by_number.values():
            pending.owner = self._owner(pending.pool)
        self.renew_leases(self._now())
