"""Orders to one server under its lease, one at a time."""

import asyncio
import contextlib

from galenascale.errors import BackendError, GalenascaleError
from galenascale.logs import get_logger
from galenascale.placement.leases import try_release
from galenascale.placement.observations import facts_from

log = get_logger("placement")

# A queued load asks this often whether its turn has come.
QUEUE_POLL_S = 1.0
# A lease is looked at this often while an order is carried out.
RENEW_POLL_S = 1.0


class OrderRun:
    """
    Brings one server to its target under a lease.

    `next_order(now, facts)` returns the next Order or None. The server's own
    state is read back at the start and after each order.
    """

    def __init__(self, server, next_order, leases, engine, weights, clock, settings):
        self.server = server
        self.lease = None
        self.orders_given = 0
        # True while an order is out whose effect is not known.
        self.in_doubt = False
        self._next_order = next_order
        self._leases = leases
        self._engine = engine
        self._weights = weights
        self._clock = clock
        self._settings = settings

    async def run(self):
        """
        Give orders until none is due; return True if all were carried out.

        The lease is released unless an order may still be at work, in which
        case it lapses, so that nobody else orders meanwhile.
        """
        self.lease = await self._leases.acquire(self.server.name)
        if self.lease is None:
            return False
        renewal = asyncio.ensure_future(self._renew())
        try:
            return await self._give_all()
        finally:
            renewal.cancel()
            await asyncio.gather(renewal, return_exceptions=True)
            if not self.in_doubt:
                await try_release(self._leases, self.lease)

    async def _give_all(self):
        while True:
            state = await self._engine.state(self.server)
            facts = facts_from(self.server, state.report, not state.report.leaving)
            order = self._next_order(self._clock.monotonic(), facts)
            if order is None:
                return True
            if order.is_load and not await self._may_load(order):
                if self.lease.lost or await self._leases.is_far_back(self.lease):
                    return False
                await self._clock.sleep(QUEUE_POLL_S)
                continue
            if not await self._give(order):
                return False

    async def _may_load(self, order):
        if not await self._leases.may_load(self.lease):
            return False
        limit_s = self._settings.max_weight_backlog_s
        backlog_s = await self._weights.backlog_s(
            order.key.model, order.key.version, limit_s
        )
        return backlog_s <= limit_s

    async def _give(self, order):
        server, lease = self.server, self.lease
        # Directly before the order: a server that ignores fencing numbers
        # must get none once another host may hold the lease.
        if not self._leases.allows(lease):
            log.info("Lease on %s ended before an order.", server.name)
            return False
        self.in_doubt = True
        try:
            await self._engine.order(
                server,
                lease.offset,
                str(order.action),
                order.target,
                order.key.version,
                order.size_bytes,
            )
        except BackendError as error:
            self.in_doubt = error.code in ("timeout", "stream_broken")
            if error.code == "stale_fencing":
                lease.lost = True
            raise
        self.in_doubt = False
        self.orders_given += 1
        log.info("Ordered %s %s on %s.", order.action, order.target, server.name)
        return True

    async def _renew(self):
        while not self.lease.lost:
            await self._clock.sleep(RENEW_POLL_S)
            with contextlib.suppress(GalenascaleError):
                await self._leases.renew_if_due(self.lease)
