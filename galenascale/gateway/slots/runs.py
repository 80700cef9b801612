"""Requests and items that use slots of a pool's servers."""

import attrs


@attrs.define
class Run:
    """An online request or batch item that uses a slot."""

    host: str
    number: int
    server_key: int
    batch: bool
    # Seconds from the start of the run to the latest start that is in time.
    slack_s: float
    # Monotonic times in seconds.
    started_at: float
    seen_at: float
    # When its host was last told to preempt the run.
    preempted_at: float | None = None
    # Whether it was counted against the limit of its server.
    paced: bool = False
    # Key of the tenant; 0 if there are no tenants.
    tenant: int = 0
    # Tokens that it is to generate; 0 if unknown.
    tokens: int = 0
    # Tokens of an engine's memory that it may need; 0 if unknown.
    memory_tokens: int = 0
    # Whether its start was seen, so that its time is known.
    start_seen: bool = False

    @property
    def run_id(self):
        """Return the key of the run: its host and its number there."""
        return (self.host, self.number)


@attrs.define
class RunCount:
    """Numbers of online and batch runs, at one server or of one tenant."""

    online: int = 0
    batch: int = 0
    # Tokens of memory that they may need.
    memory_tokens: int = 0

    @property
    def total(self):
        """Return the number of runs of both kinds."""
        return self.online + self.batch


def _add_to(counts_by_key, key, run, change):
    """Add or remove a run in the RunCount of a key; drop it if it is empty."""
    count = counts_by_key.setdefault(key, RunCount())
    count.memory_tokens += change * run.memory_tokens
    if run.batch:
        count.batch += change
    else:
        count.online += change
    if not count.total:
        del counts_by_key[key]


def preemption_order(run):
    """
    Return the sort key of items for preemption; the first is preempted.

    Items that are late anyway come first, then those with the most slack, and
    among equal ones the newest.
    """
    return (run.slack_s >= 0, -run.slack_s, -run.started_at, run.run_id)


class RunTable:
    """Runs of a pool by id, with counts for each server."""

    def __init__(self):
        self._by_id = {}
        self._counts_by_server = {}
        self._counts_by_tenant = {}

    def __len__(self):
        return len(self._by_id)

    def __iter__(self):
        return iter(list(self._by_id.values()))

    def get(self, run_id):
        """Return a run, or None."""
        return self._by_id.get(run_id)

    def add(self, run):
        """Add a run that is not in the table yet."""
        self._by_id[run.run_id] = run
        self._add_to_count(run, 1)

    def remove(self, run):
        """Remove a run."""
        del self._by_id[run.run_id]
        self._add_to_count(run, -1)

    def _add_to_count(self, run, change):
        _add_to(self._counts_by_server, run.server_key, run, change)
        _add_to(self._counts_by_tenant, run.tenant, run, change)

    def counts_at(self, server_key):
        """Return the RunCount of a server."""
        return self._counts_by_server.get(server_key) or RunCount()

    def online_by_tenant(self):
        """Return the slots that tenants hold for online requests, by key."""
        return {
            tenant: count.online
            for tenant, count in self._counts_by_tenant.items()
            if count.online
        }

    def total_by_tenant(self):
        """Return the slots that tenants hold, by key."""
        return {tenant: count.total for tenant, count in self._counts_by_tenant.items()}

    @property
    def online(self):
        """Return the number of online requests."""
        return sum(count.online for count in self._counts_by_server.values())

    @property
    def batch(self):
        """Return the number of batch items."""
        return sum(count.batch for count in self._counts_by_server.values())

    def preemptible(self):
        """Return the items not preempted yet, in the order of preemption."""
        items = [
            run
            for run in self._by_id.values()
            if run.batch and run.preempted_at is None
        ]
        return sorted(items, key=preemption_order)

    def preempted_count(self, server_key):
        """Return how many items at a server are being preempted."""
        return sum(
            run.preempted_at is not None and run.server_key == server_key
            for run in self._by_id.values()
        )

    def expire(self, unseen_since):
        """Drop runs that their hosts have not renewed since a time."""
        for run in self:
            if run.seen_at < unseen_since:
                self.remove(run)
