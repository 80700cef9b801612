"""What a connection knows of the response that it is parsing."""

import attrs

MAX_HEADERS = 256


@attrs.define
class ResponseState:
    """What is known of the response that is being parsed."""

    headers: list = attrs.field(factory=list)
    has_head: bool = False
    has_length: bool = False
    # Whether it answers no request, or only says that the answer follows.
    is_skipped: bool = False

    def add_header(self, name, value):
        """Add a header field; raise ValueError after too many."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self.has_length = True
        self.headers.append((name, value))
        if len(self.headers) > MAX_HEADERS:
            raise ValueError(f"response has more than {MAX_HEADERS} headers")
