"""Limits of what one run of a request for tokens may send.

A faulty server may send events without end. They look like an answer, one by
one, until there are more of them than the tokens that were asked for.
"""

from galenascale.errors import BackendError
from galenascale.gateway.event_stream import MAX_EVENT_BYTES

# Events that may come besides those with a token, such as an end marker.
MAX_EVENTS_WITHOUT_TOKEN = 8
# Tokens of an item that does not state a limit.
UNSTATED_TOKENS = 1 << 14
# Bytes that may be held for each token, and memory of an event besides its
# data.
MAX_BYTES_PER_TOKEN = 1 << 12
EVENT_OVERHEAD_BYTES = 64
# Bytes without a new event after which a run is broken off: a flood that
# brings nothing new takes the processor from other requests.
MAX_IDLE_BYTES = 2 * MAX_EVENT_BYTES
# Bytes that the output of a host's items, and the answers that it buffers,
# may hold.
MAX_HELD_OUTPUT_BYTES = 32 << 20
MAX_HELD_ANSWER_BYTES = 32 << 20


class OutputLimit:
    """Counts the output of a request over its runs; `tokens` may be inf."""

    def __init__(self, tokens, *, events=0, held_bytes=0):
        self._max_events = tokens + MAX_EVENTS_WITHOUT_TOKEN
        self._max_held_bytes = tokens * MAX_BYTES_PER_TOKEN + MAX_EVENT_BYTES
        self._events = events
        self._held_bytes = held_bytes
        self._idle_bytes = 0

    def begin_run(self):
        """Begin to count the bytes of another run."""
        self._idle_bytes = 0

    def add_received(self, size, *, new_events):
        """
        Count received bytes and the new events in them.

        Raise BackendError after too many bytes without a new event, and after
        more events than there are tokens.
        """
        self._idle_bytes = 0 if new_events else self._idle_bytes + size
        if self._idle_bytes > MAX_IDLE_BYTES:
            raise BackendError(
                f"{self._idle_bytes} bytes without a new event", code="no_new_event"
            )
        self._events += new_events
        if self._events > self._max_events:
            raise BackendError(
                f"more than {self._max_events} events",
                code="output_too_long",
            )

    def add_held(self, size):
        """Count the bytes of an event that is kept; raise BackendError."""
        self._held_bytes += held_size(size)
        if self._held_bytes > self._max_held_bytes:
            raise BackendError(
                f"output has more than {self._max_held_bytes} bytes",
                code="output_too_long",
            )


def held_size(size):
    """Return the memory in bytes of an event with data of a size."""
    return size + EVENT_OVERHEAD_BYTES


class HeldBytes:
    """Limits the bytes that all answers of a host hold together."""

    def __init__(self, limit):
        self._limit = limit
        self.total = 0

    def add(self, size):
        """Hold more bytes; raise BackendError above the limit."""
        if self.total + size > self._limit:
            raise BackendError(
                f"answers of all servers hold {self._limit} bytes",
                code="answers_too_large",
            )
        self.total += size

    def release(self, size):
        """Let go of bytes."""
        self.total -= size
