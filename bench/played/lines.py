"""Log lines of hosts, also as the users' bench prints them."""

import re

import orjson

# The bench puts its own time and the host before each line.
_PREFIXED = re.compile(rb"\s*-?[\d.]+ \S+ (?=\{)")


def read_lines(path):
    """Yield the decision log's lines in a file as dicts; others are left."""
    with open(path, "rb") as file:
        for data in file:
            prefix = _PREFIXED.match(data)
            text = data[prefix.end() :] if prefix else data
            if not text.startswith(b"{"):
                continue
            try:
                yield orjson.loads(text)
            except orjson.JSONDecodeError:
                # The bench's own text, or a line that its end cut.
                continue
