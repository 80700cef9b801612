"""
Hosts that share the limits which servers name, in simulated time.

The owners and clients of slots, the exchange of limits and the choice of
owners are those of the product. The network, the clock, the servers and the
waits of requests are simulated, so that every window of every server can be
checked, with hosts that are killed, frozen or cut off, and messages that are
lost. Prints what the ways that were weighed do under the same load.

    python -m bench.limit_fleet
"""

import bisect
import heapq
import itertools
import random

import attrs

from galenascale.gateway import limit_exchange
from galenascale.gateway.configuration import ConfigurationState
from galenascale.gateway.health import ServerHealth
from galenascale.gateway.load import FleetLoad
from galenascale.gateway.metrics import GatewayMetrics
from galenascale.gateway.ownership import OwnerCandidate, Ownership
from galenascale.gateway.peer_table import PeerTable
from galenascale.gateway.server_limits import NamedLimit, ServerLimits
from galenascale.gateway.servers import ServerEntry, ServerList, find_by_key
from galenascale.gateway.slots.acquisition import ANSWER_ATTEMPTS, ANSWER_TIMEOUT_S
from galenascale.gateway.slots.client import SlotClient
from galenascale.gateway.slots.leases import Lease, is_paced
from galenascale.gateway.slots.owner import PoolOwner
from galenascale.gateway.slots.pool_map import PoolMap
from galenascale.generated.gateway_messages import HostStatus, SlotOutcome
from galenascale.rate_limit import RateBucket

SERVICE = "llm"
SLOTS = 8
RUN_S = 0.7
ANSWER_DELAY_S = 0.01
DELAY_S = 0.001
TICK_S = 0.05
STATUS_INTERVAL_S = 0.5
# The same in fleets of more than SMALL_FLEET hosts, which relay statuses.
LARGE_STATUS_INTERVAL_S = 2.5
SMALL_FLEET = 16
# Seconds for which an online request waits for a slot.
PATIENCE_S = 2.0
WINDOW_S = 4.0
OVERSHOOT = 1.5
SLACK = 5
STABLE_S = 3.0


def host_address(number):
    """Return the address of a host, which is its id too."""
    return f"10.0.{number // 256}.{number % 256}"


def host_number(address):
    """Return the number of the host with an address."""
    _, _, high, low = map(int, address.split("."))
    return 256 * high + low


class _Clock:
    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now


class _Log:
    def write(self, event, level="info", **fields):
        """Discard a line."""


@attrs.frozen
class _Settings:
    host_id: str
    failure_domain: str
    tenant_weights: dict = attrs.field(factory=dict)
    server_speeds: bool = True
    leave_domain: bool = True


@attrs.define(eq=False)
class _Slots:
    """The client and owner of a host."""

    client: SlotClient = None
    owner: PoolOwner = None

    def on_owners_changed(self):
        self.client.on_owners_changed()


@attrs.define(eq=False)
class Host:
    """The members of GatewayContext that slots and limits use."""

    settings: _Settings
    clock: _Clock
    rng: random.Random
    metrics: GatewayMetrics
    servers: ServerList
    ownership: Ownership
    table: PeerTable
    announcer: object = None
    configuration: ConfigurationState = attrs.field(factory=ConfigurationState)
    slots: _Slots = attrs.field(factory=_Slots)
    log: _Log = attrs.field(factory=_Log)
    health: ServerHealth = attrs.field(factory=ServerHealth)
    limits: ServerLimits = attrs.field(factory=ServerLimits)
    load: FleetLoad = attrs.field(factory=lambda: FleetLoad(""))
    started_ms: int = 1
    sequence: int = 0
    frozen: bool = False
    owners_checked_at: float = float("-inf")
    # Events that are due once the host is no longer frozen.
    held_events: list = attrs.field(factory=list)
    # Buckets of the ways without owners, by server.
    own_buckets: dict = attrs.field(factory=dict)

    @property
    def address(self):
        """Return the address, which is the host id."""
        return self.settings.host_id


@attrs.define
class Server:
    """A backend server, what it names and what it got."""

    entry: ServerEntry
    limit: float | None = None
    # (time, address of the host) of each request.
    arrivals: list = attrs.field(factory=list)


