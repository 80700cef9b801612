"""Decision log lines of hosts, with or without the load test's prefix."""

import re

import orjson

# The load test prefixes each line with its own time and the host.
_PREFIXED = re.compile(rb"\s*-?[\d.]+ \S+ (?=\{)")


def read_lines(path):
    """Yield the decision log lines of a file as dicts; skip other lines."""
    with open(path, "rb") as file:
        for data in file:
            prefix = _PREFIXED.match(data)
            text = data[prefix.end() :] if prefix else data
            if not text.startswith(b"{"):
                continue
            try:
                yield orjson.loads(text)
            except orjson.JSONDecodeError:
                # Output of the load test itself, or a truncated last line.
                continue
