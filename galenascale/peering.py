"""Peer listener, gossip and host list of one entry host."""

import asyncio

from galenascale.errors import GalenascaleError
from galenascale.generated.messages import (
    CallStatusReply,
    CallStatusRequest,
    Empty,
    HostInfo,
)
from galenascale.hashing import rendezvous_owner
from galenascale.host_list import HostList
from galenascale.logs import get_logger
from galenascale.membership import Membership
from galenascale.peers import Gossip, Peers, PeerServer
from galenascale.peers.auth import Signer
from galenascale.peers.exchange import Exchange
from galenascale.tls import ReloadedTls, make_peer_contexts

log = get_logger("peers")

TELL_TIMEOUT_S = 1.0
# Peers asked whether this host's time is right, before it counts as wrong.
MAX_TIME_WITNESSES = 3
TIME_WITNESS_TIMEOUT_S = 1.0


class Peering:
    """What a host needs to know its peers and to be known by them."""

    def __init__(self, settings, clock, incarnation):
        self.settings = settings
        self.clock = clock
        self.membership = Membership(
            HostInfo(
                host_id=settings.host_id,
                incarnation=incarnation,
                failure_domain=settings.failure_domain,
                url=settings.url,
                generation=clock.wall_ms(),
            ),
            settings.membership.dead_after_s,
            settings.seed_peers,
        )
        self._signer = Signer(settings.host_id, settings.peer_secret.encode(), clock)
        contexts = make_peer_contexts(settings.peer_tls)
        server_tls, self._client_tls = contexts
        self.tls = None
        if settings.peer_tls.certificate:
            self.tls = ReloadedTls(settings.peer_tls, clock, contexts)
        self.server = PeerServer(self._signer, server_tls)
        self.exchange = Exchange(self.membership)
        self.gossip = None

    def register(self, name, request_type, reply_type, handler):
        """Serve a peer method with `async (message) -> reply`."""

        async def handle(_, message):
            return await handler(message)

        self.server.register(name, request_type, reply_type, handle)

    async def start(self, session, stack):
        """Listen for peers; gossip starts later with start_gossip()."""
        settings = self.settings
        self.peers = Peers(
            session, self._signer, self.membership.peer_url, self._client_tls
        )
        self.peers.on_refused = lambda host_id: self.membership.host_failed(
            self.clock.monotonic(), host_id
        )
        await self.server.start(stack, settings.listen_address, settings.peer_port)
        scheme = "https" if settings.peer_tls.certificate else "http"
        address = f"{scheme}://{settings.listen_address}:{self.server.port}"
        self.membership.update_own(peer_url=settings.peer_url or address)
        self.host_list = HostList(
            session,
            settings.platform_url,
            self.membership,
            self.clock,
            settings.membership.host_list_poll_s,
        )
        self.gossip = Gossip(self.exchange, self.peers, self.clock, settings.membership)
        self.gossip.register(self.server)

    def live_ids(self, domain=None):
        """Return the ids of live hosts that are not leaving."""
        hosts = self.membership.live_hosts(self.clock.monotonic(), domain)
        return [host.host_id for host in hosts if host.state == "live"]

    async def clock_agrees(self):
        """
        Return True if a peer accepts this host's time, or none is known.

        Peers refuse calls whose time differs from theirs by more than the
        limit in `peers.auth`, so any answer confirms the time.
        """
        now, own = self.clock.monotonic(), self.settings.host_id
        ids = [item for item in self.live_ids() if item != own]
        # A host whose clock is wrong finds all its peers silent.
        ids += self.membership.contact_candidates(now, self.settings.failure_domain)
        ids = [item for item in ids if item != own][:MAX_TIME_WITNESSES]
        for host_id in ids:
            try:
                await self.peers.call(
                    host_id,
                    "call_status",
                    CallStatusRequest(),
                    CallStatusReply,
                    TIME_WITNESS_TIMEOUT_S,
                )
            except GalenascaleError as error:
                log.info("Peer %s does not confirm the time: %s.", host_id, error)
            else:
                return True
        return not ids

    def is_gone(self, host_id, incarnation):
        """Return True if a known process is dead or was replaced."""
        known = self.membership.known_info(host_id)
        if known is None:
            return False
        view = self.membership.view(self.clock.monotonic())
        return known.incarnation != incarnation or host_id not in view.by_id

    def shard_owner(self, shard):
        """Return the host id of a shard's owner in this host's view."""
        return self.membership.owner_of_shard(self.clock.monotonic(), shard)

    def next_shard_owner(self, shard):
        """Return the host id of the shard's next owner, or None."""
        return self.membership.next_owner_of_shard(self.clock.monotonic(), shard)

    def slot_owner(self, server):
        """Return the host id of the owner of a server's batch slots."""
        return self.membership.slot_owner(
            self.clock.monotonic(), server.name, server.failure_domain
        )

    def placing_host(self, server):
        """
        Return the host id that gives a server orders in this host's view.

        It is one of the server's failure domain, or of any other domain while
        that one has no live host.
        """
        return self.slot_owner(server) or rendezvous_owner(
            f"place\0{server.name}", self.live_ids()
        )

    async def tell_peers(self, method, message):
        """Pass a message on to all live hosts; unreachable ones miss it."""
        ids = [item for item in self.live_ids() if item != self.settings.host_id]
        calls = (
            self.peers.call(host_id, method, message, Empty, TELL_TIMEOUT_S)
            for host_id in ids
        )
        await asyncio.gather(*calls, return_exceptions=True)

    async def tell_leaving(self):
        """Tell peers and the host list that this host takes no new work."""
        self.membership.update_own(state="leaving", ready=False)
        try:
            async with asyncio.timeout(self.settings.membership.dead_after_s):
                await asyncio.gather(self.gossip.tell_all(), self.host_list.announce())
        except (TimeoutError, GalenascaleError) as error:
            log.warning("Leaving was not told to all: %r.", error)
