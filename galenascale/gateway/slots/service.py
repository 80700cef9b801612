"""Wiring of the slot client and the pool owner of a host."""

from galenascale.gateway.message_link import MessageLink
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
        self._link = MessageLink(context, send)
        self._pool_map = PoolMap(context.ownership, context.servers.all_entries)
        self.client = SlotClient(context, self._pool_map, self._link.send, started_ms)
        self._owner = PoolOwner(context, self._pool_map, self._link.send)
        self._link.connect(self._owner, self.client)
        self.receive = self._link.receive
        context.servers.on_change(lambda *_: self._pool_map.mark_outdated())

    def on_owners_changed(self):
        """Tell new owners which slots are held."""
        self.client.on_owners_changed()

    async def run(self):
        """Run the periodic work of owner and client until cancelled."""
        while True:
            now = self._context.clock.monotonic()
            self._owner.tick(now)
            self.client.tick(now)
            await self._context.clock.sleep(TICK_S)
