"""`galenascale gateway`: run one host on the users' platform."""

import asyncio
import signal

from galenascale.commands.listening import listen_errors
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
    from galenascale.gateway.settings import load_gateway_settings

    loaded = load_gateway_settings(settings)
    asyncio.run(_serve(settings, loaded))


async def _serve(path, settings):
    from galenascale.gateway.host import GatewayHost
    from galenascale.gateway.settings import SettingsWatcher
    from galenascale.platform.adapter import PlatformAdapter

    host = await GatewayHost.from_config(settings, PlatformAdapter())
    stopped = asyncio.Event()
    on_stop_signals(stopped.set, stopped.set)
    with listen_errors():
        await host.start()
    file = SettingsWatcher(path, settings, host)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, file.reload)
    watch = loop.create_task(file.watch())
    await stopped.wait()
    watch.cancel()
    await host.stop()
