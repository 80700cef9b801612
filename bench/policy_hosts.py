"""Entry hosts of the policy benchmark: the real decision code and its wiring.

Admission, Router, BatchCapacity, BatchSlots, streams_to_cancel and ReadyItems
are those of the package. What the host does around them with asyncio and
sockets is replaced by events of the simulation.
"""

import random
import types

import attrs

from galenascale.admission import Admission, Ticket
from galenascale.batch.capacity import BatchCapacity
from galenascale.batch.held import ReadyItems
from galenascale.batch.worker import FILL_INTERVAL_S
from galenascale.hashing import rendezvous_rank
from galenascale.routing import Router, RouteRequest
from galenascale.server_view import ServerView

GOSSIP_S = 0.25
GOSSIP_FANOUT = 3
LOAD_POLL_S = 0.25
TENANTS = 8
DEADLINE_S = 60.0
SERVICE = "service"
DOMAIN = "domain"


@attrs.define(eq=False)
class Item:
    """A batch item in the form that BatchCapacity looks at."""

    work: object
    chunk: object = types.SimpleNamespace(grant=types.SimpleNamespace(idempotent=True))
    tokens: int = 0
    attempts: int = 0
    last_server: str = ""
    interrupted_at: float = 0.0

    @property
    def key(self):
        """Identify the item."""
        return self.work.number


class Host:
    """One entry host."""

    def __init__(self, fleet, host_id):
        self.fleet = fleet
        self.host_id = host_id
        self.simulation = fleet.simulation
        self.admission = Admission()
        self.router = Router(DOMAIN, random.Random(f"{fleet.seed}/{host_id}"))
        self.router.batch_reserve = fleet.service.batch_reserve
        self.router.set_servers(fleet.routed, 0.0)
        self._waiting = {}
        self.worker = Worker(self)
        self.capacity = BatchCapacity(
            host_id,
            types.SimpleNamespace(current=fleet.config),
            types.SimpleNamespace(dispatcher=lambda service: self),
            types.SimpleNamespace(
                slot_owner=fleet.slot_owner,
                peers=self,
                membership=types.SimpleNamespace(servers=ServerView()),
            ),
            self.simulation,
        )
        self.capacity.worker = self.worker

    async def call(self, owner, method, message, reply_type, timeout_s):
        """Carry a GiveWayRequest to a peer, as Peers.call does."""
        peer = self.fleet.hosts_by_id[owner]
        self.simulation.after(
            self.fleet.latency_s,
            lambda: _run(peer.capacity.handle_give_way(message)),
        )

    def arrive(self, work, log):
        """Take an online request; `log` is its RequestLog."""
        ticket = Ticket(
            f"o{work.number}",
            f"tenant-{work.number % TENANTS}",
            self.simulation.now + DEADLINE_S,
        )
        self._waiting[ticket] = (work, log)
        self.admission.offer(ticket, self.simulation.now)
        self.pump()

    def pump(self):
        """Start the requests for which there is capacity."""
        now = self.simulation.now
        while taken := self.admission.start_next(now, self._fits):
            ticket, choice = taken
            self._dispatch(ticket, choice, *self._waiting.pop(ticket))

    def _fits(self, ticket):
        work, _ = self._waiting[ticket]
        prefix = None if work.prefix is None else work.prefix * 7919
        return self.router.choose(RouteRequest(prefix_hash=prefix), self.simulation.now)

    def _dispatch(self, ticket, choice, work, log):
        server_id = choice.server.name
        self.fleet.servers_by_id[server_id].need_slot()
        self.router.note_started(server_id, self.simulation.now)
        self._tell_owner(server_id, choice.batch_slots_to_free)

        def on_token(token):
            log.token(self.simulation.now)
            if token.final:
                self.router.note_ended(server_id, self.simulation.now)
                self._tell_owner(server_id)
                self.admission.finish(ticket)
                self.pump()

        server = self.fleet.servers_by_id[server_id]
        server.submit(ticket.request_id, work, 0, on_token, is_batch=False)

    def _tell_owner(self, server_id, count=0):
        if self.fleet.gives_way and (
            count or self.router.may_have_batch(server_id, self.simulation.now)
        ):
            self.fleet.figures.notices += 1
            _run(self.capacity.give_way(server_id, count))

    def gossip(self):
        """Exchange loads with a few peers, in both directions."""
        others = [host for host in self.fleet.hosts if host is not self]
        for peer in self.fleet.rng.sample(others, min(GOSSIP_FANOUT, len(others))):
            for sender, receiver in ((self, peer), (peer, self)):
                loads = sender.router.digest()
                self.simulation.after(
                    self.fleet.latency_s,
                    lambda s=sender, r=receiver, v=loads: r.hear(s.host_id, v),
                )

    def hear(self, peer_id, loads):
        """Take over the digest of a peer."""
        self.router.note_peer_loads(peer_id, loads, self.simulation.now)
        self.pump()

    def poll(self):
        """Read the load reports, which arrive after their lag."""
        for server in self.fleet.servers_by_id.values():
            report = server.report()
            lag_s = server.model.settings.load_report_lag_s
            self.simulation.after(lag_s, lambda report=report: self._report(report))

    def _report(self, report):
        simulation = self.simulation
        self.router.note_load_report(report, simulation.now, simulation.wall_ms())
        self.pump()


