"""One entry host, built from settings, that owns what must be closed."""

import asyncio
import contextlib
import secrets

import aiohttp

from galenascale import host_methods, host_parts
from galenascale.clock import Clock
from galenascale.engine_client import EngineClient
from galenascale.host_metrics import register_gauges
from galenascale.log_client import LogClient
from galenascale.logs import get_logger
from galenascale.metrics import Metrics
from galenascale.peering import Peering
from galenascale.platform.store import StoreClient
from galenascale.stopping import GracefulStop

log = get_logger("host")

DOMAIN_HEADER = "X-Failure-Domain"


class Host:
    """
    An entry host that serves callers from start() until stop().

    `host_parts` builds its parts in the order in which they need each other,
    `host_methods` connects them to the peers.
    """

    def __init__(self, settings, clock):
        self.settings = settings
        self.clock = clock
        self.host_id = settings.host_id
        self.incarnation = secrets.token_hex(8)
        self.metrics = Metrics()
        self.peering = Peering(settings, clock, self.incarnation)
        self.membership = self.peering.membership
        self.stopping = GracefulStop(self)
        self.stack = contextlib.AsyncExitStack()

    @classmethod
    def from_config(cls, settings, clock=None):
        """Return a host with HostSettings; it does nothing before start()."""
        return cls(settings, clock or Clock())

    async def start(self):
        """Start all parts and listen for callers."""
        await self._start_clients()
        await self.peering.start(self.platform_session, self.stack)
        self.peers = self.peering.peers
        host_parts.start_config(self)
        host_parts.start_online(self)
        host_parts.start_outcomes(self)
        host_parts.start_batch(self)
        host_parts.start_placement(self)
        host_methods.register_methods(self)
        register_gauges(self)
        await host_parts.start_listener(self)
        self._start_gossip()
        log.info("Listening on port %d.", self.port)

    async def _start_clients(self):
        settings = self.settings
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        self.platform_session = await self.stack.enter_async_context(
            aiohttp.ClientSession(headers={DOMAIN_HEADER: settings.failure_domain})
        )
        store = StoreClient(
            settings.platform_url,
            self.platform_session,
            settings.log.request_timeout_s,
        )
        self.log_client = LogClient(store)
        self.engine_client = EngineClient(self.session, self.clock)

    def _start_gossip(self):
        host_methods.connect_gossip(self)
        self.run(self.peering.host_list.run())
        self.run(self.peering.gossip.run())
        if self.peering.tls is not None:
            self.run(self.peering.tls.run())
        self.run(self._watch_readiness())

    @property
    def ready(self):
        """Whether the host takes requests."""
        return self.is_ready()

    def is_ready(self):
        """Return whether requests are taken: a configuration is in force."""
        return (
            not self.stopping.started
            and self.config.is_ready()
            and self.fleet_verdicts.is_settled()
        )

    async def _watch_readiness(self):
        while True:
            ready = self.is_ready()
            if self.membership.own.ready != ready:
                self.membership.update_own(ready=ready)
            await self.clock.sleep(self.settings.membership.gossip_s)

    def run(self, coroutine):
        """Run a coroutine in the background until the host is closed."""
        task = asyncio.create_task(coroutine)

        async def cancel():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.stack.push_async_callback(cancel)

    async def stop(self, graceful=True):
        """Finish what runs, hand over what is left and close everything."""
        if graceful and hasattr(self, "port"):
            await self.stopping.run()
        await self.stack.aclose()
        log.info("Stopped.")
