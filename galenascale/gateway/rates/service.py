"""Wiring of the rate client and the rate owner of a host."""

import asyncio

from galenascale.gateway.rates.client import RateClient
from galenascale.gateway.rates.owner import RateOwner

# Seconds between two rounds of expiries.
TICK_S = 0.25


class RateService:
    """Connects this host's rate owner and rate client with other hosts."""

    def __init__(self, context, started_ms, send):
        self._context = context
        self._own_address = context.ownership.own_address
        self._send_to_peer = send
        self._client = RateClient(context, self._send, started_ms)
        self._owner = RateOwner(context, self._send, self._call_later)

    def _call_later(self, delay_s, callback, *arguments):
        asyncio.get_running_loop().call_later(delay_s, callback, *arguments)

    async def admit(self, tenant_name):
        """Return once a request of a tenant may run; raise RequestFailed."""
        await self._client.admit(tenant_name)

    def on_owners_changed(self):
        """Hand the rates over that this host no longer owns."""
        self._owner.hand_over(self._context.clock.monotonic())

    def _send(self, address, message):
        if address == self._own_address:
            self._handle(message, address)
        else:
            self._send_to_peer(address, message)

    def receive(self, messages, address):
        """Handle messages from another host."""
        for message in messages:
            self._handle(message, address)

    def _handle(self, message, address):
        now = self._context.clock.monotonic()
        self._owner.receive(message, address, now)
        self._client.receive(message, address, now)

    async def run(self):
        """Run the periodic work of the owner until cancelled."""
        while True:
            self._owner.tick(self._context.clock.monotonic())
            await self._context.clock.sleep(TICK_S)
