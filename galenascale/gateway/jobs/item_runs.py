"""One run of an item at a backend server."""

import asyncio
import contextlib

import attrs

from galenascale.errors import BackendError
from galenascale.gateway.admission import fingerprint
from galenascale.gateway.attempts import AttemptPlan
from galenascale.gateway.event_stream import EventStreamParser
from galenascale.gateway.requests import CallerRequest

# An item has no deadline of a caller; a run longer than this is stuck.
MAX_RUN_S = 120.0
# Longest wait in seconds for the head of an answer or for its next event.
# Items start in free slots, so the first event comes soon; an item that no
# server works on must not wait for 5 s.
SILENCE_TIMEOUT_S = 4.0
# Seconds for which an item is not sent to a server that was silent on it.
AVOID_SILENT_S = 10.0
STATUS_CANNOT_BE_DONE = 422
# Milliseconds by which the clocks of two hosts may differ.
CLOCK_MARGIN_MS = 5000
# Pauses in seconds before an item that was refused or broke off runs again.
REFUSED_PAUSE_S = 0.1
FAILED_PAUSE_S = 0.3
MAX_PAUSE_S = 2.0


@attrs.define
class OpenItem:
    """An item without an outcome, with what was read of its output."""

    state: object
    index: int
    # Data of the events so far, and the id of the last of them.
    texts: list = attrs.field(factory=list)
    last_event_id: int | None = None
    # Event up to which the output is in the store.
    recorded_event_id: int | None = None
    failures: int = 0
    # Runs that broke off without an answer since the last whole event.
    broken: int = 0
    not_before: float = float("-inf")
    # Monotonic time by incarnation until which it avoids a server.
    avoided_until: dict = attrs.field(factory=dict)
    # Server on which it runs now.
    server: object = None
    task: object = None
    # Slot that it holds there.
    lease: object = None
    # Key of its content once a run broke off.
    content_key: int | None = None
    # Its outcome is known, but not yet read back from the store.
    finished: bool = False

    @classmethod
    def from_state(cls, state, index):
        """Return the item with the progress that another host recorded."""
        item = cls(state, index)
        progress = state.progress_by_index.get(index)
        if progress is not None:
            item.texts = [progress.text]
            item.last_event_id = progress.last_event_id
            item.recorded_event_id = progress.last_event_id
        return item

    @property
    def key(self):
        """Return (job id, index)."""
        return (self.state.job_id, self.index)

    @property
    def events(self):
        """Return the number of events so far."""
        return self.last_event_id or 0

    @property
    def unrecorded_events(self):
        """Return how many events would be lost with this host."""
        return self.events - (self.recorded_event_id or 0)

    @property
    def due_at_ms(self):
        """Return the wall time in milliseconds at which the result is due."""
        return self.state.job.accepted_ms + self.state.job.due_ms

    def slack_ms(self, now_ms, estimate):
        """Return the milliseconds in which a start is in time."""
        return self.due_at_ms - now_ms - estimate.left_ms(self)

    def text(self):
        """Return the output so far."""
        return b"\n".join(self.texts)

    def reset(self):
        """Note that no run goes on."""
        self.task = None
        self.server = None
        self.lease = None

    def avoids(self, server, now):
        """Return True if the item should not run on a server now."""
        return now < self.avoided_until.get(server.incarnation, now)

    def pause(self, now, first_s, count):
        """Let the item wait, longer after each failure."""
        self.not_before = now + min(first_s * 2 ** max(0, count - 1), MAX_PAUSE_S)


def over_reason(job, route, config_version, now_ms):
    """
    Return why the items of a job may be given up; None if they may not.

    A route counts as removed only by a newer configuration than that of the
    acceptance: this host may not have read the one that added it yet.
    """
    if route is None and config_version > job.config_version:
        return "no route"
    age_ms = now_ms - job.accepted_ms
    if job.give_up_ms and age_ms > job.give_up_ms + CLOCK_MARGIN_MS:
        return "too old"
    return None


@attrs.frozen
class RunEnd:
    """
    How a run ended.

    The outcome is one of completed, cannot_be_done, failed, refused, broken
    and silent.
    """

    outcome: str
    reason: str = ""


async def run_item(parts, dispatcher, item, server, route, body):
    """Run an item, adding events to it as they come; return the RunEnd."""
    now = parts.clock.monotonic()
    plan = AttemptPlan(route, arrived_at=now, deadline=now + MAX_RUN_S)
    stored = item.state.job.items[item.index]
    request = CallerRequest(
        request_id=stored.item_id,
        method="POST",
        target=stored.path,
        host=item.state.job.host,
        headers=parts.dialect.build_item_headers(stored, item.state.job),
        body=body,
    )
    try:
        async with dispatcher.send(request, server, plan, item.last_event_id) as send:
            return await _read(parts, item, send)
    except BackendError as error:
        if error.step == "connect":
            return RunEnd("refused", error.message)
        parts.health.record_failure(server.incarnation, parts.clock.monotonic())
        if error.code == "server_silent":
            avoided_until = parts.clock.monotonic() + AVOID_SILENT_S
            item.avoided_until[server.incarnation] = avoided_until
            return RunEnd("silent", error.message)
        item.content_key = fingerprint(request)
        parts.reachability.check_for_crash(server, item.content_key)
        return RunEnd("broken", error.message)


@contextlib.asynccontextmanager
async def _progress_expected(since):
    """Raise BackendError in the body after a time without progress."""
    try:
        async with asyncio.timeout_at(since + SILENCE_TIMEOUT_S):
            yield
    except TimeoutError as error:
        raise BackendError(
            f"no progress for {SILENCE_TIMEOUT_S} s", code="server_silent"
        ) from error


async def _read(parts, item, send):
    now = asyncio.get_running_loop().time
    async with _progress_expected(now()):
        head = await send.read_head()
    if head.status == 200 and not head.not_run:
        await _read_events(item, send)
        return RunEnd("completed")
    async with _progress_expected(now()):
        await send.read_body(parts.settings.held_answer_bytes)
    if head.not_run:
        return RunEnd("refused", f"status {head.status}")
    if head.status == STATUS_CANNOT_BE_DONE:
        return RunEnd("cannot_be_done")
    parts.health.record_failure(send.server.incarnation, parts.clock.monotonic())
    return RunEnd("failed", f"status {head.status}")


async def _read_events(item, send):
    """Read events to the end; bytes without a new event are no progress."""
    now = asyncio.get_running_loop().time
    splitter = EventStreamParser()
    progress_at = now()
    while True:
        async with _progress_expected(progress_at):
            piece = await send.connection.read()
        if piece is None:
            break
        before = item.last_event_id
        for event in splitter.feed(piece):
            _add(item, event)
        if item.last_event_id != before:
            progress_at = now()
    send.complete = True
    if splitter.is_inside_event:
        raise BackendError("output ends inside an event", code="connection_broken")


def _add(item, event):
    if event.event_id is None:
        return
    expected = 1 if item.last_event_id is None else item.last_event_id + 1
    if event.event_id < expected and item.last_event_id is not None:
        return
    if event.event_id != expected and item.last_event_id is not None:
        raise BackendError(
            f"event {event.event_id} follows {item.last_event_id}",
            code="event_missing",
        )
    item.texts.append(event.data)
    item.last_event_id = event.event_id
    item.broken = 0
