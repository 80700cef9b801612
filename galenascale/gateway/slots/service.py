"""The parts of a host that concern slots, and their messages."""

import asyncio

from galenascale.gateway.slots.client import SlotClient
from galenascale.gateway.slots.owner import PoolOwner
from galenascale.gateway.slots.pool_map import Owner, PoolMap

# Seconds between two looks at what is due; free slots are told as often.
TICK_S = 0.05


class SlotService:
    """Grants the slots of this host's pools and asks for those of others."""

    def __init__(self, parts, own_address, started_ms, send):
        settings = parts.settings
        self._parts = parts
        self._own_address = own_address
        self._send = send
        own = Owner(settings.host_id, settings.failure_domain, own_address)
        self._map = PoolMap(own)
        self.client = SlotClient(parts, self._map, self._tell, started_ms)
        self._owner = PoolOwner(parts, self._map, self._tell)
        parts.servers.on_change(lambda *_: self._set_entries())

    def _set_entries(self):
        self._map.set_entries(self._parts.servers.all_entries())

    def set_hosts(self, peers, alive):
        """Set the other hosts that stay; `alive` are ids of those heard."""
        owners = [
            Owner(
                peer.host_id,
                peer.failure_domain,
                peer.address,
                heard=peer.host_id in alive,
            )
            for peer in peers
        ]
        if self._map.set_hosts(owners):
            # A new owner learns what runs.
            self.client.owners_changed()

    def leave(self):
        """Own no pool any more, as this host stops."""
        self._map.leave()

    def _tell(self, address, message):
        if address != self._own_address:
            self._send(address, message)
            return
        # As late as a message of another host, after the caller's own step.
        asyncio.get_running_loop().call_soon(self._handle, message, address)

    def receive(self, messages, address):
        """Take the messages of another host in."""
        for message in messages:
            self._handle(message, address)

    def _handle(self, message, address):
        now = self._parts.clock.monotonic()
        self._owner.receive(message, address, now)
        self.client.receive(message, address, now)

    async def run(self):
        """Do what is due until cancelled."""
        while True:
            now = self._parts.clock.monotonic()
            self._owner.tick(now)
            self.client.tick(now)
            await self._parts.clock.sleep(TICK_S)
