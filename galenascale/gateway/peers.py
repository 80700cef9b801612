"""Exchange of host statuses and slot messages over UDP."""

import asyncio

from galenascale.codec import decode, encode
from galenascale.errors import DecodeError
from galenascale.gateway import limit_exchange, suspect_exchange
from galenascale.gateway.active_jobs import draw_shard
from galenascale.gateway.gossip import StatusRouter
from galenascale.gateway.load import InFlightCounts
from galenascale.gateway.ownership import OwnerCandidate
from galenascale.gateway.paced_sender import PacedSender
from galenascale.gateway.peer_table import PeerTable
from galenascale.gateway.sockets import is_ip_address, split_address
from galenascale.generated.gateway_messages import (
    HostStatus,
    ServerInFlight,
    StatusBatch,
)

# Shortest and longest interval in seconds between two rounds of messages. A
# status takes two rounds to reach all hosts, well within the time after which
# its host is considered dead.
INTERVAL_S = 0.1
MAX_INTERVAL_S = 0.6
# Number of live peers per second of the interval. Rounds become rarer as the
# fleet grows, so that each host receives the same number of messages a second.
HOSTS_PER_INTERVAL_S = 150
# Interval in seconds at which an unchanged status is sent.
IDLE_INTERVAL_S = 1.0
# Below the usual MTU, so that datagrams are not fragmented.
MAX_DATAGRAM_BYTES = 1300
# Slot messages per datagram and as many about rates, at about 30 bytes each.
MESSAGES_PER_KIND = 20


