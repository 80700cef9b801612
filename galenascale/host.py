"""One entry host, built from settings, that owns what must be closed."""

import asyncio
import contextlib
import secrets

import aiohttp
from aiohttp import web

from galenascale.clock import Clock
from galenascale.config_follower import ConfigFollower
from galenascale.errors import GalenascaleError
from galenascale.generated.messages import HostInfo
from galenascale.host_list import HostList
from galenascale.http_api import make_app
from galenascale.log_client import LogClient
from galenascale.logs import get_logger
from galenascale.membership import Membership
from galenascale.peers import Gossip, Peers, PeerServer
from galenascale.peers.auth import Signer, make_tls_contexts
from galenascale.peers.exchange import Exchange

log = get_logger("host")


class Host:
    """An entry host that serves callers from start() until stop()."""

    def __init__(self, settings, clock):
        self.settings = settings
        self.clock = clock
        self.ready = False
        self.incarnation = secrets.token_hex(8)
        self.membership = Membership(
            HostInfo(
                host_id=settings.host_id,
                incarnation=self.incarnation,
                failure_domain=settings.failure_domain,
                url=settings.url,
                generation=self.clock.wall_ms(),
            ),
            settings.membership.dead_after_s,
            settings.seed_peers,
        )
        signer = Signer(settings.host_id, settings.peer_secret.encode(), self.clock)
        server_tls, self._client_tls = make_tls_contexts(settings.peer_tls)
        self._signer = signer
        self.peer_server = PeerServer(signer, server_tls)
        self.gossip = None
        self._stack = contextlib.AsyncExitStack()

    @classmethod
    def from_config(cls, settings, clock=None):
        """Return a host with HostSettings; it does nothing before start()."""
        return cls(settings, clock or Clock())

    async def start(self):
        """Start all parts and listen for callers."""
        settings = self.settings
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        log_client = LogClient(
            self.session, settings.platform_url, settings.log.request_timeout_s
        )
        self.config = ConfigFollower(log_client, self.clock, settings.log.config_poll_s)
        self._run(self.config.run())
        await self._start_peers()
        runner = web.AppRunner(make_app(self))
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, settings.listen_address, settings.port)
        await site.start()
        self.port = runner.addresses[0][1]
        if not settings.url:
            url = f"http://{settings.listen_address}:{self.port}"
            self.membership.update_own(url=url)
        self._run(self.host_list.run())
        self.gossip = Gossip(self.exchange, self.peers, self.clock, settings.membership)
        self.gossip.register(self.peer_server)
        self._run(self.gossip.run())
        log.info("Listening on port %d.", self.port)

    def register_peer_method(self, name, request_type, reply_type, handler):
        """Serve a peer method with `async (sender, message) -> reply`."""
        self.peer_server.register(name, request_type, reply_type, handler)

    async def _start_peers(self):
        settings = self.settings
        self.peers = Peers(
            self.session, self._signer, self.membership.peer_url, self._client_tls
        )
        self.peers.on_refused = lambda host_id: self.membership.host_failed(
            self.clock.monotonic(), host_id
        )
        self.exchange = Exchange(
            self.membership,
            config_version=lambda: self.config.current.version,
            config_age_s=self._config_age_s,
        )
        await self.peer_server.start(
            self._stack, settings.listen_address, settings.peer_port
        )
        scheme = "https" if settings.peer_tls.certificate else "http"
        address = f"{scheme}://{settings.listen_address}:{self.peer_server.port}"
        self.membership.update_own(peer_url=settings.peer_url or address)
        self.host_list = HostList(
            self.session,
            settings.platform_url,
            self.membership,
            self.clock,
            settings.membership.host_list_poll_s,
        )

    async def _tell_leaving(self):
        self.membership.update_own(state="leaving", ready=False)
        try:
            async with asyncio.timeout(self.settings.membership.dead_after_s):
                await asyncio.gather(self.gossip.tell_all(), self.host_list.announce())
        except (TimeoutError, GalenascaleError) as error:
            log.warning("Leaving was not told to all: %r.", error)

    def _config_age_s(self):
        """Return the configuration's age for gossip; -1 before any read."""
        read_at = self.config.read_at
        return -1.0 if read_at is None else self.clock.monotonic() - read_at

    def _run(self, coroutine):
        task = asyncio.create_task(coroutine)

        async def cancel():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self._stack.push_async_callback(cancel)

    async def stop(self):
        """Tell peers and the host list, then close everything."""
        self.ready = False
        if self.gossip is not None:
            await self._tell_leaving()
        await self._stack.aclose()
        log.info("Stopped.")
