"""Discovery of other hosts by records in the store and seed addresses."""

from galenascale.errors import DecodeError
from galenascale.gateway.sockets import split_address
from galenascale.store import STORE_ERRORS

HOSTS_TOPIC = "keyed.hosts"
# Seconds between two reads of the host records. A new host announces itself to
# the others at once; the records serve hosts that were partitioned then.
READ_INTERVAL_S = 15.0
RETRY_DELAY_S = 1.0


class HostDiscovery:
    """Registers this host in the store and finds the other hosts."""

    def __init__(self, context, store_status, peer_protocol):
        self._context = context
        self._store_status = store_status
        self._registered = False
        self.peer_protocol = peer_protocol
        self.add_seeds(context.settings.seeds)

    def add_seeds(self, seeds):
        """Add seed addresses, which may be out of date."""
        now = self._context.clock.monotonic()
        for seed in seeds:
            self._context.peers.add_address(split_address(seed)[0], now)

    async def run(self):
        """Register this host and read the host records until cancelled."""
        clock = self._context.clock
        while True:
            try:
                await self._step()
            except (DecodeError, *STORE_ERRORS) as error:
                self._store_status.record_failure(error)
                await clock.sleep(RETRY_DELAY_S)
                continue
            self._store_status.record_answer()
            await clock.sleep(READ_INTERVAL_S)

    async def _step(self):
        context = self._context
        own_host = split_address(context.settings.peer_listen)[0]
        if not self._registered and not self.peer_protocol.leaving:
            await context.store.append_keyed(
                HOSTS_TOPIC, context.settings.host_id, own_host.encode()
            )
            self._registered = True
        records, _ = await context.store.read_latest(HOSTS_TOPIC)
        now = context.clock.monotonic()
        for record in records:
            if record.value:
                context.peers.add_address(record.value.decode("ascii", "replace"), now)
        self.peer_protocol.broadcast_status()

    def leave(self):
        """Announce to the other hosts that this one is leaving."""
        self.peer_protocol.leaving = True
        self.peer_protocol.broadcast_status()

    async def deregister(self):
        """Remove this host's record from the store."""
        try:
            await self._context.store.append_keyed(
                HOSTS_TOPIC, self._context.settings.host_id, None
            )
        except STORE_ERRORS as error:
            # Other hosts expire the address once no status arrives from it.
            self._store_status.record_failure(error)
