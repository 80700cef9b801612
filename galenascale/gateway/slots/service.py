"""Wiring of the slot client and the pool owner of a host."""

import asyncio

from galenascale.gateway.slots.client import SlotClient
from galenascale.gateway.slots.owner import PoolOwner
from galenascale.gateway.slots.pool_map import PoolMap

# Seconds between two rounds of renewals, expiries and decisions; also the
# shortest interval of reports of free slots.
TICK_S = 0.05


class SlotService:
    """Connects this host's pool owner and slot client with other hosts."""

    def __init__(self, context, started_ms, send):
        self._context = context
        self._own_address = context.ownership.own_address
        self._send_to_peer = send
        self._pool_map = PoolMap(context.ownership)
        self.client = SlotClient(context, self._pool_map, self._send, started_ms)
        self._owner = PoolOwner(context, self._pool_map, self._send)
        context.servers.on_change(lambda *_: self._update_servers())

    def _update_servers(self):
        self._pool_map.set_servers(self._context.servers.all_entries())

    def on_owners_changed(self):
        """Tell new owners which slots are held."""
        self.client.on_owners_changed()

    def _send(self, address, message):
        if address != self._own_address:
            self._send_to_peer(address, message)
            return
        # Messages to this host are handled after the caller's step, as those
        # from other hosts are.
        asyncio.get_running_loop().call_soon(self._handle, message, address)

    def receive(self, messages, address):
        """Handle messages from another host."""
        for message in messages:
            self._handle(message, address)

    def _handle(self, message, address):
        now = self._context.clock.monotonic()
        self._owner.receive(message, address, now)
        self.client.receive(message, address, now)

    async def run(self):
        """Run the periodic work of owner and client until cancelled."""
        while True:
            now = self._context.clock.monotonic()
            self._owner.tick(now)
            self.client.tick(now)
            await self._context.clock.sleep(TICK_S)
