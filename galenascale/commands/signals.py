"""Waiting for the signals that stop a process."""

import asyncio
import signal


async def wait_for_stop():
    """Return after SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
