"""Slots for this host's requests and items, asked of the pools' owners."""

import asyncio
import itertools

from galenascale.gateway.load import hash_key
from galenascale.gateway.slots.claims import (
    RENEWAL_S,
    Claim,
    Lease,
    SlotRefused,
)
from galenascale.gateway.slots.messages import make_ask, make_ended, make_hold
from galenascale.gateway.slots.waiting import Ask
from galenascale.generated.gateway_messages import SlotMessageKind, SlotOutcome

# Seconds in which an owner answers; it is one hop away and decides at once. A
# message may be lost, so it is asked twice.
ANSWER_TIMEOUT_S = 0.025
TRIES = 2
# Seconds without a word of its owner after which a wait is given up, as a
# number of renewals.
SILENT_RENEWALS = 3.0
# The same for held slots; less than the lease, so that the next owner learns
# of them before it expires.
SILENT_HOLD_S = 1.0


class SlotClient:
    """Asks owners for slots, renews and releases them."""

    def __init__(self, parts, pool_map, send, started_ms):
        self._parts = parts
        self._map = pool_map
        self._send = send
        # Unique among the runs of this host, also after a restart.
        self._numbers = itertools.count(started_ms << 16)
        self._claims_by_number = {}
        self._leases_by_number = {}
        self._renewed_at = float("-inf")
        # (owner, pool, message) of runs that ended since the last tick, to be
        # told twice: a slot whose end is lost is idle until its lease is over.
        self._ended = []
        self._handlers_by_kind = {
            SlotMessageKind.GRANT: self._on_grant,
            SlotMessageKind.QUEUED: self._on_queued,
            SlotMessageKind.REFUSED: self._on_refused,
            SlotMessageKind.UNKNOWN_POOL: self._on_unknown,
            SlotMessageKind.MAKE_ROOM: self._on_make_room,
        }

    def _now(self):
        return self._parts.clock.monotonic()

    def _owner(self, pool):
        return self._map.owner(pool, self._now())

    def _tell(self, owner, pool, message):
        """Send a message about a pool to the host that counts its slots."""
        message.stand_in = self._map.is_stand_in(pool, owner, self._now())
        self._send(owner, message)

    # Asking.

    async def acquire(self, service, give_up_at, **fields):
        """
        Return the Lease of a slot for a request; None if no owner helps.

        `fields` are those of the Ask. Raise SlotRefused if the request may be
        refused and would be late.
        """
        ended = asyncio.get_running_loop().create_future()
        claim = self.want(service, lambda result: self._settle(ended, result), **fields)
        if claim is None:
            return None
        result = None
        try:
            if await self._is_answered(claim):
                async with asyncio.timeout(max(0.0, give_up_at - self._now())):
                    result = await ended
        except TimeoutError:
            return None
        finally:
            self.cancel(claim)
            if result is None and ended.done() and not ended.cancelled():
                # It was granted in the moment in which the wait ended.
                self._return(ended.result())
        if isinstance(result, SlotRefused):
            raise result
        return result

    def _settle(self, ended, result):
        """Hand the end of a claim to who waits for it."""
        if ended.done():
            self._return(result)
        else:
            ended.set_result(result)

    def _return(self, result):
        if isinstance(result, Lease):
            self.release(result, SlotOutcome.UNUSED)

    async def _is_answered(self, claim):
        """Return True if an owner answers."""
        for number in range(TRIES):
            if number:
                self._ask(claim)
            if await claim.is_answered(ANSWER_TIMEOUT_S):
                return True
        self._suspect(claim.owner, "no answer")
        return False

    def want(self, service, on_end, **fields):
        """
        Ask for a slot in the background; return the Claim, or None.

        `on_end` gets what ends the claim: the Lease, or None if no owner can
        say, or a SlotRefused.
        """
        now = self._now()
        pool = self._map.nearest(service, self._parts.rng)
        if pool is None:
            return None
        ask = Ask(host="", number=next(self._numbers), **fields)
        claim = Claim(ask, pool, self._owner(pool), now, now, on_end)
        self._claims_by_number[ask.number] = claim
        self._ask(claim)
        return claim

    def _ask(self, claim):
        now = self._now()
        claim.renewed_at = now
        self._tell(claim.owner, claim.pool, make_ask(claim.pool, claim.ask, now))

    def is_open(self, claim):
        """Return True until a claim has ended."""
        return claim.ask.number in self._claims_by_number

    def cancel(self, claim):
        """Drop a claim unless it has ended."""
        number = claim.ask.number
        if self._claims_by_number.pop(number, None) is not None:
            self._tell(claim.owner, claim.pool, make_ended(claim.pool, number))

    def _suspect(self, owner, reason):
        """Ask the next host from now on, and name the held slots to it."""
        now = self._now()
        self._map.suspect(owner, now)
        for lease in self._leases_by_number.values():
            if lease.owner == owner:
                lease.owner = None
                self._hold(lease, now)
        self._parts.log.write("slot_owner_silent", owner=owner, reason=reason)
        self._parts.metrics.slots.labels("silent").inc()

    # Holding.

    def take(self, entry, start_by):
        """Return the Lease of a request that goes to a server unasked."""
        pool = self._map.of_server(entry)
        if pool is None:
            return None
        number = next(self._numbers)
        key = hash_key(entry.server_id)
        now = self._now()
        lease = Lease(number, pool, key, False, start_by, heard_at=now)
        self._leases_by_number[number] = lease
        self._hold(lease, now)
        return lease

    def release(self, lease, outcome=SlotOutcome.SERVED):
        """Give a slot back and say how its run ended."""
        if self._leases_by_number.pop(lease.number, None) is not None:
            owner = lease.owner or self._owner(lease.pool)
            message = make_ended(lease.pool, lease.number, lease.server_key, outcome)
            self._tell(owner, lease.pool, message)
            again = make_ended(lease.pool, lease.number)
            self._ended.append((owner, lease.pool, again))

    # Words of owners.

    def receive(self, message, address, now):
        """Take an owner's message in, if it is one for this host's runs."""
        handler = self._handlers_by_kind.get(message.kind)
        if handler is not None:
            self._map.answered(address)
            handler(message, self._map.pool(message.pool), address, now)

    def _heard(self, message, pool, address, now):
        """Return the claim that a message answers, or None."""
        claim = self._claims_by_number.get(message.run)
        if claim is not None:
            claim.heard_at = now
            if pool is not None:
                claim.pool, claim.owner = pool, address
            claim.answered.set()
        return claim

    def _ended_claim(self, message, pool, address, now):
        """Return the claim that a message ends, or None."""
        claim = self._heard(message, pool, address, now)
        if claim is not None:
            del self._claims_by_number[message.run]
        return claim

    def _on_grant(self, message, pool, address, now):
        held = self._leases_by_number.get(message.run)
        if held is not None:
            held.heard_at = now
            held.owner = address
            return
        claim = self._ended_claim(message, pool, address, now)
        if claim is None:
            self._return_unless_held(message, pool, address)
            return
        ask = claim.ask
        lease = Lease(
            ask.number,
            claim.pool,
            message.server,
            ask.batch,
            ask.start_by,
            heard_at=now,
            owner=address,
        )
        self._leases_by_number[lease.number] = lease
        claim.on_end(lease)

    def _return_unless_held(self, message, pool, address):
        """Tell an owner that a run is over that it counts."""
        if message.run not in self._leases_by_number and pool is not None:
            self._send(address, make_ended(pool, message.run))

    def _on_queued(self, message, pool, address, now):
        claim = self._heard(message, pool, address, now)
        if claim is not None:
            # It is named again while it waits, but decided on once.
            claim.ask.refusable = False

    def _on_refused(self, message, pool, address, now):
        claim = self._ended_claim(message, pool, address, now)
        if claim is not None:
            claim.on_end(SlotRefused(message.wait_ms / 1000))

    def _on_unknown(self, message, pool, address, now):
        claim = self._ended_claim(message, pool, address, now)
        if claim is not None:
            self._suspect(address, "knows no server")
            claim.on_end(None)

    def _on_make_room(self, message, pool, address, now):
        lease = self._leases_by_number.get(message.run)
        if lease is None:
            self._return_unless_held(message, pool, address)
        elif lease.on_make_room is not None:
            lease.on_make_room(lease)

    # Time.

    def tick(self, now):
        """Name to the owners what this host waits for, holds and ended."""
        ended, self._ended = self._ended, []
        for owner, pool, message in ended:
            self._tell(owner, pool, message)
        for claim in list(self._claims_by_number.values()):
            if now - claim.heard_at > SILENT_RENEWALS * claim.renewal_s:
                self._suspect(claim.owner, "no word on a wait")
                del self._claims_by_number[claim.ask.number]
                claim.on_end(None)
            elif now - claim.renewed_at >= claim.renewal_s:
                self._ask(claim)
        if now - self._renewed_at >= RENEWAL_S:
            self.renew(now)

    def renew(self, now):
        """Name to the owners all slots that this host holds."""
        self._renewed_at = now
        leases = list(self._leases_by_number.values())
        silent = [lease for lease in leases if now - lease.heard_at > SILENT_HOLD_S]
        for owner in {lease.owner or self._owner(lease.pool) for lease in silent}:
            self._suspect(owner, "no word on a held slot")
        for lease in silent:
            lease.owner = None
            lease.heard_at = now
        for lease in leases:
            self._hold(lease, now)

    def _hold(self, lease, now):
        owner = lease.owner or self._owner(lease.pool)
        self._tell(owner, lease.pool, make_hold(lease, now))

    def owners_changed(self):
        """Name the held slots to those who own the pools now."""
        for lease in self._leases_by_number.values():
            lease.owner = None
        for claim in self._claims_by_number.values():
            claim.owner = self._owner(claim.pool)
        self.renew(self._now())
