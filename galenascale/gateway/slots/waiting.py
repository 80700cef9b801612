"""Requests and items that wait for a slot, and who comes first."""

import attrs


@attrs.define
class Ask:
    """A host's wish for a slot for one request or item."""

    host: str
    number: int
    batch: bool = False
    # Monotonic time in seconds until which a start is in time: the first event
    # of a request or the end of an item then comes before it is due.
    start_by: float = float("inf")
    # Keys of servers that must not be granted.
    avoid: frozenset = frozenset()
    # The request was refused before and came back.
    returned: bool = False
    # It may be refused if its wait would be too long.
    refusable: bool = False
    # The owner of another pool passed it on.
    forwarded: bool = False
    seen_at: float = 0.0

    @property
    def run_id(self):
        """Return the key of the run that it asks for."""
        return (self.host, self.number)


def order(ask, now):
    """
    Return the sort key of an ask among those of its kind.

    What would be late anyway gives way to what can still be in time. Among
    requests those come first that were refused once.
    """
    return (ask.start_by < now, not ask.returned, ask.start_by, ask.run_id)


class WaitingAsks:
    """The asks of one kind, in the order in which they are served."""

    def __init__(self):
        self._by_run_id = {}

    def __len__(self):
        return len(self._by_run_id)

    def has(self, ask):
        """Return True if an ask waits."""
        return self._by_run_id.get(ask.run_id) is ask

    def add(self, ask):
        """Add an ask, or replace what was known of it."""
        self._by_run_id[ask.run_id] = ask

    def remove(self, run_id):
        """Drop an ask; return True if it waited."""
        return self._by_run_id.pop(run_id, None) is not None

    def in_order(self, now):
        """Return all asks, the first one to be served first."""
        return sorted(self._by_run_id.values(), key=lambda ask: order(ask, now))

    def ahead_of(self, ask, now):
        """Return how many asks are served before one."""
        key = order(ask, now)
        return sum(order(other, now) < key for other in self._by_run_id.values())

    def forget(self, unseen_since):
        """Drop asks that their hosts did not repeat."""
        for run_id, ask in list(self._by_run_id.items()):
            if ask.seen_at < unseen_since:
                del self._by_run_id[run_id]
