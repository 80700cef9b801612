"""Wiring of the rate client and the rate owner of a host."""

import asyncio

from galenascale.gateway.message_link import MessageLink
from galenascale.gateway.rates.client import RateClient
from galenascale.gateway.rates.owner import RateOwner

# Seconds between two rounds of expiries.
TICK_S = 0.25


class RateService:
    """Connects this host's rate owner and rate client with other hosts."""

    def __init__(self, context, started_ms, send):
        self._context = context
        self._link = MessageLink(context, send)
        self._client = RateClient(context, self._link.send, started_ms)
        self._owner = RateOwner(context, self._link.send, self._call_later)
        self._link.connect(self._owner, self._client)
        self.receive = self._link.receive

    def _call_later(self, delay_s, callback, *arguments):
        asyncio.get_running_loop().call_later(delay_s, callback, *arguments)

    async def admit(self, tenant_name):
        """Return once a request of a tenant may run; raise RequestFailed."""
        await self._client.admit(tenant_name)

    def on_owners_changed(self):
        """Hand the rates over that this host no longer owns."""
        self._owner.hand_over(self._context.clock.monotonic())

    async def run(self):
        """Run the periodic work of the owner until cancelled."""
        while True:
            self._owner.tick(self._context.clock.monotonic())
            await self._context.clock.sleep(TICK_S)
