"""What hosts tell each other: load, configuration version and stopping."""

import asyncio

import attrs

from galenascale.codec import decode, encode
from galenascale.errors import DecodeError
from galenascale.gateway.load import InFlight
from galenascale.gateway.sockets import split_address
from galenascale.generated.gateway_messages import HostStatus, ServerInFlight

# Shortest time in seconds between two messages after a change of the load.
CHANGE_INTERVAL_S = 0.1
# Messages to all others that a host sends in a second at most; more hosts mean
# fewer rounds, so that the cost does not grow with their square.
MAX_SENDS_PER_S = 150
# Seconds between two messages without a change.
IDLE_INTERVAL_S = 1.0
# Seconds of silence after which a host counts as gone.
GONE_AFTER_S = 3.0
# Seconds of silence after which a host's address is no longer tried.
FORGET_AFTER_S = 60.0


@attrs.define
class Peer:
    """One other host."""

    address: str
    heard_at: float
    host_id: str = ""
    started_ms: int = 0
    sequence: int = 0
    config_version: int = 0
    leaving: bool = False
    store_up: bool = False


class PeerTable:
    """The other hosts, by what they sent and where they are said to be."""

    def __init__(self, own_address):
        self._own_address = own_address
        self._by_address = {}
        self._by_host_id = {}

    def suggest(self, address, now):
        """Add an address at which a host may be."""
        if address != self._own_address and address not in self._by_address:
            # Not heard yet; forgotten if it stays so.
            self._by_address[address] = Peer(address, now)

    def heard(self, address, status, now):
        """Apply a status; return the Peer, or None if it is out of date."""
        known = self._by_host_id.get(status.host_id)
        if known is not None and (status.started_ms, status.sequence) <= (
            known.started_ms,
            known.sequence,
        ):
            return None
        peer = Peer(
            address,
            now,
            status.host_id,
            status.started_ms,
            status.sequence,
            status.config_version,
            status.leaving,
            status.store_up,
        )
        if known is not None and known.address != address:
            self._by_address.pop(known.address, None)
        self._by_address[address] = peer
        self._by_host_id[status.host_id] = peer
        return peer

    def addresses(self, now):
        """Return the addresses to which messages are sent."""
        for address, peer in list(self._by_address.items()):
            if now - peer.heard_at > FORGET_AFTER_S:
                del self._by_address[address]
                self._by_host_id.pop(peer.host_id, None)
        return list(self._by_address)

    def alive(self, now):
        """Return the hosts that were heard lately."""
        return [
            peer
            for peer in self._by_host_id.values()
            if now - peer.heard_at <= GONE_AFTER_S
        ]

    def is_running(self, host_id, started_ms, now):
        """Return True if a run of a host was heard lately and stays."""
        peer = self._by_host_id.get(host_id)
        return (
            peer is not None
            and peer.started_ms == started_ms
            and not peer.leaving
            and now - peer.heard_at <= GONE_AFTER_S
        )

    def is_heard(self, host_id, now):
        """Return True if any run of a host was heard lately."""
        peer = self._by_host_id.get(host_id)
        return peer is not None and now - peer.heard_at <= GONE_AFTER_S

    def best_informed(self, now):
        """
        Return the living peer whose state is the newest, or None.

        That is one which the store answers, else one with the newest
        configuration.
        """
        return max(
            self.alive(now),
            key=lambda peer: (peer.store_up, peer.config_version),
            default=None,
        )


class PeerLink(asyncio.DatagramProtocol):
    """Sends this host's status to all others and applies theirs."""

    def __init__(self, settings, started_ms, clock, log, load, configuration, link):
        self._settings = settings
        self._started_ms = started_ms
        self._clock = clock
        self._log = log
        self._load = load
        self._configuration = configuration
        self._link = link
        self._transport = None
        self._sequence = 0
        self._sent_changes = -1
        self._sent_at = float("-inf")
        self._alive = set()
        own_host = split_address(settings.peer_listen)[0]
        self.table = PeerTable(own_host)
        self.leaving = False
        # Called after each message of another host.
        self.on_report = lambda: None

    def connection_made(self, transport):
        self._transport = transport

    def datagram_received(self, data, addr):
        try:
            status = decode(HostStatus, data)
        except DecodeError as error:
            self._log.write("peer_message_broken", "warning", reason=str(error))
            return
        now = self._clock.monotonic()
        if not status.host_id or status.host_id == self._settings.host_id:
            return
        peer = self.table.heard(addr[0], status, now)
        if peer is None:
            return
        in_flight = {
            item.server_key: InFlight(item.online, item.batch)
            for item in status.in_flight
        }
        self._load.report(status.host_id, in_flight, status.waiting_items, now)
        self._note_alive(now)
        self.on_report()

    def error_received(self, error):
        # A host that is away; its silence is noticed by the time.
        self._log.write("peer_send_failed", "debug", reason=repr(error))

    def _note_alive(self, now):
        alive = {peer.host_id for peer in self.table.alive(now)}
        for host_id in alive - self._alive:
            self._log.write("peer_found", peer=host_id, peers=len(alive))
        for host_id in self._alive - alive:
            self._load.forget(host_id)
            self._log.write("peer_lost", "warning", peer=host_id, peers=len(alive))
        self._alive = alive

    async def run(self):
        """Send messages until cancelled."""
        while True:
            now = self._clock.monotonic()
            addresses = self.table.addresses(now)
            self._note_alive(now)
            changed = self._load.changes != self._sent_changes
            if changed or now - self._sent_at >= IDLE_INTERVAL_S:
                self._send(addresses, now)
            await self._clock.sleep(
                max(CHANGE_INTERVAL_S, len(addresses) / MAX_SENDS_PER_S)
            )

    def announce(self):
        """Send a message to all others at once."""
        now = self._clock.monotonic()
        self._send(self.table.addresses(now), now)

    def tell(self, host_ids):
        """Send a message to some hosts at once; the others get it in turn."""
        now = self._clock.monotonic()
        addresses = [
            peer.address for peer in self.table.alive(now) if peer.host_id in host_ids
        ]
        self._transmit(addresses)

    def _send(self, addresses, now):
        self._sent_changes = self._load.changes
        self._sent_at = now
        self._transmit(addresses)

    def _transmit(self, addresses):
        self._sequence += 1
        data = encode(self._status())
        port = self._settings.peer_datagram_port
        for address in addresses:
            self._transport.sendto(data, (address, port))

    def _status(self):
        return HostStatus(
            host_id=self._settings.host_id,
            started_ms=self._started_ms,
            sequence=self._sequence,
            config_version=self._configuration.version,
            leaving=self.leaving,
            store_up=self._link.up is True,
            waiting_items=self._load.waiting_items,
            in_flight=[
                ServerInFlight(key, in_flight.online, in_flight.batch)
                for key, in_flight in self._load.own().items()
            ],
        )
