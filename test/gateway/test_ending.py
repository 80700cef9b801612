"""End of a host's background tasks."""

import asyncio

from galenascale.generated.gateway_messages import SlotMessage
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


async def test_messages_that_are_due_at_the_end_are_dropped():
    """
    Guards stopping hosts against errors in messages that are under way.

    Seen in soaks: messages about slots were sent on the closed socket.
    """
    failures = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, details: failures.append(details))
    async with gateway_fleet() as fleet:
        peers = fleet.hosts[0].discovery.peer_protocol
        peers.table.add_address("127.0.0.9", peers._clock.monotonic())
        peers._transport.close()
        peers.send_slots("127.0.0.9", SlotMessage())
        await asyncio.sleep(0.05)
        peers.broadcast_status()
    assert failures == []
