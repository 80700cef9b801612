"""End of a host's background tasks."""

import asyncio

from test.gateway.fleet import gateway_fleet


async def test_lost_cancellation_does_not_block_shutdown():
    """
    Guards the shutdown against a task that survives its cancellation.

    Seen once while the store did not respond: one of two hosts did not exit,
    because a timeout expired at the same time as the cancellation.
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
        host.background.spawn("losing", lose_first_cancellation)
        await asyncio.sleep(0.05)
        async with asyncio.timeout(5):
            await host.kill()
        assert lost == 1
