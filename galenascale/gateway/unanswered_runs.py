"""Requests at servers whose answers have not begun, by part of the prompt."""

import collections
import contextlib


class UnansweredRuns:
    """Breaks off runs that would crash their servers."""

    def __init__(self):
        self._connections_by_part = collections.defaultdict(set)

    @contextlib.contextmanager
    def watch(self, connection, part_keys):
        """Watch the run on a connection within the `with` block."""
        for key in part_keys:
            self._connections_by_part[key].add(connection)
        try:
            yield
        finally:
            self.remove(connection, part_keys)

    def remove(self, connection, part_keys):
        """Stop watching a run, as its answer has begun or it has ended."""
        for key in part_keys:
            connections = self._connections_by_part[key]
            connections.discard(connection)
            if not connections:
                del self._connections_by_part[key]

    def break_off(self, part_key):
        """Close the connections of the runs whose prompts hold a part."""
        for connection in list(self._connections_by_part.get(part_key, ())):
            connection.fail("a part of the prompt crashes servers")
