"""Structured log lines on standard output, bounded and without blocking."""

import asyncio
import collections
import os
import select
import time

import orjson

# Lines kept for a reader that is slow; later ones are counted and dropped.
MAX_QUEUED_LINES = 2000
# Bytes that a pipe takes without blocking once it is writable (POSIX
# PIPE_BUF).
MAX_WRITE_BYTES = 4096
FLUSH_INTERVAL_S = 0.25
LEVELS = ("debug", "info", "warning", "error")


class JsonLog:
    """
    Collects JSON lines and writes as much as the descriptor takes.

    Writing never waits. A reader that does not keep up loses the newest lines;
    the number of lost lines is written once there is room again.
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
        """Return the number of lines that are not written yet."""
        return len(self._lines)

    def set_level(self, level):
        """Write lines of a level and above from now on."""
        self._min_level = LEVELS.index(level)

    def write(self, event, level="info", **fields):
        """Add a line about an event with the fields that explain it."""
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
        """Write what the descriptor takes at once."""
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
                # The reader is gone for good; there is nobody to tell.
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
        """Write lines until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            if self._lines or self._partial:
                self.flush()
