"""Planned stop of an entry host that cuts off no request."""

import asyncio

from aiohttp import web

from galenascale.errors import GalenascaleError
from galenascale.generated.messages import HandOverReply, HandOverRequest
from galenascale.logs import get_logger

log = get_logger("stop")

POLL_S = 0.02
HAND_OVER_TIMEOUT_S = 2.0
# Time for telling peers and the host list, also with a short grace time.
TELL_S = 3.0
# Time within which unrecorded outcomes reach the log before a peer gets them.
FLUSH_S = 3.0


class GracefulStop:
    """Steps of a planned stop, and the requests that it waits for."""

    def __init__(self, host):
        self._host = host
        self.started = False
        self.in_flight = 0
        self._hurry = asyncio.Event()

        @web.middleware
        async def count_requests(request, handler):
            self.in_flight += 1
            try:
                return await handler(request)
            finally:
                self.in_flight -= 1

        self.count_requests = count_requests

    def hurry(self):
        """End the stop now; what still runs is cut off and logged."""
        self._hurry.set()

    async def run(self):
        """Go through the steps within the configured limit."""
        if self.started:
            return
        self.started = True
        host, settings = self._host, self._host.settings.stop
        log.info("Stopping with %d requests in flight.", self.in_flight)
        tell = asyncio.create_task(host.peering.tell_leaving())
        await host.clock.wait_any([tell, self._hurry.wait()], TELL_S)
        steps = asyncio.create_task(self._steps())
        await host.clock.wait_any([steps, self._hurry.wait()], settings.grace_s)
        if not steps.done():
            log.warning(
                "Cut off %d requests, %d calls and %d unrecorded outcomes.",
                self.in_flight,
                host.calls.in_flight,
                host.reporter.unrecorded,
            )
        for task in (tell, steps):
            task.cancel()
        await asyncio.gather(tell, steps, return_exceptions=True)

    async def _steps(self):
        host = self._host
        # The balancer sees that the host is not ready before it stops.
        await host.clock.sleep(host.settings.stop.drain_announce_s)
        batch = asyncio.create_task(self._stop_batch())
        while self.in_flight:
            await host.clock.sleep(POLL_S)
        await host.calls.drain()
        await batch

    async def _stop_batch(self):
        host = self._host
        stop = asyncio.create_task(host.worker.stop())
        await host.clock.wait_any([stop], FLUSH_S)
        if not stop.done():
            stop.cancel()
            await self._hand_over()
        await asyncio.gather(stop, return_exceptions=True)

    async def _hand_over(self):
        """Give unrecorded outcomes to a peer of this failure domain."""
        host = self._host
        outcomes = host.reporter.pending()
        domain = host.settings.failure_domain
        for host_id in host.peering.live_ids(domain):
            if host_id == host.host_id or not outcomes:
                continue
            request = HandOverRequest(host.host_id, outcomes)
            try:
                reply = await host.peers.call(
                    host_id, "hand_over", request, HandOverReply, HAND_OVER_TIMEOUT_S
                )
            except GalenascaleError as error:
                log.warning("Peer %s takes no outcomes: %s.", host_id, error)
                continue
            log.info("Handed %d outcomes to %s.", reply.accepted, host_id)
            return
