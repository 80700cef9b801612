"""Batch slots of the servers whose slot owner this host is."""

import collections

import attrs

from galenascale.batch.slots import HOLD_S, BatchSlots, BatchStream, streams_to_cancel
from galenascale.errors import PeerError
from galenascale.generated.messages import GiveWayReply, GiveWayRequest
from galenascale.logs import get_logger

log = get_logger("slots")

GIVE_WAY_TIMEOUT_S = 0.5
# Looking through all declared servers is too slow for each round of filling.
OWNED_REFRESH_S = 0.5


class BatchCapacity:
    """Free batch slots, and the way back when online requests need them."""

    def __init__(self, host_id, config, online, peering, clock):
        self._host_id = host_id
        self._config = config
        self._online = online
        self._peering = peering
        self._clock = clock
        self.hold_s = HOLD_S
        self._slots_by_server = {}
        self._owned_by_service = {}
        self._owned_until = 0.0
        # Running batch streams by service.
        self._running = collections.Counter()
        # Called with a service and the number of interrupted streams.
        self.on_interrupted = lambda service, count: None
        # Set by the host once the worker exists.
        self.worker = None

    def services(self):
        """Return the names of the services that have servers."""
        return list(self._config.current.services_by_name)

    def running(self, service):
        """Return the number of batch streams that this host runs."""
        return self._running[service]

    def free_slots(self, service):
        """Return (server, free batch slots) of the owned servers."""
        result = []
        for server in self._owned(service):
            free = self._withdraw(server)
            if free > 0:
                result.append((server, free))
        return result

    def slots(self, service):
        """Return the batch slots of the owned servers, used and free."""
        return sum(self._allowed(server) for server in self._owned(service))

    def started(self, service, server_id):
        """Count a batch stream; reports would show it as online work."""
        self._running[service] += 1
        router = self._online.dispatcher(service).router
        router.note_started(server_id, self._clock.monotonic(), batch=True)

    def ended(self, service, server_id):
        """Count the end of a batch stream."""
        self._running[service] -= 1
        router = self._online.dispatcher(service).router
        router.note_ended(server_id, self._clock.monotonic(), batch=True)

    async def give_way(self, server_id, count):
        """
        Tell the owner of a server's batch slots that online work changed.

        It frees `count` slots or what its own view of the server demands.
        """
        server = self._config.current.servers_by_id.get(server_id)
        if server is None:
            return
        owner = self._peering.slot_owner(server)
        if owner in (None, self._host_id):
            # The change is in the own counts already.
            self._withdraw(server)
            self.worker.wake()
            return
        router = self._online.dispatcher(server.service_name).router
        online = router.own_online(server_id)
        request = GiveWayRequest(server_id, count, self._host_id, online)
        try:
            await self._peering.peers.call(
                owner, "give_way", request, GiveWayReply, GIVE_WAY_TIMEOUT_S
            )
        except PeerError as error:
            log.warning("Owner %s of %s did not give way: %s.", owner, server_id, error)

    async def handle_give_way(self, request):
        """Answer a peer's GiveWayRequest."""
        server = self._config.current.servers_by_id.get(request.server_id)
        if server is None:
            return GiveWayReply(0)
        owner = self._peering.slot_owner(server)
        if owner not in (None, self._host_id) and not request.forwarded:
            # Hosts of other domains know only its representatives.
            return await self._forward(owner, request)
        if request.online_in_flight >= 0:
            self._online.dispatcher(server.service_name).router.note_peer_online(
                server.name,
                request.host_id,
                request.online_in_flight,
                self._clock.monotonic(),
            )
        self.worker.wake()
        before = self.worker.running(server.name)
        return GiveWayReply(min(before, max(0, -self._withdraw(server))))

    async def _forward(self, owner, request):
        request = attrs.evolve(request, forwarded=True)
        return await self._peering.peers.call(
            owner, "give_way", request, GiveWayReply, GIVE_WAY_TIMEOUT_S
        )

    def _withdraw(self, server):
        """Return the free slots; if negative, streams were interrupted."""
        free = self._allowed(server) - self.worker.running(server.name)
        if free < 0:
            self._cancel(server, -free)
        return free

    def _owned(self, service):
        now = self._clock.monotonic()
        if now >= self._owned_until:
            self._owned_until = now + OWNED_REFRESH_S
            self._owned_by_service = collections.defaultdict(list)
            for server in self._config.current.servers_by_id.values():
                if self._peering.slot_owner(server) == self._host_id:
                    self._owned_by_service[server.service_name].append(server)
        return self._owned_by_service.get(service, [])

    def _slots(self, server_id):
        if server_id not in self._slots_by_server:
            self._slots_by_server[server_id] = BatchSlots(self.hold_s)
        return self._slots_by_server[server_id]

    def _allowed(self, server):
        service = self._config.current.services_by_name.get(server.service_name)
        if service is None:
            return 0
        router = self._online.dispatcher(service.name).router
        now = self._clock.monotonic()
        signs = self._peering.membership.servers
        if not router.accepts_work(server.name) or not signs.is_usable(
            now, server.name
        ):
            return 0
        return self._slots(server.name).allowed(
            now,
            server.slots,
            router.online_load(server.name),
            service.batch_reserve,
        )

    def _cancel(self, server, count):
        """Interrupt batch streams, the cheapest to resume first."""
        items_by_id = {}
        streams = []
        for item in self.worker.running_items(server.name):
            attempt_id = f"{item.key}"
            items_by_id[attempt_id] = item
            streams.append(
                BatchStream(
                    attempt_id,
                    generated_tokens=item.tokens,
                    resumable=item.chunk.grant.idempotent,
                )
            )
        chosen = streams_to_cancel(streams, count)
        items = [items_by_id[stream.attempt_id] for stream in chosen]
        count = self.worker.give_way(server.name, items)
        self.on_interrupted(server.service_name, count)
