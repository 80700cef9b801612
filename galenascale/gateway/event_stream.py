"""Incremental parser for server-sent events (SSE) that keeps raw bytes."""

import re

import attrs

from galenascale.errors import BackendError

# Also the limit of comments before an event.
MAX_EVENT_BYTES = 1 << 17
_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
# Lines of a block: comments, fields with a value, and the fields of the format
# without one. Other bytes, such as the text of an error, are not an event.
_BLOCK = re.compile(
    rb"(?:(?::[^\n]*|[A-Za-z][\w-]*:[^\n]*|data|event|id|retry)?\r?\n)*"
)
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

        Raise BackendError if more than MAX_EVENT_BYTES are pending or if bytes
        before a blank line are neither an event nor comments.
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
            block = data[whole:search_from]
            if not _BLOCK.fullmatch(block):
                raise BackendError("bytes are not an event", code="not_an_event")
            event_id, event_data = _parse(block)
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
