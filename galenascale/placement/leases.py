"""Leases on backend servers, kept in the `fleet` stream.

A lease is held only while there is something to order. The offset of its
claim is the fencing number of the orders. The holder counts the lease from
before its claim was sent, other hosts from when they first saw it, so that on
the monotonic clocks of both the holder's time ends first.
"""

import attrs

from galenascale import codec
from galenascale.errors import DecodeError, GalenascaleError
from galenascale.generated.messages import ServerClaim, ServerRelease
from galenascale.logs import get_logger
from galenascale.shards import FLEET, make_record

log = get_logger("placement")

# Time within which a claim must be read back; a later one is of no use.
SUBMIT_TIMEOUT_S = 10.0
# A view of the leases may be this old when a claim is written: a claim based
# on an old view is void, because it names the claim that it supersedes.
VIEW_AGE_S = 1.0
# Holders may queue for the shared loads up to this many times their number,
# so that the next load starts as soon as one ends.
QUEUE_FACTOR = 2
# A lease is renewed when this share of it is left.
RENEW_SHARE = 0.5


@attrs.define(eq=False)
class ServerLease:
    """A lease of this host; `offset` is the fencing number of its orders."""

    server_id: str
    offset: int
    first_offset: int
    expires_at: float
    lost: bool = False


class Leases:
    """Claims, renewals and releases of one host."""

    def __init__(self, shards, clock, settings, host_id, incarnation):
        self._shards = shards
        self._clock = clock
        self._settings = settings
        self._host_id = host_id
        self._incarnation = incarnation
        # First offset of the lease that a claim renews, by claim offset.
        self._first_by_offset = {}

    @property
    def margin_s(self):
        """Time before and after the end of a lease in which nobody orders."""
        return self._settings.lease_margin_ms / 1000.0

    def allows(self, lease):
        """Return True if an order may be sent under the lease now."""
        left_s = lease.expires_at - self._clock.monotonic()
        return not lease.lost and left_s > self.margin_s

    async def acquire(self, server_id):
        """
        Return a ServerLease, or None while it cannot be had.

        Another holder's lease must have lapsed, with the margin, on this
        host's clock. Raise StoreUnavailable or StoreOutcomeUnknown.
        """
        state = await self._shards.view(FLEET, VIEW_AGE_S)
        current = state.leases_by_server.get(server_id)
        if current is not None and not self._may_supersede(current):
            return None
        others = self._live_claims(state, server_id)
        if len(others) >= QUEUE_FACTOR * self._settings.max_loads:
            return None
        return await self._claim(server_id, current.offset if current else -1)

    async def renew_if_due(self, lease):
        """Extend a lease that is half over; it is lost if another claimed."""
        settings = self._settings
        left_s = lease.expires_at - self._clock.monotonic()
        if lease.lost or left_s > RENEW_SHARE * settings.lease_ms / 1000.0:
            return
        state = await self._shards.view(FLEET, VIEW_AGE_S)
        current = state.leases_by_server.get(lease.server_id)
        if current is not None and current.offset < lease.offset:
            # The view is older than the lease itself.
            state = await self._shards.view(FLEET)
            current = state.leases_by_server.get(lease.server_id)
        if current is None or not self._is_own(current):
            lease.lost = True
            return
        new = await self._claim(lease.server_id, current.offset, lease.first_offset)
        if new is None:
            lease.lost = True
        else:
            lease.offset, lease.expires_at = new.offset, new.expires_at

    async def release(self, lease):
        """Give a lease back; it lapses by itself if the log is away."""
        state = await self._shards.view(FLEET, VIEW_AGE_S)
        current = state.leases_by_server.get(lease.server_id)
        offset = lease.offset
        if current is not None and self._is_own(current):
            # A renewal may have taken effect although its answer was lost.
            offset = max(offset, current.offset)
        lease.lost = True
        record = make_record(ServerRelease(lease.server_id, offset))
        await self._shards.submit(FLEET, [record], SUBMIT_TIMEOUT_S)

    async def may_load(self, lease):
        """
        Return True if the lease is among the `max_loads` oldest in the log.

        All hosts see the same order of claims, so at most that many load at
        a time. Lapsed leases of dead holders do not count.
        """
        return await self._position(lease) < self._settings.max_loads

    async def is_far_back(self, lease):
        """Return True if the queue for loads was full before this lease."""
        return await self._position(lease) >= QUEUE_FACTOR * self._settings.max_loads

    async def _position(self, lease):
        state = await self._shards.view(FLEET, VIEW_AGE_S)
        if state.through_offset < lease.offset:
            state = await self._shards.view(FLEET)
        own = (lease.first_offset, lease.server_id)
        claims = self._live_claims(state, lease.server_id)
        return sum(claim < own for claim in claims)

    def _live_claims(self, state, except_id):
        """Return (first offset, server id) of leases that have not lapsed."""
        follower = self._shards.follower(FLEET)
        margin_ms = self._settings.lease_margin_ms
        current = {claim.offset for claim in state.leases_by_server.values()}
        for offset in self._first_by_offset.keys() - current:
            del self._first_by_offset[offset]
        return [
            (self._first_offset(claim), server_id)
            for server_id, claim in state.leases_by_server.items()
            if server_id != except_id and not follower.lease_lapsed(claim, margin_ms)
        ]

    def _first_offset(self, claim):
        first = self._first_by_offset.get(claim.offset)
        if first is None:
            try:
                first = codec.decode(ServerClaim, claim.raw_body).first_offset
            except DecodeError:
                first = -1
            first = claim.offset if first < 0 else first
            self._first_by_offset[claim.offset] = first
        return first

    def _is_own(self, claim):
        return (claim.holder, claim.incarnation) == (self._host_id, self._incarnation)

    def _may_supersede(self, claim):
        # A claim of this process that it does not hold was never used: its
        # outcome was unknown when the process gave it up.
        if self._is_own(claim):
            return True
        follower = self._shards.follower(FLEET)
        return follower.lease_lapsed(claim, self._settings.lease_margin_ms)

    async def _claim(self, server_id, supersedes, first_offset=-1):
        started = self._clock.monotonic()
        lease_ms = self._settings.lease_ms
        claim = ServerClaim(
            server_id,
            self._host_id,
            self._incarnation,
            lease_ms,
            supersedes,
            first_offset,
        )
        record = make_record(claim)
        (verdict,) = await self._shards.submit(FLEET, [record], SUBMIT_TIMEOUT_S)
        if not verdict.valid:
            log.info("Another host claimed %s: %s.", server_id, verdict.reason)
            return None
        first = verdict.offset if first_offset < 0 else first_offset
        expires_at = started + lease_ms / 1000.0
        return ServerLease(server_id, verdict.offset, first, expires_at)


async def try_release(leases, lease):
    """Release a lease; a failure is logged, as the lease lapses by itself."""
    try:
        await leases.release(lease)
    except GalenascaleError as error:
        log.warning("Lease on %s was not released: %s.", lease.server_id, error)
