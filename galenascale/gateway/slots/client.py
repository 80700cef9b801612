"""Slots for this host's requests and items, asked of the pools' owners."""

import asyncio
import itertools

from galenascale.gateway.load import hash_key
from galenascale.gateway.slots.leases import (
    RENEWAL_INTERVAL_S,
    Lease,
    PendingRequest,
    SlotRefused,
)
from galenascale.gateway.slots.messages import make_ask, make_ended, make_hold
from galenascale.gateway.slots.wait_queue import SlotRequest
from galenascale.generated.gateway_messages import SlotMessageKind, SlotOutcome

# Seconds in which an owner answers; it is one hop away and decides at once. A
# message may be lost, so it is asked twice.
ANSWER_TIMEOUT_S = 0.025
ANSWER_ATTEMPTS = 2
# Seconds without a word of its owner after which a wait is given up, as a
# number of renewals.
MAX_MISSED_RENEWALS = 3.0
# The same for held slots; less than the lease, so that the next owner learns
# of them before it expires.
MAX_UNCONFIRMED_S = 1.0


class SlotClient:
    """Asks owners for slots, renews and releases them."""

    def __init__(self, parts, pool_map, send, started_ms):
        self._parts = parts
        self._pool_map = pool_map
        self._send = send
        # Unique among the runs of this host, also after a restart.
        self._numbers = itertools.count(started_ms << 16)
        self._pending_by_number = {}
        self._leases_by_number = {}
        self._leases_renewed_at = float("-inf")
        # (owner, pool, message) of runs that ended since the last tick, to be
        # told twice: a slot whose end is lost is idle until its lease is over.
        self._end_messages = []
        self._handlers_by_kind = {
            SlotMessageKind.GRANT: self._on_grant,
            SlotMessageKind.QUEUED: self._on_queued,
            SlotMessageKind.REFUSED: self._on_refused,
            SlotMessageKind.UNKNOWN_POOL: self._on_unknown_pool,
            SlotMessageKind.MAKE_ROOM: self._on_make_room,
        }

    def _now(self):
        return self._parts.clock.monotonic()

    def _owner(self, pool):
        return self._pool_map.owner(pool, self._now())

    def _notify(self, owner, pool, message):
        """Send a message about a pool to the host that counts its slots."""
        message.stand_in = self._pool_map.is_substitute(pool, owner, self._now())
        self._send(owner, message)

    async def acquire(self, service, give_up_at, **fields):
        """
        Return the Lease of a slot for a request; None if no owner helps.

        `fields` are those of the Ask. Raise SlotRefused if the request may be
        refused and would be late.
        """
        future = asyncio.get_running_loop().create_future()
        pending = self.submit(
            service, lambda result: self._deliver_result(future, result), **fields
        )
        if pending is None:
            return None
        result = None
        try:
            if await self._wait_for_answer(pending):
                async with asyncio.timeout(max(0.0, give_up_at - self._now())):
                    result = await future
        except TimeoutError:
            return None
        finally:
            self.cancel(pending)
            if result is None and future.done() and not future.cancelled():
                # It was granted in the moment in which the wait ended.
                self._release_unused(future.result())
        if isinstance(result, SlotRefused):
            raise result
        return result

    def _deliver_result(self, future, result):
        """Hand the end of a claim to who waits for it."""
        if future.done():
            self._release_unused(result)
        else:
            future.set_result(result)

    def _release_unused(self, result):
        if isinstance(result, Lease):
            self.release(result, SlotOutcome.UNUSED)

    async def _wait_for_answer(self, pending):
        """Return True if an owner answers."""
        for number in range(ANSWER_ATTEMPTS):
            if number:
                self._send_request(pending)
            if await pending.wait_for_answer(ANSWER_TIMEOUT_S):
                return True
        self._suspect_owner(pending.owner, "no answer")
        return False

    def submit(self, service, on_result, **fields):
        """
        Ask for a slot in the background; return the Claim, or None.

        `on_end` gets what ends the claim: the Lease, or None if no owner can
        say, or a SlotRefused.
        """
        now = self._now()
        pool = self._pool_map.preferred_pool(service, self._parts.rng)
        if pool is None:
            return None
        request = SlotRequest(host="", number=next(self._numbers), **fields)
        pending = PendingRequest(request, pool, self._owner(pool), now, now, on_result)
        self._pending_by_number[request.number] = pending
        self._send_request(pending)
        return pending

    def _send_request(self, pending):
        now = self._now()
        pending.sent_at = now
        self._notify(
            pending.owner, pending.pool, make_ask(pending.pool, pending.request, now)
        )

    def is_pending(self, pending):
        """Return True until a claim has ended."""
        return pending.request.number in self._pending_by_number

    def cancel(self, pending):
        """Drop a claim unless it has ended."""
        number = pending.request.number
        if self._pending_by_number.pop(number, None) is not None:
            self._notify(pending.owner, pending.pool, make_ended(pending.pool, number))

    def _suspect_owner(self, owner, reason):
        """Ask the next host from now on, and name the held slots to it."""
        now = self._now()
        self._pool_map.suspect(owner, now)
        for lease in self._leases_by_number.values():
            if lease.owner == owner:
                lease.owner = None
                self._renew_lease(lease, now)
        self._parts.log.write("slot_owner_silent", owner=owner, reason=reason)
        self._parts.metrics.slots.labels("silent").inc()

    def lease_without_grant(self, entry, start_by):
        """Return the Lease of a request that goes to a server unasked."""
        pool = self._pool_map.pool_of_server(entry)
        if pool is None:
            return None
        number = next(self._numbers)
        key = hash_key(entry.server_id)
        now = self._now()
        lease = Lease(number, pool, key, False, start_by, confirmed_at=now)
        self._leases_by_number[number] = lease
        self._renew_lease(lease, now)
        return lease

    def release(self, lease, outcome=SlotOutcome.SERVED):
        """Give a slot back and say how its run ended."""
        if self._leases_by_number.pop(lease.number, None) is not None:
            owner = lease.owner or self._owner(lease.pool)
            message = make_ended(lease.pool, lease.number, lease.server_key, outcome)
            self._notify(owner, lease.pool, message)
            again = make_ended(lease.pool, lease.number)
            self._end_messages.append((owner, lease.pool, again))

    def receive(self, message, address, now):
        """Take an owner's message in, if it is one for this host's runs."""
        handler = self._handlers_by_kind.get(message.kind)
        if handler is not None:
            self._pool_map.clear_suspicion(address)
            handler(message, self._pool_map.pool_by_key(message.pool), address, now)

    def _record_answer(self, message, pool, address, now):
        """Return the claim that a message answers, or None."""
        pending = self._pending_by_number.get(message.run)
        if pending is not None:
            pending.confirmed_at = now
            if pool is not None:
                pending.pool, pending.owner = pool, address
            pending.answered.set()
        return pending

    def _complete(self, message, pool, address, now):
        """Return the claim that a message ends, or None."""
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
            owner=address,
        )
        self._leases_by_number[lease.number] = lease
        pending.on_result(lease)

    def _end_unless_held(self, message, pool, address):
        """Tell an owner that a run is over that it counts."""
        if message.run not in self._leases_by_number and pool is not None:
            self._send(address, make_ended(pool, message.run))

    def _on_queued(self, message, pool, address, now):
        pending = self._record_answer(message, pool, address, now)
        if pending is not None:
            # It is named again while it waits, but decided on once.
            pending.request.refusable = False

    def _on_refused(self, message, pool, address, now):
        pending = self._complete(message, pool, address, now)
        if pending is not None:
            pending.on_result(SlotRefused(message.wait_ms / 1000))

    def _on_unknown_pool(self, message, pool, address, now):
        pending = self._complete(message, pool, address, now)
        if pending is not None:
            self._suspect_owner(address, "knows no server")
            pending.on_result(None)

    def _on_make_room(self, message, pool, address, now):
        lease = self._leases_by_number.get(message.run)
        if lease is None:
            self._end_unless_held(message, pool, address)
        elif lease.on_preempt is not None:
            lease.on_preempt(lease)

    def tick(self, now):
        """Name to the owners what this host waits for, holds and ended."""
        end_messages, self._end_messages = self._end_messages, []
        for owner, pool, message in end_messages:
            self._notify(owner, pool, message)
        for pending in list(self._pending_by_number.values()):
            if now - pending.confirmed_at > MAX_MISSED_RENEWALS * pending.interval_s:
                self._suspect_owner(pending.owner, "no word on a wait")
                del self._pending_by_number[pending.request.number]
                pending.on_result(None)
            elif now - pending.sent_at >= pending.interval_s:
                self._send_request(pending)
        if now - self._leases_renewed_at >= RENEWAL_INTERVAL_S:
            self.renew_leases(now)

    def renew_leases(self, now):
        """Name to the owners all slots that this host holds."""
        self._leases_renewed_at = now
        leases = list(self._leases_by_number.values())
        stale = [
            lease for lease in leases if now - lease.confirmed_at > MAX_UNCONFIRMED_S
        ]
        for owner in {lease.owner or self._owner(lease.pool) for lease in stale}:
            self._suspect_owner(owner, "no word on a held slot")
        for lease in stale:
            lease.owner = None
            lease.confirmed_at = now
        for lease in leases:
            self._renew_lease(lease, now)

    def _renew_lease(self, lease, now):
        owner = lease.owner or self._owner(lease.pool)
        self._notify(owner, lease.pool, make_hold(lease, now))

    def on_owners_changed(self):
        """Name the held slots to those who own the pools now."""
        for lease in self._leases_by_number.values():
            lease.owner = None
        for pending in self._pending_by_number.values():
            pending.owner = self._owner(pending.pool)
        self.renew_leases(self._now())
