"""Which items come first, by what is known of the length of their runs."""

# Milliseconds and events of a whole run before one was seen, and the weight of
# the newest one in the means.
INITIAL_RUN_MS = 5000
INITIAL_EVENTS = 200
NEW_RUN_WEIGHT = 0.1
# The rest of an output whose end is not known.
MAX_PROGRESS = 0.95


class RunLengthEstimate:
    """Mean length of whole runs, from those that were completed."""

    def __init__(self):
        self._run_ms = INITIAL_RUN_MS
        self._events = INITIAL_EVENTS

    def add_run(self, run_ms, events):
        """Note a run from the first event to the last."""
        self._run_ms += NEW_RUN_WEIGHT * (run_ms - self._run_ms)
        self._events += NEW_RUN_WEIGHT * (events - self._events)

    def remaining_ms(self, item):
        """Return the milliseconds of a run that an item probably needs."""
        return self._run_ms * (1 - self.progress(item))

    def progress(self, item):
        """Return the share of the output that was read, below 1."""
        return min(MAX_PROGRESS, item.events / self._events)


def start_order(item, now_ms, estimate):
    """
    Return the sort key of an item that waits.

    Items that can still be finished in time come before those that cannot;
    among them those that have begun, then those that are due first.
    """
    return (
        item.slack_ms(now_ms, estimate) < 0,
        -estimate.progress(item),
        item.due_at_ms,
    )
