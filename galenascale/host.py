"""One entry host, built from settings, that owns what must be closed."""

import asyncio
import contextlib

import aiohttp

from galenascale.clock import Clock
from galenascale.config_follower import ConfigFollower
from galenascale.engine_client import EngineClient
from galenascale.http_api import ApiContext, make_app, start_listener
from galenascale.log_client import LogClient
from galenascale.logs import get_logger
from galenascale.metrics import Metrics
from galenascale.online_direct import DirectOnline
from galenascale.tenants import Tenants
from galenascale.tls import ServerTls

log = get_logger("host")


class Host:
    """An entry host that serves callers from start() until stop()."""

    def __init__(self, settings, clock):
        self.settings = settings
        self.clock = clock
        self.ready = False
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
        engine_client = EngineClient(self.session, self.clock)
        self.online = DirectOnline(self.config, engine_client)
        tenants = Tenants(settings.operator_key_digests)
        self.config.subscribe(tenants.install)
        self.metrics = Metrics()
        context = ApiContext(
            self.online,
            self.config,
            tenants,
            self.metrics,
            settings.limits,
            self.clock,
            self.is_ready,
        )
        tls_context = None
        if settings.tls.certificate:
            tls = ServerTls(settings.tls, self.clock)
            tls_context = tls.context
            self._run(tls.run())
        self.port = await self._stack.enter_async_context(
            start_listener(
                make_app(context),
                settings.listen_address,
                settings.port,
                settings.limits,
                tls_context,
            )
        )
        log.info("Listening on port %d.", self.port)

    def is_ready(self):
        """Return whether requests are taken: a configuration is in force."""
        return self.config.current.version >= 0

    def _run(self, coroutine):
        task = asyncio.create_task(coroutine)

        async def cancel():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self._stack.push_async_callback(cancel)

    async def stop(self):
        """Close everything."""
        self.ready = False
        await self._stack.aclose()
        log.info("Stopped.")
