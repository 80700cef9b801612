"""Order in which waiting items start, by due time and estimated run time."""

# Initial estimates of the length of a run, in milliseconds and in events, and
# the weight of a new run in the exponential moving averages.
INITIAL_RUN_MS = 5000
INITIAL_EVENTS = 200
NEW_RUN_WEIGHT = 0.1
# Upper bound of the estimated progress: the length of an output is not known
# before its end.
MAX_PROGRESS = 0.95


class RunLengthEstimate:
    """Moving averages of the time and the events of completed runs."""

    def __init__(self):
        self._run_ms = INITIAL_RUN_MS
        self._events = INITIAL_EVENTS

    def add_run(self, run_ms, events):
        """Add a completed run that began with the first event."""
        self._run_ms += NEW_RUN_WEIGHT * (run_ms - self._run_ms)
        self._events += NEW_RUN_WEIGHT * (events - self._events)

    def remaining_ms(self, item):
        """Return the estimated milliseconds until an item is completed."""
        return self._run_ms * (1 - self.progress(item))

    def progress(self, item):
        """Return the estimated share of the output received, below 1."""
        return min(MAX_PROGRESS, item.events / self._events)


class RunLengthEstimates:
    """The RunLengthEstimate of each route."""

    def __init__(self):
        self._by_route_name = {}

    def of_route(self, name):
        """Return the estimate of a route, which later runs change."""
        return self._by_route_name.setdefault(name, RunLengthEstimate())


def start_order(item, now_ms, estimate):
    """
    Return the sort key of a waiting item; the lowest starts first.

    Items that can still finish before they are due come before those that
    cannot. Within each group, items with more of their output done come first,
    then those with an earlier due time.
    """
    return (
        item.slack_ms(now_ms, estimate) < 0,
        -estimate.progress(item),
        item.due_at_ms,
    )
