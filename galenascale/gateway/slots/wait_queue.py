"""Requests and items that wait for a slot, and who comes first."""

import attrs


@attrs.define
class SlotRequest:
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


def queue_order(request, now):
    """
    Return the sort key of an ask among those of its kind.

    What would be late anyway gives way to what can still be in time. Among
    requests those come first that were refused once.
    """
    return (
        request.start_by < now,
        not request.returned,
        request.start_by,
        request.run_id,
    )


class WaitQueue:
    """The asks of one kind, in the order in which they are served."""

    def __init__(self):
        self._by_run_id = {}

    def __len__(self):
        return len(self._by_run_id)

    def contains(self, request):
        """Return True if an ask waits."""
        return self._by_run_id.get(request.run_id) is request

    def add(self, request):
        """Add an ask, or replace what was known of it."""
        self._by_run_id[request.run_id] = request

    def remove(self, run_id):
        """Drop an ask; return True if it waited."""
        return self._by_run_id.pop(run_id, None) is not None

    def in_order(self, now):
        """Return all asks, the first one to be served first."""
        return sorted(
            self._by_run_id.values(), key=lambda request: queue_order(request, now)
        )

    def count_ahead(self, request, now):
        """Return how many asks are served before one."""
        key = queue_order(request, now)
        return sum(queue_order(other, now) < key for other in self._by_run_id.values())

    def expire(self, unseen_since):
        """Drop asks that their hosts did not repeat."""
        for run_id, request in list(self._by_run_id.items()):
            if request.seen_at < unseen_since:
                del self._by_run_id[run_id]
