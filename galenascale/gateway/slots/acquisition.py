"""Waiting of online requests for the slot that a pool's owner grants."""

import asyncio

from galenascale.gateway.slots.leases import Lease, SlotRefused
from galenascale.generated.gateway_messages import SlotOutcome

# Seconds in which an owner answers; it is one hop away and decides at once. A
# message may be lost, so a request is sent twice.
ANSWER_TIMEOUT_S = 0.025
ANSWER_ATTEMPTS = 2


class SlotAcquisition:
    """One online request that waits for a slot through a SlotClient."""

    def __init__(self, client):
        self._client = client
        self._future = asyncio.get_running_loop().create_future()

    async def run(self, service, until, **fields):
        """
        Return the Lease of a slot, or None.

        Wait for an answer, then for the slot until a loop time in seconds.
        None means that this time has passed or that no owner
        decides. Raise SlotRefused if the owner refuses the request.
        """
        pending = self._client.submit(service, self._deliver_result, **fields)
        if pending is None:
            return None
        result = None
        try:
            if await self._wait_for_answer(pending):
                async with asyncio.timeout_at(until):
                    result = await self._future
        except TimeoutError:
            return None
        finally:
            self._client.cancel(pending)
            if result is None and self._future.done() and not self._future.cancelled():
                # The slot was granted while the wait was being cancelled.
                self._release_unused(self._future.result())
        if isinstance(result, SlotRefused):
            raise result
        return result

    def _deliver_result(self, result):
        """Set the result, or release the slot if nothing waits for it."""
        if self._future.done():
            self._release_unused(result)
        else:
            self._future.set_result(result)

    def _release_unused(self, result):
        if isinstance(result, Lease):
            self._client.release(result, SlotOutcome.UNUSED)

    async def _wait_for_answer(self, pending):
        """Return True if an owner answers; repeat the request once."""
        for number in range(ANSWER_ATTEMPTS):
            if number:
                self._client.repeat(pending)
            if await pending.wait_for_answer(ANSWER_TIMEOUT_S):
                return True
        self._client.suspect_owner(pending.owner, "no answer")
        return False
