"""Bounded, non-blocking structured log on standard output."""

import asyncio
import collections
import os
import select
import time

import orjson

# Lines buffered for a slow reader; further lines are dropped and counted.
MAX_QUEUED_LINES = 2000
# Bytes that a writable pipe accepts without blocking (POSIX PIPE_BUF).
MAX_WRITE_BYTES = 4096
FLUSH_INTERVAL_S = 0.25
LEVELS = ("debug", "info", "warning", "error")


class JsonLog:
    """
    Buffers JSON lines and writes as many as the descriptor accepts.

    Writing never blocks. If the reader does not keep up, the newest lines are
    dropped, and their number is logged once there is room again.
    """

    def __init__(self, host_id, level="info", descriptor=1):
        self._host_id = host_id
        self._min_level = LEVELS.index(level)
        self._descriptor = descriptor
        self._lines = collections.deque()
        self._partial = b""
        self.dropped = 0

    @property
    def queued_lines(self):
        """Return the number of buffered lines."""
        return len(self._lines)

    def set_level(self, level):
        """Set the lowest level that is logged."""
        self._min_level = LEVELS.index(level)

    def write(self, event, level="info", **fields):
        """Buffer a line for an event with its fields."""
        if LEVELS.index(level) < self._min_level:
            return
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self._append("log_lines_dropped", "warning", {"count": dropped})
        self._append(event, level, fields)

    def _append(self, event, level, fields):
        line = {
            "time": round(time.time(), 4),
            "level": level,
            "host": self._host_id,
            "event": event,
            **fields,
        }
        self._lines.append(orjson.dumps(line, default=str) + b"\n")

    def flush(self):
        """Write as much as the descriptor accepts without blocking."""
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        while self._partial or self._lines:
            ready = poll.poll(0)
            if not ready or not ready[0][1] & select.POLLOUT:
                return
            data = self._take()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader closed the pipe, so the lines cannot be written.
                self._lines.clear()
                self._partial = b""
                return
            self._partial = data[written:] + self._partial
            if written < len(data):
                return

    def _take(self):
        while self._lines and len(self._partial) < MAX_WRITE_BYTES:
            self._partial += self._lines.popleft()
        data = self._partial[:MAX_WRITE_BYTES]
        self._partial = self._partial[MAX_WRITE_BYTES:]
        return data

    async def run(self):
        """Flush the buffer periodically until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            if self._lines or self._partial:
                self.flush()
