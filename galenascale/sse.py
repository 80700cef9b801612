"""Server-sent events: an incremental parser and the encoding of events."""

from galenascale.errors import DecodeError

# An event holds one token; a larger one comes from a faulty server.
MAX_EVENT_BYTES = 1 << 20
DONE = b"[DONE]"
DONE_EVENT = b"data: [DONE]\n\n"


class EventParser:
    """Cuts network reads of any size into the data of events."""

    def __init__(self, max_event_bytes=MAX_EVENT_BYTES):
        self._max_event_bytes = max_event_bytes
        # Holds no end of an event.
        self._pending = bytearray()
        self._skip_newline = False

    def feed(self, data):
        """
        Return the data of the events that these bytes complete, as a list.

        Several data lines of one event are joined by a space, which JSON
        treats like a line break. Raise DecodeError for an event that is
        larger than the limit.
        """
        # Most reads hold exactly one event of one line.
        if (
            data.find(b"\n") == len(data) - 2
            and data.startswith(b"data: ")
            and data.endswith(b"\n\n")
            and not self._pending
            and b"\r" not in data
        ):
            self._skip_newline = False
            return [data[6:-2]]
        if self._skip_newline or b"\r" in data:
            data = self._normalise(data)
        # A blank line may have begun in the pending bytes.
        search_from = max(0, len(self._pending) - 1)
        self._pending += data
        blocks = []
        if self._pending.find(b"\n\n", search_from) >= 0:
            blocks = bytes(self._pending).split(b"\n\n")
            self._pending = bytearray(blocks.pop())
        if len(self._pending) > self._max_event_bytes:
            raise DecodeError("server-sent event is too large", step="parse_event")
        return [
            content for block in blocks if (content := _event_data(block)) is not None
        ]

    def _normalise(self, data):
        # A CR LF pair may be split between two reads.
        if self._skip_newline and data:
            self._skip_newline = False
            data = data.removeprefix(b"\n")
        if data.endswith(b"\r"):
            self._skip_newline = True
        return data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")


def _event_data(block):
    if block.startswith(b"data: ") and b"\n" not in block:
        return block[6:]
    lines = [
        line[5:].removeprefix(b" ")
        for line in block.split(b"\n")
        if line.startswith(b"data:")
    ]
    return b" ".join(lines) if lines else None


def encode_events(contents):
    """Return the bytes of events with the given data, one line each."""
    if len(contents) == 1:
        return b"data: %b\n\n" % contents[0]
    return b"data: " + b"\n\ndata: ".join(contents) + b"\n\n"


def encode_error_event(content):
    """Return the bytes of an event of type `error`."""
    return b"event: error\ndata: " + content + b"\n\n"
