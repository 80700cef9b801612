"""
Timeouts that a stalled event loop does not let expire early.

After a stall the loop runs the timers that are due before the tasks that the
bytes read meanwhile wake up, so a plain timeout cancels work that the kernel
has already completed.
"""

import asyncio
import contextlib

# Turns of the event loop from the end of a timeout to its expiry. In each of
# them the loop polls the kernel.
POLLS = 8


@contextlib.asynccontextmanager
async def polling_timeout(seconds):
    """
    Raise TimeoutError if the block takes longer than `seconds`.

    Sockets are polled again before that, so what the kernel has completed
    counts, however late the event loop is.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:

        def expire(polls):
            nonlocal handle
            if polls:
                handle = loop.call_soon(expire, polls - 1)
            else:
                timeout.reschedule(loop.time())

        handle = loop.call_later(seconds, expire, POLLS)
        try:
            yield
        finally:
            handle.cancel()
