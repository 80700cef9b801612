"""How hosts find each other: records in the store and addresses of seeds."""

from galenascale.errors import DecodeError
from galenascale.gateway.sockets import split_address
from galenascale.store import STORE_ERRORS

HOSTS_TOPIC = "keyed.hosts"
# Seconds between two reads of the hosts' records. Hosts hear of a new one from
# its own messages at once; the records only reach those that were cut off.
READ_INTERVAL_S = 15.0
RETRY_S = 1.0


class Presence:
    """Tells the other hosts where this one is, and finds them."""

    def __init__(self, parts, store_link, link):
        self._parts = parts
        self._store_link = store_link
        self._registered = False
        self.link = link
        self.suggest_seeds(parts.settings.seeds)

    def suggest_seeds(self, seeds):
        """Add the addresses of some hosts, which may be out of date."""
        now = self._parts.clock.monotonic()
        for seed in seeds:
            self._parts.peers.suggest(split_address(seed)[0], now)

    async def run(self):
        """Register and read the hosts' records until cancelled."""
        clock = self._parts.clock
        while True:
            try:
                await self._step()
            except (DecodeError, *STORE_ERRORS) as error:
                self._store_link.failed(error)
                await clock.sleep(RETRY_S)
                continue
            self._store_link.answered()
            await clock.sleep(READ_INTERVAL_S)

    async def _step(self):
        parts = self._parts
        own_host = split_address(parts.settings.peer_listen)[0]
        if not self._registered and not self.link.leaving:
            await parts.store.append_keyed(
                HOSTS_TOPIC, parts.settings.host_id, own_host.encode()
            )
            self._registered = True
        records, _ = await parts.store.read_latest(HOSTS_TOPIC)
        now = parts.clock.monotonic()
        for record in records:
            if record.value:
                parts.peers.suggest(record.value.decode("ascii", "replace"), now)
        self.link.announce()

    def leave(self):
        """Tell the other hosts that this one stops."""
        self.link.leaving = True
        self.link.announce()

    async def withdraw(self):
        """Remove this host's record."""
        try:
            await self._parts.store.append_keyed(
                HOSTS_TOPIC, self._parts.settings.host_id, None
            )
        except STORE_ERRORS as error:
            # The address is forgotten by its silence.
            self._store_link.failed(error)
