"""Clocks: the system's, and a fake one for tests."""

import asyncio
import time


class Clock:
    """The system clock."""

    def monotonic(self):
        """Return the seconds of a clock that never goes backwards."""
        return time.monotonic()

    def wall_ms(self):
        """Return the wall time in milliseconds since the Unix epoch."""
        return int(time.time() * 1000)

    async def sleep(self, seconds):
        """Sleep for some seconds."""
        await asyncio.sleep(seconds)

    async def wait_any(self, awaitables, seconds):
        """
        Return once one of the awaitables is done or some seconds have passed.

        Tasks and futures keep running; unfinished coroutines are cancelled.
        """
        caller_futures = {
            item for item in awaitables if isinstance(item, asyncio.Future)
        }
        futures = [asyncio.ensure_future(item) for item in awaitables]
        timer = asyncio.ensure_future(self.sleep(seconds))
        try:
            await asyncio.wait({timer, *futures}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
            for future in futures:
                if future not in caller_futures:
                    future.cancel()


class FakeClock(Clock):
    """A clock that only advances when a test tells it to."""

    def __init__(self, start_s=1000.0):
        self.now_s = start_s
        self._waiters = []

    def monotonic(self):
        return self.now_s

    def wall_ms(self):
        return int(self.now_s * 1000)

    async def sleep(self, seconds):
        future = asyncio.get_running_loop().create_future()
        self._waiters.append((self.now_s + seconds, future))
        await future

    async def advance(self, seconds):
        """Advance by some seconds, waking sleepers in order of deadline."""
        end = self.now_s + seconds
        await self._settle()
        while due := [item for item in self._waiters if item[0] <= end]:
            at, future = min(due, key=lambda item: item[0])
            self._waiters.remove((at, future))
            self.now_s = max(self.now_s, at)
            if not future.done():
                future.set_result(None)
            await self._settle()
        self.now_s = end
        await self._settle()

    async def _settle(self):
        for _ in range(20):
            await asyncio.sleep(0)
