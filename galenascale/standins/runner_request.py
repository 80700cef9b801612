"""A request as the stand-in for a backend server received it."""

import attrs


@attrs.define
class RunnerRequest:
    """One received HTTP request."""

    method: str = ""
    target: bytes = b""
    headers: list = attrs.field(factory=list)
    body: bytes = b""
    # Loop time in seconds at which it was complete.
    received_at: float = 0.0
    # Header lines that the response has in addition to the usual ones.
    extra_header_lines: tuple = ()

    def header(self, name):
        """Return the value of a header, or None; case is ignored."""
        for key, value in self.headers:
            if key.lower() == name.lower().encode():
                return value.decode()
        return None

    def has_part(self, part):
        """Return True if the prompt contains a part, given by its id."""
        entries = (self.header("X-Galenascale-Prompt-Prefix") or "").split(",")
        return any(entry.partition(":")[0] == part for entry in entries)

    @property
    def request_id(self):
        """Id of the attempt that sent the request; empty if it has none."""
        return self.header("X-Galenascale-Attempt-Id") or ""
