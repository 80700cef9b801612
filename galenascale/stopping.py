"""Planned stop of an entry host that cuts off no request."""

import asyncio
import contextlib

from aiohttp import web

from galenascale import codec
from galenascale.errors import GalenascaleError
from galenascale.gateway.send_queue import untaken_bytes
from galenascale.generated.messages import HandOverReply, HandOverRequest
from galenascale.logs import get_logger

log = get_logger("stop")

POLL_S = 0.02
HAND_OVER_TIMEOUT_S = 2.0
# A peer takes bodies of at most 8 MB.
HAND_OVER_BYTES = 1_000_000
# Time for telling peers and the host list, also with a short grace time.
TELL_S = 3.0
# Time within which unrecorded outcomes reach the log before a peer gets them.
FLUSH_S = 3.0
# Time for handing over what is unrecorded when the stop is cut short.
LAST_HAND_OVER_S = 1.0


class GracefulStop:
    """Steps of a planned stop, and the requests that it waits for."""

    def __init__(self, host):
        self._host = host
        self.started = False
        # Tasks of the requests whose answers are not sent yet.
        self._requests = set()
        self._hurry = asyncio.Event()
        self._run_task = None

        @web.middleware
        async def count_requests(request, handler):
            task = asyncio.current_task()
            self._requests.add(task)
            try:
                response = await handler(request)
                await self._send(request, response)
                return response
            finally:
                self._requests.discard(task)

        self.count_requests = count_requests

    @property
    def in_flight(self):
        """Number of requests whose answers are not sent yet."""
        return len(self._requests)

    async def _send(self, request, response):
        """Write the answer, so that a slow reader counts as in flight."""
        with contextlib.suppress(ConnectionError):
            if not response.prepared:
                await response.prepare(request)
            await response.write_eof()
            while self.started and _untaken_bytes(request.transport):
                await self._host.clock.sleep(POLL_S)

    def hurry(self):
        """End the stop now; what still runs is cut off and logged."""
        self._hurry.set()

    async def run(self):
        """Go through the steps within the limit, once for all callers."""
        if self._run_task is None:
            self.started = True
            self._run_task = asyncio.create_task(self._run())
        await asyncio.shield(self._run_task)

    async def _run(self):
        host, settings = self._host, self._host.settings.stop
        log.info("Stopping with %d requests in flight.", self.in_flight)
        host.worker.taking = False
        tell = asyncio.create_task(host.peering.tell_leaving())
        await host.clock.wait_any([tell, self._hurry.wait()], TELL_S)
        steps = asyncio.create_task(self._steps())
        await host.clock.wait_any([steps, self._hurry.wait()], settings.grace_s)
        finished = steps.done()
        for task in (tell, steps):
            task.cancel()
        _, error = await asyncio.gather(tell, steps, return_exceptions=True)
        if not finished:
            await self._cut_off()
        elif error is not None:
            log.error("The stop did not go through all steps: %r.", error)

    async def _cut_off(self):
        host = self._host
        log.warning(
            "Cut off %d requests, %d calls and %d unrecorded outcomes.",
            self.in_flight,
            host.calls.in_flight,
            host.reporter.unrecorded,
        )
        for task in self._requests:
            task.cancel()
        hand_over = asyncio.create_task(self._hand_over())
        await host.clock.wait_any([hand_over], LAST_HAND_OVER_S)
        hand_over.cancel()
        await asyncio.gather(hand_over, return_exceptions=True)

    async def _steps(self):
        host = self._host
        # The balancer sees that the host is not ready before it stops.
        await host.clock.sleep(host.settings.stop.drain_announce_s)
        host.stop_accepting()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._finish_requests())
            group.create_task(host.worker.interrupt())
        await self._flush()
        # Peers that took this host for a shard's owner get their verdicts.
        await self._within_flush_time(host.shards.drain())

    async def _finish_requests(self):
        while self.in_flight:
            await self._host.clock.sleep(POLL_S)
        await self._host.calls.finish_running()

    async def _flush(self):
        """Record outcomes and release claims, or give outcomes to a peer."""
        host = self._host

        async def record():
            await asyncio.gather(host.worker.release(), host.calls.drain())

        if not await self._within_flush_time(record()):
            await self._hand_over()

    async def _within_flush_time(self, coroutine):
        """Return True if a coroutine ended in time and without an error."""
        task = asyncio.create_task(coroutine)
        try:
            await self._host.clock.wait_any([task], FLUSH_S)
        finally:
            task.cancel()
        (result,) = await asyncio.gather(task, return_exceptions=True)
        if isinstance(result, Exception):
            log.warning("Not everything was recorded: %s.", result)
        return not isinstance(result, BaseException)

    async def _hand_over(self):
        """Give unrecorded outcomes to peers, of this failure domain first."""
        host = self._host
        own = host.peering.live_ids(host.settings.failure_domain)
        ids = list(dict.fromkeys(own + host.peering.live_ids()))
        for request in self._requests_to_peers():
            for host_id in ids:
                if host_id != host.host_id and await self._give(host_id, request):
                    break
            else:
                log.warning(
                    "No peer takes %d outcomes of jobs and %d of calls.",
                    sum(len(item.outcomes) for item in request.outcomes),
                    len(request.calls),
                )

    async def _give(self, host_id, request):
        try:
            reply = await self._host.peers.call(
                host_id, "hand_over", request, HandOverReply, HAND_OVER_TIMEOUT_S
            )
        except GalenascaleError as error:
            log.warning("Peer %s takes no outcomes: %s.", host_id, error)
            return False
        log.info("Handed %d outcomes to %s.", reply.accepted, host_id)
        return True

    def _requests_to_peers(self):
        """Yield HandOverRequests of bounded size for what is unrecorded."""
        host = self._host
        request, size = HandOverRequest(host.host_id), 0
        jobs = host.reporter.pending()
        for name, item in [
            *(("outcomes", item) for item in jobs),
            *(("calls", item) for item in host.calls.recorder.pending()),
        ]:
            getattr(request, name).append(item)
            size += len(codec.encode(item))
            if size > HAND_OVER_BYTES:
                yield request
                request, size = HandOverRequest(host.host_id), 0
        if size:
            yield request


def _untaken_bytes(transport):
    """Return the bytes that a caller has not acknowledged."""
    if transport is None or transport.is_closing():
        return 0
    return untaken_bytes(transport)