@attrs.define
class _Request:
    host: Host
    batch: bool
    asked_at: float
    avoid: set = attrs.field(factory=set)
    # Answers of owners that were waited for.
    attempts: int = 0


class _Announcer:
    def __init__(self, announce):
        self.announce = announce


class LimitFleet:
    """Hosts and servers in simulated time; `way` is how limits are kept."""

    def __init__(self, hosts=12, servers=9, domains=3, seed=1, way="owners"):
        self.way = way
        self.clock = _Clock()
        self.rng = random.Random(seed)
        self.metrics = GatewayMetrics()
        self.lost_share = 0.0
        self.cut = lambda _one, _other: False
        self.messages = 0
        self.asked = 0
        self.waits = []
        self.refused = 0
        self._events = []
        self._order = itertools.count()
        self.servers = {}
        for number in range(servers):
            server_id = f"s{number}"
            entry = ServerEntry(
                server_id, SERVICE, "", f"d{number % domains}", SLOTS, False, 1
            )
            self.servers[server_id] = Server(entry)
        self.hosts = {}
        self._domains = domains
        self._status_s = (
            STATUS_INTERVAL_S if hosts <= SMALL_FLEET else LARGE_STATUS_INTERVAL_S
        )
        for number in range(hosts):
            self.start(host_address(number))
        for address in self.hosts:
            self._send_status(address)

    def _candidate(self, address):
        domain = f"d{host_number(address) % self._domains}"
        return OwnerCandidate(address, domain, address)

    def start(self, address):
        """Start a host that knows nothing of an earlier run of it."""
        candidate = self._candidate(address)
        host = Host(
            _Settings(address, candidate.failure_domain),
            self.clock,
            self.rng,
            self.metrics,
            ServerList(),
            Ownership(candidate),
            PeerTable(address),
            started_ms=1 + round(self.clock.now * 1000),
        )
        for number, server in enumerate(self.servers.values()):
            host.servers.apply(server.entry.server_id, number, server.entry, 0.0)
        host.announcer = _Announcer(lambda: self._send_status(address))
        pool_map = PoolMap(host.ownership, host.servers.all_entries)

        def send(to, message):
            self._send(host, to, message)

        host.slots.client = SlotClient(host, pool_map, send, host.started_ms)
        host.slots.owner = PoolOwner(host, pool_map, send)
        self.hosts[address] = host
        self._every(host, TICK_S, self._tick)
        self._every(host, self._status_s, lambda host: self._send_status(address))
        return host

    def kill(self, address, down_s):
        """Kill a host; it starts again after some seconds."""
        del self.hosts[address]
        self.at(self.clock.now + down_s, self.start, address)

    def freeze(self, address, seconds):
        """Let a host stand still; what is due then happens afterwards."""
        host = self.hosts[address]
        host.frozen = True
        self.at(self.clock.now + seconds, self._wake, host)

    def _wake(self, host):
        host.frozen = False
        events, host.held_events = host.held_events, []
        for call, arguments in events:
            call(*arguments)

    def at(self, time, call, *arguments):
        """Call a function at a simulated time."""
        heapq.heappush(self._events, (time, next(self._order), call, arguments))

    def _every(self, host, interval_s, call):
        def step():
            if self.hosts.get(host.address) is host:
                self._do(host, call, host)
                self.at(self.clock.now + interval_s, step)

        self.at(self.clock.now + self.rng.uniform(0.0, interval_s), step)

    def _do(self, host, call, *arguments):
        """Call a function of a host, or later if the host is frozen."""
        if host.frozen:
            host.held_events.append((call, arguments))
        elif self.hosts.get(host.address) is host:
            call(*arguments)

    def run(self, until):
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.clock.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.clock.now = until

    # Messages between hosts.

    def _send(self, sender, to, message):
        local = sender.address == to
        if not local:
            self.messages += 1
            if self.cut(sender.address, to) or self.rng.random() < self.lost_share:
                return
        copy = attrs.evolve(message)
        self.at(self.clock.now + DELAY_S, self._deliver, to, copy, sender.address)

    def _deliver(self, to, message, sender):
        host = self.hosts.get(to)
        if host is not None:
            self._do(host, self._receive, host, message, sender)

    def _receive(self, host, message, sender):
        host.slots.owner.receive(message, sender, self.clock.now)
        host.slots.client.receive(message, sender, self.clock.now)

    def _send_status(self, address):
        host = self.hosts.get(address)
        if host is None:
            return
        host.sequence += 1
        status = HostStatus(
            host_id=address,
            started_ms=host.started_ms,
            sequence=host.sequence,
            failure_domain=host.settings.failure_domain,
            address=address,
            **limit_exchange.status_fields(host.limits, self.clock.now),
        )
        for other in self.hosts:
            if other == address or self.cut(address, other):
                continue
            if self.rng.random() >= self.lost_share:
                delay_s = DELAY_S * self.rng.uniform(1.0, 3.0)
                self.at(self.clock.now + delay_s, self._deliver_status, other, status)

    def _deliver_status(self, to, status):
        host = self.hosts.get(to)
        if host is not None:
            self._do(host, self._apply_status, host, status)

    def _apply_status(self, host, status):
        now = self.clock.now
        is_known = host.table.is_alive(status.host_id, now)
        if host.table.update(status, now) is None:
            return
        if not is_known:
            host.owners_checked_at = float("-inf")
        limit_exchange.apply_status(host, status, now)

    def _update_owners(self, host):
        now = self.clock.now
        alive = {peer.host_id for peer in host.table.alive(now)}
        others = [
            attrs.evolve(
                self._candidate(peer.host_id), is_responsive=peer.host_id in alive
            )
            for peer in host.table.not_leaving(now)
        ]
        if host.ownership.set_hosts(others, host.table.known_count(now) + 1):
            host.slots.on_owners_changed()

    def _tick(self, host):
        if self.clock.now - host.owners_checked_at >= self._status_s / 5:
            host.owners_checked_at = self.clock.now
            self._update_owners(host)
        host.slots.owner.tick(self.clock.now)
        host.slots.client.tick(self.clock.now)

    # Requests.

    def load(self, per_s, seconds, start=0.0, *, batch=False):
        """Schedule Poisson arrivals at random hosts."""
        time = start + self.rng.expovariate(per_s)
        while time < start + seconds:
            self.at(time, self._arrive, batch)
            time += self.rng.expovariate(per_s)

    def _arrive(self, batch):
        addresses = sorted(
            address for address, host in self.hosts.items() if not host.frozen
        )
        if addresses:
            self.asked += 1
            host = self.hosts[self.rng.choice(addresses)]
            self._ask(_Request(host, batch, self.clock.now))

    def _ask(self, request):
        if self.way != "owners":
            self._choose_alone(request)
            return
        client = request.host.slots.client
        waits_until = request.asked_at + PATIENCE_S
        pending = client.submit(
            SERVICE,
            lambda result: self._on_result(request, result),
            batch=request.batch,
            start_by=request.asked_at + 0.2,
            give_up_at=float("inf") if request.batch else waits_until,
        )
        if not request.batch:
            self._later(ANSWER_TIMEOUT_S, request.host, self._check, request, pending)
            self._later(PATIENCE_S, request.host, client.cancel, pending)

    def _later(self, delay_s, host, call, *arguments):
        self.at(self.clock.now + delay_s, self._do, host, call, *arguments)

    def _check(self, request, pending):
        """Repeat a request that no owner answers, then ask the next owner."""
        client = request.host.slots.client
        if pending.answered.is_set() or not client.is_pending(pending):
            return
        request.attempts += 1
        if request.attempts % ANSWER_ATTEMPTS:
            client.repeat(pending)
            self._later(ANSWER_TIMEOUT_S, request.host, self._check, request, pending)
            return
        client.cancel(pending)
        client.suspect_owner(pending.owner, "no answer")
        if request.attempts < 2 * ANSWER_ATTEMPTS:
            self._ask(request)
            return
        self._choose_alone(request)

    def _choose_alone(self, request):
        """Send to a random server that has no limit, or as the way allows."""
        host = request.host
        names = sorted(self.servers)
        self.rng.shuffle(names)
        for name in names:
            server = self.servers[name]
            rate = host.limits.rate_of(server.entry)
            if rate is None or self._allows(host, server, rate):
                self._send_request(request, server, None)
                return
        self.refused += 1

    def _allows(self, host, server, rate):
        if self.way == "owners":
            return False
        if self.way == "each host for itself":
            return self._take(host.own_buckets, server, rate)
        if self.way == "equal shares of the hosts":
            return self._take(host.own_buckets, server, rate / len(self.hosts))
        peers = [
            other
            for other in sorted(self.hosts)
            if self._candidate(other).failure_domain == host.settings.failure_domain
        ]
        buckets = self.hosts[peers[0]].own_buckets
        return self._take(buckets, server, rate / self._domains)

    def _take(self, buckets, server, rate):
        bucket = buckets.setdefault(server.entry.server_id, RateBucket())
        return bucket.take(rate, self.clock.now, 1.0) == 0.0

    def _on_result(self, request, result):
        host = request.host
        if not isinstance(result, Lease):
            self.refused += 1
            return
        entry = find_by_key(host.servers.all_entries(), result.server_key)
        self._send_request(request, self.servers[entry.server_id], result)

    def _send_request(self, request, server, lease):
        host = request.host
        now = self.clock.now
        limited = host.limits.rate_of(server.entry) is not None
        if self.way == "owners" and limited and not is_paced(lease, now):
            limit_exchange.record_unpaced(host, server.entry)
            host.slots.client.release(lease, SlotOutcome.UNUSED)
            self._ask(request)
            return
        server.arrivals.append((now, host.address))
        self.waits.append(now - request.asked_at)
        attempt = _Attempt(server.entry, now)
        head = _Head(server.limit)
        self._later(ANSWER_DELAY_S, host, self._answer, host, attempt, head)
        if lease is not None:
            self._later(RUN_S, host, host.slots.client.release, lease)

    def _answer(self, host, attempt, head):
        if head.limit is not None or host.limits:
            limit_exchange.record_answer(host, attempt, head)

    # Results.

    def fullest_window(self, server, since):
        """Return the most requests in a window that begins after a time."""
        times = [time for time, _ in server.arrivals if time >= since]
        return max(
            (
                bisect.bisect_left(times, time + WINDOW_S) - index
                for index, time in enumerate(times)
            ),
            default=0,
        )

    def excess(self, since):
        """Return by how many requests the worst window exceeds its bound."""
        return max(
            self.fullest_window(server, since)
            - (OVERSHOOT * WINDOW_S * server.limit + SLACK)
            for server in self.servers.values()
            if server.limit is not None
        )

    def used(self, since, until):
        """Return the least share of its limit that a limited server got."""
        return min(
            sum(since <= time < until for time, _ in server.arrivals)
            / (server.limit * (until - since))
            for server in self.servers.values()
            if server.limit
        )


