"""Handlers for the signals that stop a process."""

import asyncio
import signal


def on_stop_signals(on_first, on_repeat):
    """Call `on_first` at the first SIGTERM or SIGINT, then `on_repeat`."""
    pending = [on_first]

    def handle():
        (pending.pop() if pending else on_repeat)()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle)


async def wait_for_stop():
    """Return after SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    on_stop_signals(stopped.set, stopped.set)
    await stopped.wait()
