"""Sends many datagrams in slices, so that they do not overflow a link.

Links drop datagrams once their buffers are full. Those at the end of a burst
are lost first, and bursts of statuses list the hosts in the same order each
time, so without pauses the same hosts would miss every round.
"""

import asyncio
import collections

# Bytes sent at once. Small compared to the buffers of usual links.
MIN_SLICE_BYTES = 16 * 1024
# Seconds between two slices. With it, slices fill links of 13 Mbit/s.
PAUSE_S = 0.01
# Longest delay of a datagram in seconds. More bytes than fit in this time are
# sent in larger slices.
MAX_DELAY_S = 0.4


class PacedSender:
    """Sends datagrams in their order, with pauses between slices of them."""

    def __init__(self, send):
        # Called with an address and the bytes of a datagram.
        self._send = send
        self._pending = collections.deque()
        self._slice_bytes = MIN_SLICE_BYTES
        self._timer = None
        # Loop time in seconds of the next slice, at the earliest.
        self._next_slice_at = 0.0

    def send(self, datagrams):
        """Send (address, bytes) pairs, the first slice immediately."""
        self._pending.extend(datagrams)
        self._start()

    def send_first(self, datagrams):
        """Send (address, bytes) pairs before those that wait."""
        self._pending.extendleft(reversed(list(datagrams)))
        self._start()

    def _start(self):
        size = sum(len(data) for _, data in self._pending)
        self._slice_bytes = max(MIN_SLICE_BYTES, size * PAUSE_S / MAX_DELAY_S)
        if self._timer is None:
            self._send_when_allowed()

    def _send_when_allowed(self):
        loop = asyncio.get_running_loop()
        wait_s = self._next_slice_at - loop.time()
        if wait_s > 0:
            self._timer = loop.call_later(wait_s, self._send_slice)
        else:
            self._send_slice()

    def _send_slice(self):
        size = 0
        while self._pending and size < self._slice_bytes:
            address, data = self._pending.popleft()
            size += len(data)
            self._send(address, data)
        self._timer = None
        self._next_slice_at = asyncio.get_running_loop().time() + PAUSE_S
        if self._pending:
            self._send_when_allowed()

    def close(self):
        """Drop what was not sent yet."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._pending.clear()
