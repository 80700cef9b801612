"""Batch slots of the servers whose slot owner this host is."""

from galenascale.batch.slots import BatchSlots, BatchStream, streams_to_cancel
from galenascale.errors import PeerError
from galenascale.generated.messages import GiveWayReply, GiveWayRequest
from galenascale.logs import get_logger

log = get_logger("slots")

GIVE_WAY_TIMEOUT_S = 0.5


class BatchCapacity:
    """Free batch slots, and the way back when online requests need them."""

    def __init__(self, host_id, config, online, peering, clock):
        self._host_id = host_id
        self._config = config
        self._online = online
        self._peering = peering
        self._clock = clock
        self._slots_by_server = {}
        # Set by the host once the worker exists.
        self.worker = None

    def services(self):
        """Return the names of the services that have servers."""
        return list(self._config.current.services_by_name)

    def free_slots(self, service):
        """Return (server, free batch slots) of the owned servers."""
        result = []
        declared = self._config.current.services_by_name.get(service)
        for server in self._config.current.servers_by_id.values():
            if server.service_name != service or not self._owns(server):
                continue
            free = self._allowed(server, declared) - self.worker.running(server.name)
            if free > 0:
                result.append((server, free))
            elif free < 0:
                self.cancel(server.name, -free)
        return result

    def _owns(self, server):
        return self._peering.slot_owner(server) == self._host_id

    def _allowed(self, server, service):
        router = self._online.dispatcher(service.name).router
        if not router.takes_work(server.name):
            return 0
        slots = self._slots_by_server.setdefault(server.name, BatchSlots())
        return slots.allowed(
            self._clock.monotonic(),
            server.slots,
            router.online_load(server.name),
            service.batch_reserve,
        )

    def started(self, service, server_id):
        """Count a batch stream; reports would show it as online work."""
        router = self._online.dispatcher(service).router
        router.started(server_id, self._clock.monotonic(), batch=True)

    def ended(self, service, server_id):
        """Count the end of a batch stream."""
        router = self._online.dispatcher(service).router
        router.ended(server_id, self._clock.monotonic(), batch=True)

    def cancel(self, server_id, count):
        """Interrupt batch streams, the cheapest to resume first."""
        items_by_id = {}
        streams = []
        for item in self.worker.running_items(server_id):
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
        return self.worker.give_way(server_id, items)

    async def give_way(self, server_id, count):
        """Free batch slots of a server, possibly at a peer that owns them."""
        server = self._config.current.servers_by_id.get(server_id)
        if server is None:
            return
        owner = self._peering.slot_owner(server)
        if owner in (None, self._host_id):
            self.cancel(server_id, count)
            return
        request = GiveWayRequest(server_id, count, self._host_id)
        try:
            await self._peering.peers.call(
                owner, "give_way", request, GiveWayReply, GIVE_WAY_TIMEOUT_S
            )
        except PeerError as error:
            log.warning("Owner %s of %s did not give way: %s.", owner, server_id, error)

    async def handle_give_way(self, request):
        """Answer a peer's GiveWayRequest."""
        return GiveWayReply(self.cancel(request.server_id, request.slots))
