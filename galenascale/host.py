"""One entry host, built from settings, that owns what must be closed."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web

from galenascale.clock import Clock
from galenascale.config_follower import ConfigFollower
from galenascale.http_api import make_app
from galenascale.log_client import LogClient
from galenascale.logs import get_logger

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
        self.config = ConfigFollower(
            log_client,
            self.clock,
            settings.log.config_poll_s,
            settings=settings.log,
        )
        self._run(self.config.run())
        runner = web.AppRunner(make_app(self))
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, settings.listen_address, settings.port)
        await site.start()
        self.port = runner.addresses[0][1]
        log.info("Listening on port %d.", self.port)

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
