"""Requests and items that hold slots of a pool's servers."""

import attrs


@attrs.define
class Run:
    """A request or an item that holds a slot."""

    host: str
    number: int
    server_key: int
    batch: bool
    # Items: seconds that were left at the start before it was too late.
    slack_s: float
    # Monotonic times in seconds.
    started_at: float
    seen_at: float
    # When its host was last asked to end it.
    preempted_at: float | None = None

    @property
    def run_id(self):
        """Return the key of the run."""
        return (self.host, self.number)


@attrs.define
class RunCount:
    """Runs at one server."""

    online: int = 0
    batch: int = 0

    @property
    def total(self):
        """Return the runs of both kinds."""
        return self.online + self.batch


def preemption_order(run):
    """
    Return the sort key of items that may make room; the first one does.

    Those that are late anyway come first, then those with the most time, and
    of these the newest.
    """
    return (run.slack_s >= 0, -run.slack_s, -run.started_at, run.run_id)


class RunTable:
    """The runs of a pool, counted by server."""

    def __init__(self):
        self._by_id = {}
        self._counts_by_server = {}

    def __len__(self):
        return len(self._by_id)

    def __iter__(self):
        return iter(list(self._by_id.values()))

    def get(self, run_id):
        """Return a run, or None."""
        return self._by_id.get(run_id)

    def add(self, run):
        """Count a run that is not known yet."""
        self._by_id[run.run_id] = run
        self._add_to_count(run, 1)

    def remove(self, run):
        """Stop counting a run."""
        del self._by_id[run.run_id]
        self._add_to_count(run, -1)

    def _add_to_count(self, run, change):
        count = self._counts_by_server.setdefault(run.server_key, RunCount())
        if run.batch:
            count.batch += change
        else:
            count.online += change
        if not count.total:
            del self._counts_by_server[run.server_key]

    def counts_at(self, server_key):
        """Return the Count of a server."""
        return self._counts_by_server.get(server_key) or RunCount()

    @property
    def online(self):
        """Return the number of requests."""
        return sum(count.online for count in self._counts_by_server.values())

    @property
    def batch(self):
        """Return the number of items."""
        return sum(count.batch for count in self._counts_by_server.values())

    def preemptible(self):
        """Return the items that were not asked to make room yet, in order."""
        items = [
            run
            for run in self._by_id.values()
            if run.batch and run.preempted_at is None
        ]
        return sorted(items, key=preemption_order)

    def preempted_count(self, server_key):
        """Return how many items of a server were asked to make room."""
        return sum(
            run.preempted_at is not None and run.server_key == server_key
            for run in self._by_id.values()
        )

    def expire(self, unseen_since):
        """Drop the runs that their hosts did not name again."""
        for run in self:
            if run.seen_at < unseen_since:
                self.remove(run)
