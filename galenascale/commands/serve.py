"""`galenascale serve`: run one entry host."""

import asyncio

from galenascale.commands.listening import translate_listen_errors
from galenascale.commands.options import LogFormat
from galenascale.commands.signals import on_stop_signals
from galenascale.host import Host
from galenascale.logs import setup_logging
from galenascale.settings import load_settings


def serve(*, settings: str, log_format: LogFormat | None = None):
    """
    Run one entry host until SIGTERM or SIGINT.

    A second signal ends the graceful stop at once.

    Parameters
    ----------
    settings
        JSON file with the settings of the host.
    log_format
        Form of the log lines, text or json, in place of the settings' one.
    """
    loaded = load_settings(settings)
    setup_logging(loaded.log_level, log_format or loaded.log_format)
    asyncio.run(_serve(loaded))


async def _serve(settings):
    host = Host.from_config(settings)
    stopped = asyncio.Event()
    on_stop_signals(stopped.set, host.stopping.hurry)
    try:
        with translate_listen_errors():
            await host.start()
        await stopped.wait()
    finally:
        await host.stop()
