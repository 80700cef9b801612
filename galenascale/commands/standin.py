"""`galenascale standin`: run a stand-in for an external system alone."""

import asyncio

import cyclopts

from galenascale.commands.listening import translate_listen_errors
from galenascale.commands.options import LogFormat
from galenascale.commands.signals import wait_for_stop
from galenascale.generated.messages import (
    EngineStandinSettings,
    PlatformStandinSettings,
)
from galenascale.logs import get_logger, setup_logging
from galenascale.settings import load_settings
from galenascale.standins.engine import EngineStandin
from galenascale.standins.plain_service import PlainServiceStandin
from galenascale.standins.platform import PlatformStandin

log = get_logger("standin")

app = cyclopts.App(name="standin", help="Run a stand-in of an outside system.")


@app.command
def platform(*, settings: str, log_format: LogFormat = "text"):
    """
    Run the platform stand-in: log service, host list and weight store.

    Parameters
    ----------
    settings
        JSON file with the settings of the stand-in.
    """
    _run(PlatformStandin, load_settings(settings, PlatformStandinSettings), log_format)


@app.command
def engine(*, settings: str, log_format: LogFormat = "text"):
    """
    Run one engine stand-in.

    Parameters
    ----------
    settings
        JSON file with the settings of the stand-in.
    """
    _run(EngineStandin, load_settings(settings, EngineStandinSettings), log_format)


@app.command
def plain(*, settings: str, log_format: LogFormat = "text"):
    """
    Run one plain service stand-in.

    Parameters
    ----------
    settings
        JSON file with the settings of the stand-in.
    """
    _run(
        PlainServiceStandin, load_settings(settings, EngineStandinSettings), log_format
    )


def _run(standin_class, settings, log_format):
    setup_logging(log_format=log_format)
    asyncio.run(_serve(standin_class, settings))


async def _serve(standin_class, settings):
    standin = standin_class.from_config(settings)
    try:
        with translate_listen_errors():
            await standin.start()
        log.info("Listening on port %d.", standin.port)
        await wait_for_stop()
    finally:
        await standin.stop()
