"""Limits of the bytes that a backend server sends besides response bodies."""

from galenascale.errors import BackendError

# Maximum bytes of heads, chunk sizes, trailers and white space, in addition to
# the allowance for each body byte.
MAX_FRAMING_BYTES = 1 << 16
# Allowed framing bytes per body byte: a chunk of one byte has five more.
FRAMING_PER_BODY_BYTE = 6
# Maximum body bytes of responses that belong to no request.
MAX_SKIPPED_BYTES = 1 << 18


class ResponseLimits:
    """
    Counts and limits the bytes received since a request was sent.

    A faulty server may send an endless header, chunk extension or line, which
    the parser would buffer without limit.
    """

    def __init__(self):
        self._received = 0
        self._body = 0
        self._skipped = 0

    def reset(self):
        """Reset the counters for the next request."""
        self._received = self._body = self._skipped = 0

    def add_received(self, size):
        """Count bytes received from the socket."""
        self._received += size

    def add_body(self, size):
        """Count bytes of the body of the response."""
        self._body += size

    def add_skipped(self, size):
        """Count body bytes of a response that belongs to no request."""
        self._skipped += size

    def check(self):
        """Raise BackendError if a limit is exceeded."""
        if self._skipped > MAX_SKIPPED_BYTES:
            raise BackendError(
                "responses of other requests are too long", code="too_long"
            )
        framing = self._received - self._body - self._skipped
        if framing > MAX_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * self._body:
            raise BackendError("head or framing is too long", code="too_long")
