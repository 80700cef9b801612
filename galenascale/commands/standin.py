"""`galenascale standin`: run a stand-in of an outside system alone."""

import asyncio

import cyclopts
from aiohttp import web

from galenascale.commands.signals import wait_for_stop
from galenascale.generated.messages import (
    EngineStandinSettings,
    PlatformStandinSettings,
)
from galenascale.logs import get_logger, setup_logging
from galenascale.settings import load_settings
from galenascale.standins.engine import EngineStandin
from galenascale.standins.platform import PlatformStandin

log = get_logger("standin")

app = cyclopts.App(help="Run a stand-in of an outside system.")


@app.command
def platform(*, settings: str):
    """
    Run the platform stand-in: log service, host list and weight store.

    Parameters
    ----------
    settings
        JSON file with the settings of the stand-in.
    """
    loaded = load_settings(settings, PlatformStandinSettings)
    setup_logging()
    asyncio.run(_run(PlatformStandin.from_config(loaded), loaded))


@app.command
def engine(*, settings: str):
    """
    Run one engine stand-in.

    Parameters
    ----------
    settings
        JSON file with the settings of the stand-in.
    """
    loaded = load_settings(settings, EngineStandinSettings)
    setup_logging()
    asyncio.run(_run(EngineStandin.from_config(loaded), loaded))


async def _run(standin, settings):
    runner = web.AppRunner(standin.make_app())
    await runner.setup()
    try:
        site = web.TCPSite(runner, settings.listen_address, settings.port)
        await site.start()
        log.info("Listening on port %d.", runner.addresses[0][1])
        await wait_for_stop()
    finally:
        await runner.cleanup()