class PeerProtocol(asyncio.DatagramProtocol):
    """Sends and relays host statuses, and applies those of other hosts."""

    def __init__(self, context, started_ms, store_status):
        settings = context.settings
        self._settings = settings
        self._started_ms = started_ms
        self._clock = context.clock
        self._log = context.log
        self._load = context.load
        self._slot_shares = context.slot_shares
        self._context = context
        # Messages about slots and rates by address, sent together by
        # _flush_messages().
        self._slots_by_address = {}
        self._rates_by_address = {}
        self._admission = context.admission
        self._crashes = context.crashes
        self._servers = context.servers
        self._configuration = context.configuration
        self._store_status = store_status
        self._transport = None
        self._sequence = 0
        self._sent_load_changes = -1
        self._status_sent_at = float("-inf")
        self._live_host_ids = set()
        self._own_address = split_address(settings.peer_listen)[0]
        self._router = StatusRouter(settings.host_id, settings.failure_domain)
        self.table = PeerTable(self._own_address)
        self._status_sender = PacedSender(self._send)
        self.leaving = False

    def connection_made(self, transport):
        self._transport = transport

    def connection_lost(self, error):
        self._status_sender.close()

    def datagram_received(self, data, addr):
        try:
            batch = decode(StatusBatch, data)
        except DecodeError as error:
            self._log.write("peer_message_broken", "warning", reason=str(error))
            return
        now = self._clock.monotonic()
        for status in batch.statuses:
            self._apply(status, now)
        slots = [message for message in batch.slots if _has_valid_host(message)]
        if slots:
            self._context.slots.receive(slots, addr[0])
        if batch.rates:
            self._context.rates.receive(batch.rates, addr[0])

    def _apply(self, status, now):
        """Apply another host's status if it is newer than the known one."""
        if not status.host_id or status.host_id == self._settings.host_id:
            return
        if self.table.update(status, now) is None:
            return
        self._router.add_received(status)
        in_flight = {
            item.server_key: InFlightCounts(item.online, item.batch)
            for item in status.in_flight
        }
        self._admission.add_remote_refusals(status.refused, now)
        self._crashes.set_remote_crashes(status.host_id, status.crashed, now)
        suspect_exchange.apply_status(self._context, status, now)
        limit_exchange.apply_status(self._context, status, now)
        self._merge_leaving_servers(status, now)
        self._load.set_peer_report(status.host_id, in_flight, now)
        if status.host_id not in self._live_host_ids:
            self._update_live_peers(now)

    def _merge_leaving_servers(self, status, now):
        if self._servers.merge_leaving(status.leaving_servers, now):
            self._log.write(
                "servers_leaving_told",
                peer=status.host_id,
                servers=status.leaving_servers,
            )

    def error_received(self, error):
        # The host is down; the peer table times it out.
        self._log.write("peer_send_failed", "debug", reason=repr(error))

    def _update_live_peers(self, now):
        peers = self.table.alive(now)
        alive = {peer.host_id for peer in peers}
        self._slot_shares.set_hosts(peer.host_id for peer in peers if not peer.leaving)
        self._update_owners(self.table.not_leaving(now), alive)
        for host_id in alive - self._live_host_ids:
            self._log.write("peer_found", peer=host_id, peers=len(alive))
        for host_id in self._live_host_ids - alive:
            self._load.remove_peer(host_id)
            self._log.write("peer_lost", "warning", peer=host_id, peers=len(alive))
        self._live_host_ids = alive

    def _update_owners(self, peers, alive):
        candidates = [
            OwnerCandidate(
                peer.host_id,
                peer.failure_domain,
                peer.address,
                is_responsive=peer.host_id in alive,
            )
            for peer in peers
        ]
        known_count = self.table.known_count(self._clock.monotonic())
        if self._context.ownership.set_hosts(candidates, known_count + 1):
            self._context.slots.on_owners_changed()
            self._context.rates.on_owners_changed()

    async def run(self):
        """Send statuses periodically until cancelled."""
        while True:
            now = self._clock.monotonic()
            self._update_live_peers(now)
            self._load.expire_reports(now)
            round_s = self._round_s()
            suspect_exchange.decide(self._context)
            self._send_due_status(now)
            await self._clock.sleep(round_s)

    def _round_s(self):
        round_s = len(self._live_host_ids) / HOSTS_PER_INTERVAL_S
        return min(max(INTERVAL_S, round_s), MAX_INTERVAL_S)

    def _send_due_status(self, now):
        changed = self._load.change_count != self._sent_load_changes
        due = changed or now - self._status_sent_at >= IDLE_INTERVAL_S
        own_status = None
        if due:
            own_status = self._status()
            self._sent_load_changes = self._load.change_count
            self._status_sent_at = now
        messages = self._router.take_messages(
            own_status, self.table.alive(now), self.table.addresses(now)
        )
        self._status_sender.send(_encode_messages(messages))

    def broadcast_status(self):
        """Send this host's status to all known addresses; return how many."""
        (data,) = _encode_batches((self._status(),))
        addresses = self.table.addresses(self._clock.monotonic())
        self._status_sender.send_first((address, data) for address in addresses)
        return len(addresses)

    def send_slots(self, address, message):
        """Queue a slot message; all of one loop iteration leave together."""
        self._schedule_flush()
        self._slots_by_address.setdefault(address, []).append(message)

    def send_rates(self, address, message):
        """Queue a rate message; all of one loop iteration leave together."""
        self._schedule_flush()
        self._rates_by_address.setdefault(address, []).append(message)

    def _schedule_flush(self):
        if not self._slots_by_address and not self._rates_by_address:
            asyncio.get_running_loop().call_soon(self._flush_messages)

    def _flush_messages(self):
        slots_by_address, self._slots_by_address = self._slots_by_address, {}
        rates_by_address, self._rates_by_address = self._rates_by_address, {}
        for address in slots_by_address.keys() | rates_by_address.keys():
            slots = slots_by_address.get(address, [])
            rates = rates_by_address.get(address, [])
            for start in range(0, max(len(slots), len(rates)), MESSAGES_PER_KIND):
                end = start + MESSAGES_PER_KIND
                batch = StatusBatch(slots=slots[start:end], rates=rates[start:end])
                self._send(address, encode(batch))

    def _send(self, address, data):
        if self._transport.is_closing():
            # The host ends; what is due now reaches nobody.
            return
        self._transport.sendto(data, (address, self._settings.peer_datagram_port))

    def _status(self):
        self._sequence += 1
        now = self._clock.monotonic()
        shard = draw_shard(self._load.active_jobs, self._context.rng)
        return HostStatus(
            host_id=self._settings.host_id,
            started_ms=self._started_ms,
            sequence=self._sequence,
            config_version=self._configuration.version,
            leaving=self.leaving,
            store_up=self._store_status.is_up is True,
            failure_domain=self._settings.failure_domain,
            address=self._own_address,
            active_jobs=shard.jobs,
            job_shard=shard.number,
            job_shards=shard.count,
            crashed=self._crashes.recent_keys(now),
            refused=self._admission.local_refusals.recent_keys(now),
            leaving_servers=self._servers.recent_leaving(now),
            in_flight=self._in_flight(),
            **suspect_exchange.status_fields(self._context.suspects, now),
            **limit_exchange.status_fields(self._context.limits, now),
        )

    def _in_flight(self):
        """Return this host's load, or [] if it would arrive stale."""
        if self._slot_shares.is_load_stale:
            return []
        return [
            ServerInFlight(key, in_flight.online, in_flight.batch)
            for key, in_flight in self._load.local_counts().items()
        ]


def _has_valid_host(message):
    """Return True if a SlotMessage names no host, or one to send to."""
    return not message.host or is_ip_address(message.host)


def _encode_messages(messages):
    """Yield the address and bytes of each datagram of StatusMessages."""
    encoded_by_statuses = {}
    for message in messages:
        # Most messages of a round carry the same statuses, so encode each
        # combination once.
        key = tuple(map(id, message.statuses))
        if key not in encoded_by_statuses:
            encoded_by_statuses[key] = _encode_batches(message.statuses)
        for data in encoded_by_statuses[key]:
            yield message.address, data


def _encode_batches(statuses):
    """Return encoded datagrams; no status is split across two."""
    datagrams = []
    batch = []
    size = 0
    for status in statuses:
        length = len(encode(status))
        if batch and size + length > MAX_DATAGRAM_BYTES:
            datagrams.append(encode(StatusBatch(batch)))
            batch = []
            size = 0
        batch.append(status)
        size += length
    datagrams.append(encode(StatusBatch(batch)))
    return datagrams
