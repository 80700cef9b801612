"""Items of jobs without an outcome, and their output so far."""

import attrs

from galenascale.gateway.http_heads import InvalidHead
from galenascale.gateway.output_limits import held_size

# Back-off in seconds before the next run of an item: after a refusal, and
# after the first failed or broken run. The latter doubles with each further
# such run, up to the maximum.
REFUSED_BACKOFF_S = 0.1
FAILED_BACKOFF_S = 0.3
MAX_BACKOFF_S = 2.0
# Seconds for which an item avoids a server that sent it nothing of use.
AVOID_SERVER_S = 10.0


@attrs.frozen
class RunStart:
    """The output of an item when a run began."""

    # Number of pieces of output and their memory in bytes.
    pieces: int
    held_bytes: int
    last_event_id: int | None


@attrs.define
class OpenItem:
    """An item without an outcome, with the output received so far."""

    state: object
    index: int
    # Why its request cannot be sent; empty if it can.
    defect: str = ""
    # Version of the weights that its server must have; None for any.
    expected_version: str | None = None
    # The present Route of the item; None if there is none.
    route: object = None
    # Data of the events received so far, and the id of the last one.
    event_data: list = attrs.field(factory=list)
    last_event_id: int | None = None
    # Memory of the output in bytes.
    held_bytes: int = 0
    # RunStart of the current run.
    run_start: object = None
    # Id of the last event whose output is in the store.
    recorded_event_id: int | None = None
    # Runs that ended with an error status.
    failures: int = 0
    # Runs whose connection broke since the last complete event.
    broken_runs: int = 0
    # Monotonic time in seconds before which the item must not run.
    not_before: float = float("-inf")
    # Monotonic time in seconds until which the item is not sent to a server,
    # by incarnation of the server.
    avoided_until: dict = attrs.field(factory=dict)
    # Server of the current run.
    server: object = None
    task: object = None
    # Lease of the slot of the current run.
    lease: object = None
    # The outcome is known, but has not been read back from the store yet.
    finished: bool = False

    @classmethod
    def from_state(cls, state, index):
        """Return the item with the progress that is recorded in the store."""
        item = cls(state, index)
        progress = state.progress_by_index.get(index)
        if progress is not None:
            item.event_data = [progress.text]
            item.held_bytes = held_size(len(progress.text))
            item.last_event_id = progress.last_event_id
            item.recorded_event_id = progress.last_event_id
        return item

    @property
    def memory_tokens(self):
        """Return the tokens of an engine's memory that it may need."""
        return self.state.items[self.index].tokens

    @property
    def key(self):
        """Return (job id, index)."""
        return (self.state.job_id, self.index)

    @property
    def events(self):
        """Return the number of events received so far."""
        return self.last_event_id or 0

    @property
    def unrecorded_events(self):
        """Return the number of events that are not yet in the store."""
        return self.events - (self.recorded_event_id or 0)

    @property
    def due_at_ms(self):
        """Return the wall time in milliseconds at which the result is due."""
        return self.state.job.accepted_ms + self.state.job.due_ms

    def slack_ms(self, now_ms, estimate):
        """
        Return the milliseconds by which a start may be delayed.

        Negative if the item would finish late even when started now.
        """
        return self.due_at_ms - now_ms - estimate.remaining_ms(self)

    def text(self):
        """Return the output received so far, as bytes."""
        return b"\n".join(self.event_data)

    def add_event(self, event):
        """Add the output of the next event, which is sound progress."""
        self.event_data.append(event.data)
        self.held_bytes += held_size(len(event.data))
        self.last_event_id = event.event_id
        self.broken_runs = 0

    def begin_run(self):
        """Remember the output from before a run."""
        self.run_start = RunStart(
            len(self.event_data), self.held_bytes, self.last_event_id
        )

    def drop_run_output(self):
        """Drop the output of the current run, which cannot be trusted."""
        start = self.run_start
        del self.event_data[start.pieces :]
        self.held_bytes = start.held_bytes
        self.last_event_id = start.last_event_id
        self.recorded_event_id = min(
            self.recorded_event_id or 0, start.last_event_id or 0
        )

    @property
    def run_bytes(self):
        """Return the memory in bytes that the current run has added."""
        return self.held_bytes - self.run_start.held_bytes if self.run_start else 0

    def clear_run(self):
        """Clear the fields of the current run."""
        self.task = None
        self.server = None
        self.lease = None
        self.run_start = None

    def avoids(self, server, now):
        """Return True if the item should not be sent to a server now."""
        return now < self.avoided_until.get(server.incarnation, now)

    def avoids_any(self, now):
        """Return True if the item should not be sent to some server now."""
        if not self.avoided_until:
            return False
        for incarnation, until in list(self.avoided_until.items()):
            if until <= now:
                del self.avoided_until[incarnation]
        return bool(self.avoided_until)

    def avoid(self, server, now):
        """Send the item to other servers for AVOID_SERVER_S."""
        self.avoided_until[server.incarnation] = now + AVOID_SERVER_S

    def back_off(self, now, first_s, count):
        """
        Delay the next run with exponential back-off.

        The delay is `first_s` seconds for a `count` of 1 and doubles with each
        increment of `count`, up to MAX_BACKOFF_S. `now` is a monotonic time.
        """
        self.not_before = now + min(first_s * 2 ** max(0, count - 1), MAX_BACKOFF_S)


def open_item(dialect, state, index):
    """Return the OpenItem of a job, with a defect if it cannot be sent."""
    item = OpenItem.from_state(state, index)
    try:
        headers = dialect.check_item(state.items[index], state.job.host)
        item.expected_version = dialect.parse_expected_version(headers)
    except InvalidHead as error:
        # Another build accepted the job.
        item.defect = error.message
    return item
