"""The end of a host's process."""

import asyncio

from test.gateway.fleet import gateway_fleet


async def test_task_that_loses_a_cancellation_does_not_hold_up_the_end():
    """
    Guards the end of a process against a task that goes on.

    Seen once while the store was silent: one of two hosts did not end, as a
    cancellation met the end of a timeout.
    """
    async with gateway_fleet() as fleet:
        lost = 0

        async def lose_first_cancellation():
            nonlocal lost
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                lost += 1
            await asyncio.sleep(60)

        host = fleet.hosts.pop()
        host._spawn("losing", lose_first_cancellation)
        await asyncio.sleep(0.05)
        async with asyncio.timeout(5):
            await host.kill()
        assert lost == 1
