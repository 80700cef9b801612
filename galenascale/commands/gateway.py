"""`galenascale gateway`: run one gateway host."""

import asyncio
import gc
import importlib
import signal

from galenascale.commands.listening import translate_listen_errors
from galenascale.commands.signals import on_stop_signals


def gateway(*, settings: str):
    """
    Run one gateway host until SIGTERM or SIGINT.

    SIGHUP reads the settings again; addresses stay as they are until the next
    start.

    Parameters
    ----------
    settings
        JSON file with the settings of the host.
    """
    _load_modules()
    from galenascale.gateway.settings import load_gateway_settings

    loaded = load_gateway_settings(settings)
    asyncio.run(_serve(settings, loaded))


def make_adapter():
    """Return the adapter of the platform on which gateways run."""
    from galenascale.platform.adapter import PlatformAdapter

    return PlatformAdapter()


def _load_modules():
    """
    Import the modules of a host without garbage collections.

    What they create stays for good, so the collector would look at it in vain,
    during the start and ever after.
    """
    gc.disable()
    for name in ("galenascale.gateway.host", "galenascale.platform.adapter"):
        importlib.import_module(name)
    gc.freeze()
    gc.enable()


async def _serve(path, settings):
    from galenascale.gateway.host import GatewayHost
    from galenascale.gateway.settings import SettingsWatcher

    host = await GatewayHost.from_config(settings, make_adapter())
    stopped = asyncio.Event()
    on_stop_signals(stopped.set, stopped.set)
    with translate_listen_errors():
        await host.start()
    settings_watcher = SettingsWatcher(path, settings, host)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, settings_watcher.reload)
    watch_task = loop.create_task(settings_watcher.watch())
    await stopped.wait()
    watch_task.cancel()
    await host.stop()
