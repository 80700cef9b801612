"""How many bytes a backend server may send around and instead of an answer."""

from galenascale.errors import BackendError

# Bytes of heads, chunk sizes, trailers and white space beside the share below.
MAX_FRAMING_BYTES = 1 << 16
# Framing for each byte of a body: a chunk of one byte takes five others.
FRAMING_PER_BODY_BYTE = 6
# Bytes in the bodies of answers that belong to no request.
MAX_SKIPPED_BYTES = 1 << 18


class ResponseLimits:
    """
    Counts the bytes that came since a request was sent.

    A server in trouble may send bytes without end that never become a part of
    the answer; a parser may keep them while it waits for a line to end.
    """

    def __init__(self):
        self._received = 0
        self._body = 0
        self._skipped = 0

    def start(self):
        """Begin to count for the next request."""
        self._received = self._body = self._skipped = 0

    def received(self, size):
        """Count bytes from the socket."""
        self._received += size

    def body(self, size):
        """Count bytes of the body of the answer."""
        self._body += size

    def skipped(self, size):
        """Count bytes of the body of another answer."""
        self._skipped += size

    def check(self):
        """Raise BackendError if the server sent too much beside the answer."""
        if self._skipped > MAX_SKIPPED_BYTES:
            raise BackendError("bytes of other answers have no end", code="too_long")
        framing = self._received - self._body - self._skipped
        if framing > MAX_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * self._body:
            raise BackendError("head or framing has no end", code="too_long")
