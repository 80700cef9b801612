"""Whole events of a server-sent event stream, with their ids and bytes."""

import re

import attrs

from galenascale.errors import BackendError

MAX_EVENT_BYTES = 1 << 17
_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
# Bytes of the longest blank line, but for the last.
_MAX_PARTIAL_BLANK_LINE_BYTES = 3


@attrs.frozen
class Event:
    """One event with its bytes as they came, the blank line included."""

    # Comments before the event are a part of it.
    raw: bytes
    # None if the event has no numeric id.
    event_id: int | None
    data: bytes


class EventStreamParser:
    """
    Cuts pieces of any size into whole events.

    Comments wait for the event after them, so that a stream of nothing else
    has an end.
    """

    def __init__(self):
        self._pending = b""
        # Bytes of the pending ones that are whole, but say nothing.
        self._skippable_bytes = 0

    @property
    def pending(self):
        """Return the bytes after the last whole event."""
        return self._pending

    @property
    def is_inside_event(self):
        """Return True if an event has begun and not ended."""
        return bool(self._pending[self._skippable_bytes :].strip())

    def feed(self, data):
        """
        Return the events that these bytes complete, as a list.

        Raise BackendError if an event is too large.
        """
        # A blank line may have begun in the bytes before.
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
            # Comments and blank lines alone say nothing.
            if event_id is not None or event_data:
                events.append(Event(data[start:whole], event_id, event_data))
                start = whole
        self._pending = data[start:]
        self._skippable_bytes = whole - start
        if len(self._pending) > MAX_EVENT_BYTES:
            raise BackendError("event is too large", code="event_too_large")
        return events


def _parse(raw):
    """Return (id or None, data) of the event in some lines."""
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