class Worker:
    """Batch streams on the servers whose slots a host owns."""

    def __init__(self, host):
        self._host = host
        self._ready = ReadyItems()
        # Attempts by item, by server id.
        self._runs_by_server = {}

    def running(self, server_id):
        """Return the number of batch streams on a server."""
        return len(self._runs_by_server.get(server_id, ()))

    def running_items(self, server_id):
        """Return the items that run on a server."""
        return list(self._runs_by_server.get(server_id, ()))

    def wake(self):
        """Fill soon, as BatchWorker.wake does."""
        self._host.simulation.after(0.0, self.fill)

    def fill(self):
        """Start items in the free batch slots."""
        for server, count in self._host.fleet.batch_slots(self._host):
            for _ in range(count):
                self._start(server.name)

    def _start(self, server_id):
        host, fleet = self._host, self._host.fleet
        item = self._ready.take(SERVICE, server_id, host.simulation.now) or Item(
            next(fleet.items)
        )
        item.attempts += 1
        host.capacity.started(SERVICE, server_id)
        fleet.figures.batch_starts += 1

        def on_token(token):
            item.tokens += 1
            fleet.figures.batch_tokens += 1
            if token.final:
                del self._runs_by_server[server_id][item]
                host.capacity.ended(SERVICE, server_id)
                fleet.figures.batch_items += 1
                self.fill()

        if item.attempts > 1 and item.last_server != server_id:
            fleet.figures.prefilled_again += item.work.prompt + item.tokens
        attempt = fleet.servers_by_id[server_id].submit(
            f"b{item.key}/{item.attempts}", item.work, item.tokens, on_token, True
        )
        self._runs_by_server.setdefault(server_id, {})[item] = attempt

    def give_way(self, server_id, items):
        """Interrupt items, as BatchWorker.give_way does."""
        host, figures = self._host, self._host.fleet.figures
        for item in items:
            attempt = self._runs_by_server[server_id].pop(item)
            host.capacity.ended(SERVICE, server_id)
            figures.interrupted += 1
            host.fleet.servers_by_id[server_id].cancel(attempt)
            # Tokens on their way are lost.
            figures.tokens_lost += attempt.stream.generated - item.tokens
            self._ready.put_back(SERVICE, item, server_id, host.simulation.now)
        return len(items)


def owner_of(host_ids, server_id):
    """Return the owner of a server's slots by rendezvous hashing."""
    return rendezvous_rank(f"server\0{server_id}\0{DOMAIN}", host_ids)[0]


def start_clocks(fleet):
    """Let each host gossip, poll and fill at times of its own."""
    for number, host in enumerate(fleet.hosts):
        offset = number / len(fleet.hosts)
        fleet.simulation.every(GOSSIP_S, host.gossip, offset * GOSSIP_S)
        fleet.simulation.every(LOAD_POLL_S, host.poll, offset * LOAD_POLL_S)
        fleet.simulation.every(
            FILL_INTERVAL_S, host.worker.fill, offset * FILL_INTERVAL_S
        )


def _run(coroutine):
    """Run a coroutine that waits for nothing to its end."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise RuntimeError("coroutine waits for something")