@attrs.frozen
class _Attempt:
    server: ServerEntry
    sent_at: float


class _Head:
    not_run = False

    def __init__(self, limit):
        self.limit = None if limit is None else NamedLimit(str(limit), limit)


WAYS = (
    "each host for itself",
    "equal shares of the hosts",
    "equal shares of the domains",
    "owners",
)


def simulate(way, hosts, servers, limited, limit, per_s, seconds=20.0):
    """Return a LimitFleet after a load under which servers name a limit."""
    fleet = LimitFleet(hosts, servers, way=way)
    for server in list(fleet.servers.values())[:limited]:
        server.limit = limit
    fleet.load(per_s, seconds)
    fleet.run(seconds)
    return fleet


def main():
    """Print the table of the ways."""
    print("hosts | way | over | used | p99 wait ms | refused | messages a request")
    for hosts, servers, per_s in ((12, 9, 45.0), (84, 45, 225.0), (300, 47, 235.0)):
        for way in WAYS:
            fleet = simulate(way, hosts, servers, servers * 2 // 3, 2.5, per_s)
            waits = sorted(fleet.waits)
            print(
                f"{hosts} | {way} | {fleet.excess(STABLE_S):+.0f}"
                f" | {fleet.used(STABLE_S, 20.0):.2f}"
                f" | {waits[len(waits) * 99 // 100] * 1000:.0f}"
                f" | {fleet.refused / fleet.asked:.3f}"
                f" | {fleet.messages / fleet.asked:.1f}"
            )


if __name__ == "__main__":
    main()
