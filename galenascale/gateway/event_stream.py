"""Incremental parser for server-sent events (SSE) that keeps raw bytes."""

import re

import attrs

from galenascale.errors import BackendError
from galenascale.whole_numbers import parse_whole_number

# Also the limit of comments before an event.
MAX_EVENT_BYTES = 1 << 17
# Start of a line with a field. Other bytes, such as the text of an error, are
# not an event. No part of the pattern can match the same bytes in two ways.
_FIELD_START = re.compile(rb"[A-Za-z][\w-]*:")
_FIELDS_WITHOUT_VALUE = frozenset((b"data", b"event", b"id", b"retry"))


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
    events exceeds MAX_EVENT_BYTES and ends. Each byte is looked at a fixed
    number of times, however the stream is split into pieces.
    """

    def __init__(self):
        # Bytes after the last complete event, in whole lines.
        self._lines = bytearray()
        # The last line, which is not complete yet.
        self._partial = bytearray()
        # Fields of the lines after the last blank one.
        self._event_id = None
        self._data = []
        self._has_fields = False

    @property
    def pending(self):
        """Return the bytes after the last complete event."""
        return bytes(self._lines + self._partial)

    @property
    def is_inside_event(self):
        """Return True if the pending bytes contain a part of an event."""
        partial = self._partial.rstrip(b"\r")
        return self._has_fields or bool(partial and not partial.startswith(b":"))

    def feed(self, data):
        """
        Return the list of events that are completed by these bytes.

        Raise BackendError if more than MAX_EVENT_BYTES are pending or if a
        line is neither a field of an event nor a comment.
        """
        events = []
        start = 0
        while end := data.find(b"\n", start) + 1:
            self._partial += data[start:end]
            start = end
            event = self._take_line()
            if event is not None:
                events.append(event)
        self._partial += data[start:]
        if len(self._lines) + len(self._partial) > MAX_EVENT_BYTES:
            raise BackendError(
                f"event with comments has more than {MAX_EVENT_BYTES} bytes",
                code="event_too_large",
            )
        return events

    def _take_line(self):
        """Take the last line, which is complete; return the Event it ends."""
        raw = bytes(self._partial)
        self._partial.clear()
        self._lines += raw
        line = raw[:-1].removesuffix(b"\r")
        if not line:
            return self._end_block()
        if not line.startswith(b":"):
            self._add_field(line)
        return None

    def _add_field(self, line):
        if not (_FIELD_START.match(line) or line in _FIELDS_WITHOUT_VALUE):
            raise BackendError("bytes are not an event", code="not_an_event")
        self._has_fields = True
        # A lone carriage return ends a line, too.
        for part in line.splitlines():
            name, _, value = part.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"data":
                self._data.append(value)
            elif name == b"id":
                self._event_id = _parse_id(value, self._event_id)

    def _end_block(self):
        """Return the Event that a blank line ends, or None."""
        event_id, data = self._event_id, b"\n".join(self._data)
        self._event_id = None
        self._data = []
        self._has_fields = False
        if event_id is None and not data:
            # Comments and blank lines are kept for the next event.
            return None
        event = Event(bytes(self._lines), event_id, data)
        self._lines.clear()
        return event


def _parse_id(value, previous):
    """Return the numeric id in a field; `previous` if it is not numeric."""
    event_id = parse_whole_number(value)
    return previous if event_id is None else event_id


class EventSequence:
    """The events that a caller got, over all runs of its request."""

    def __init__(self, last_id=None):
        # Id of the last event; None before the first.
        self.last_id = last_id

    def take_new(self, events, *, continues):
        """
        Return the events that the caller does not have, and count them.

        `continues` says whether the run goes on after events of an earlier
        one. Raise BackendError if such a run does not follow these: if an
        event has no id, as that of an error, or if one is missing.
        """
        before = self.last_id
        try:
            return [event for event in events if self._take(event, continues)]
        except BackendError:
            # None of these events is passed on.
            self.last_id = before
            raise

    def _take(self, event, continues):
        if event.event_id is None:
            if continues:
                raise BackendError("event of a resumed run has no id", code="no_id")
            return True
        if self.last_id is not None and event.event_id <= self.last_id:
            return False
        expected = (self.last_id or 0) + 1
        if continues and event.event_id != expected:
            raise BackendError(
                f"event {event.event_id} follows event {self.last_id}",
                code="event_missing",
            )
        self.last_id = event.event_id
        return True
