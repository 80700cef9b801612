"""Heads of callers' requests: collects one, and finds where a body ends."""

import re

from galenascale.errors import UserError

# Bytes of line breaks that may precede a request.
MAX_EMPTY_LINE_BYTES = 64
# Bytes of a head that do not count towards its limit: version, separators and
# line breaks of its fields.
HEAD_FRAMING_BYTES = 1 << 11
STEP = "read_head"
# Code of the error for a head above the limit.
HEAD_TOO_LARGE = "headers_too_large"
END_OF_HEAD = b"\r\n\r\n"
# Most bytes of an END_OF_HEAD that may have arrived before.
_END_OVERLAP = len(END_OF_HEAD) - 1
# What no head holds: another first character than those of methods, or a line
# feed without a carriage return.
_MALFORMED = re.compile(rb"\A[^A-Z]|(?<!\r)\n")
_LINE_BREAKS = b"\r\n"


class HeadBuffer:
    """
    The bytes of a head until it is whole.

    An HTTP parser would hold each field as several objects, and skip any
    number of empty lines.
    """

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._data = bytearray()
        self._empty_line_bytes = 0

    def __len__(self):
        return len(self._data)

    def add(self, data):
        """
        Add received bytes; return (head, rest) once the head is whole.

        Otherwise return None. Raise UserError for a head that is malformed
        (400) or too large (431).
        """
        if not self._data:
            data = self._skip_empty_lines(data)
        searched = max(0, len(self._data) - _END_OVERLAP)
        self._data += data
        end = self._data.find(END_OF_HEAD, searched)
        if end >= 0:
            return self._take(end + len(END_OF_HEAD))
        if _MALFORMED.search(self._data, searched):
            raise UserError("request line or header field is malformed", step=STEP)
        if len(self._data) > self._max_bytes + HEAD_FRAMING_BYTES:
            raise self._too_large()
        return None

    def _skip_empty_lines(self, data):
        rest = data.lstrip(_LINE_BREAKS)
        self._empty_line_bytes += len(data) - len(rest)
        if self._empty_line_bytes > MAX_EMPTY_LINE_BYTES:
            raise UserError("too many empty lines before a request", step=STEP)
        return rest

    def _take(self, end):
        head, rest = bytes(self._data[:end]), bytes(self._data[end:])
        self._data = bytearray()
        self._empty_line_bytes = 0
        return head, rest

    def check(self, target, raw_fields):
        """Raise UserError (431) if target and fields are too large."""
        fields = sum(len(name) + len(value) for name, value in raw_fields)
        if len(target) + fields > self._max_bytes:
            raise self._too_large()

    def _too_large(self):
        return UserError(
            f"head has more than {self._max_bytes} bytes",
            code=HEAD_TOO_LARGE,
            step=STEP,
            http_status=431,
        )


def find_ends_by_length(length):
    """Return a function that finds where a body of `length` bytes may end."""
    left = length

    def find_ends(data):
        nonlocal left
        end = min(left, len(data))
        left -= end
        yield end

    return find_ends


def find_chunk_ends(data):
    """
    Yield the ends of pieces of which the last may complete a chunked body.

    Such a body ends with an empty line, whose first bytes may have arrived
    before `data`.
    """
    # The first piece is empty: it completes what waits in the parser.
    yield from range(min(len(data), _END_OVERLAP + 1))
    end = data.find(END_OF_HEAD)
    while end >= 0:
        yield end + len(END_OF_HEAD)
        end = data.find(END_OF_HEAD, end + 1)
    yield len(data)
