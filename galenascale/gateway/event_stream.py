"""Incremental parser for server-sent events (SSE) that keeps raw bytes."""

import re

import attrs

from galenascale.errors import BackendError

# Also the limit of comments before an event.
MAX_EVENT_BYTES = 1 << 17
_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
# Length of the longest blank line minus one.
_MAX_PARTIAL_BLANK_LINE_BYTES = 3


@attrs.frozen
class Event:
    """An event with its unchanged bytes, including the final blank line."""

    # Includes comments before the event.
    raw: bytes
    # None if the event has no numeric id.
    event_id: int | None
    data: bytes


class EventStreamParser:
    """
    Splits a byte stream, fed in pieces of any size, into complete events.

    Comments are buffered until the next event, so that a stream without any
    events exceeds MAX_EVENT_BYTES and ends.
    """

    def __init__(self):
        self._pending = b""
        # Leading pending bytes that are complete blocks without an event.
        self._skippable_bytes = 0

    @property
    def pending(self):
        """Return the bytes after the last complete event."""
        return self._pending

    @property
    def is_inside_event(self):
        """Return True if the pending bytes contain a part of an event."""
        lines = self._pending[self._skippable_bytes :].splitlines()
        return any(line and not line.startswith(b":") for line in lines)

    def feed(self, data):
        """
        Return the list of events that are completed by these bytes.

        Raise BackendError if more than MAX_EVENT_BYTES are pending.
        """
        # A blank line may have started in the pending bytes.
        search_from = max(
            self._skippable_bytes, len(self._pending) - _MAX_PARTIAL_BLANK_LINE_BYTES
        )
        data = self._pending + data
        events = []
        start = 0
        whole = self._skippable_bytes
        while found := _BLANK_LINE.search(data, search_from):
            search_from = found.end()
            event_id, event_data = _parse(data[whole:search_from])
            whole = search_from
            # Blocks of comments and blank lines are kept for the next event.
            if event_id is not None or event_data:
                events.append(Event(data[start:whole], event_id, event_data))
                start = whole
        self._pending = data[start:]
        self._skippable_bytes = whole - start
        if len(self._pending) > MAX_EVENT_BYTES:
            raise BackendError(
                f"event with comments has more than {MAX_EVENT_BYTES} bytes",
                code="event_too_large",
            )
        return events


def _parse(raw):
    """Return (id or None, data) of a block of lines."""
    event_id = None
    data = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id" and value.strip().isdigit():
            event_id = int(value)
    return event_id, b"\n".join(data)
