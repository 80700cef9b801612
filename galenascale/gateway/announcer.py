"""Broadcasts the status of a host when the others should hear news at once."""

import asyncio

# Shortest time in seconds between two broadcasts.
MIN_INTERVAL_S = 0.1
# Most datagrams per second; broadcasts become rarer as the fleet grows.
MAX_DATAGRAMS_PER_S = 1000


class DelayedCall:
    """Calls a function once for all requests made until then."""

    def __init__(self, function):
        self._function = function
        self._timer = None

    def request(self, delay_s):
        """Call the function in `delay_s` seconds, unless it is due anyway."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._run)

    def _run(self):
        self._timer = None
        self._function()

    def cancel(self):
        """Forget all requests."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class Announcer:
    """Limits how often a host broadcasts its status."""

    def __init__(self, clock, broadcast):
        self._clock = clock
        # Sends the status to all hosts; returns the number of datagrams.
        self._broadcast = broadcast
        self._earliest_at = float("-inf")
        self._call = DelayedCall(self._announce)

    def announce(self):
        """Broadcast the status now, or some time after the last broadcast."""
        self._call.request(max(0.0, self._earliest_at - self._clock.monotonic()))

    def _announce(self):
        count = self._broadcast()
        interval_s = max(MIN_INTERVAL_S, count / MAX_DATAGRAMS_PER_S)
        self._earliest_at = self._clock.monotonic() + interval_s

    def close(self):
        """Cancel a broadcast that is due."""
        self._call.cancel()
