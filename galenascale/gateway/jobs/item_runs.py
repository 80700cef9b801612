"""Runs of a batch item on backend servers."""

import asyncio
import contextlib

import attrs

from galenascale.errors import BackendError
from galenascale.gateway.answer_meaning import Meaning, refusal_outcome
from galenascale.gateway.attempts import AttemptPlan
from galenascale.gateway.crashes import InterruptedRun
from galenascale.gateway.dispatch import read_refusal
from galenascale.gateway.event_stream import EventStreamParser
from galenascale.gateway.output_limits import UNSTATED_TOKENS, OutputLimit
from galenascale.gateway.requests import CallerRequest
from galenascale.gateway.suspect_exchange import record_start
from galenascale.generated.gateway_messages import SlotOutcome

# Longest run in seconds. No caller sets a deadline for an item; a longer run
# is considered stuck.
MAX_RUN_S = 120.0
# Longest wait in seconds for the head of an answer or for its next event.
# Items start in free slots, so the first event comes soon. An item must not
# wait for 5 s while no server works on it.
PROGRESS_TIMEOUT_S = 4.0
# Status with which a server states that the item cannot be processed, and the
# one that counts as a failed run.
STATUS_UNPROCESSABLE = 422
STATUS_FAILED = 500
# Largest difference in milliseconds between the clocks of two hosts.
MAX_CLOCK_SKEW_MS = 5000


def give_up_reason(job, route, config_version, now_ms):
    """
    Return why the items of a job may be given up, or None if they may not.

    A missing route counts only if this host's configuration is not older than
    the one that accepted the job: an older one may lack a route that was added
    since.
    """
    if route is None and config_version >= job.config_version:
        return "no route"
    age_ms = now_ms - job.accepted_ms
    if job.give_up_ms and age_ms > job.give_up_ms + MAX_CLOCK_SKEW_MS:
        return "too old"
    return None


# Codes of errors after which an item avoids the server.
_USELESS_CODES = frozenset(("server_silent", "no_new_event", "output_too_long"))


# What the outcome of a run says about its server. A failed run is not listed,
# as the item itself may be the cause.
SLOT_OUTCOMES = {
    # It could not be reached.
    "refused": SlotOutcome.REFUSED,
    "broken": SlotOutcome.FAILED,
    "silent": SlotOutcome.FAILED,
}


@attrs.frozen
class RunResult:
    """
    Result of one run.

    The outcome is one of:

    - completed: all output was received;
    - cannot_be_done: the server states that the item cannot be processed;
    - failed: the server ran the item and failed;
    - refused: the server has no room, or another one has its address;
    - unsuitable: the server has other weights, or rejects the item as such;
    - broken: the connection broke, or the answer is none to an item;
    - silent: no event came for PROGRESS_TIMEOUT_S.
    """

    outcome: str
    reason: str = ""
    # SlotOutcome of a run that the server refused.
    slot_outcome: SlotOutcome | None = None
    # Seconds from the first event to the end of a completed run.
    events_s: float = 0.0

    @property
    def server_outcome(self):
        """Return the SlotOutcome that tells of its server."""
        if self.slot_outcome is not None:
            return self.slot_outcome
        return SLOT_OUTCOMES.get(self.outcome, SlotOutcome.SERVED)


def log_item_start(context, item, server):
    """Log that an item starts at a server."""
    in_flight = context.load.total_at(server.server_id)
    context.log.write(
        "item_started",
        job=item.state.job_id,
        index=item.index,
        request=item.state.items[item.index].item_id,
        server=server.server_id,
        online=in_flight.online,
        batch=in_flight.batch,
        limit=context.limits.rate_of(server),
        resume_after=item.last_event_id,
        due_in_s=(item.due_at_ms - context.clock.wall_ms()) / 1000,
    )


async def run_item(context, dispatcher, item, server, route, body):
    """
    Run an item on a server and return the RunResult.

    Events are added to the item as they arrive. An item with events is resumed
    after the last one.
    """
    now = context.clock.monotonic()
    plan = AttemptPlan(route, arrived_at=now, deadline=now + MAX_RUN_S)
    stored = item.state.items[item.index]
    headers = context.dialect.build_item_headers(stored, item.state.job.host)
    events_before = item.events
    request = CallerRequest(
        request_id=stored.item_id,
        method="POST",
        target=stored.path,
        host=item.state.job.host,
        headers=headers,
        body=body,
        shared_parts=context.dialect.parse_shared_parts(headers),
        expected_version=item.expected_version,
        tenant=None if context.configuration.tenants is None else item.state.job.tenant,
    )
    item.begin_run()
    tokens = context.dialect.parse_output_tokens(headers) or stored.tokens
    limit = OutputLimit(
        tokens or UNSTATED_TOKENS, events=item.events, held_bytes=item.held_bytes
    )
    try:
        async with dispatcher.send(
            request, server, plan, item.last_event_id, item.lease
        ) as attempt:
            return await _read_response(
                context, item, attempt, limit, request.part_keys
            )
    except BackendError as error:
        if error.step == "connect":
            return RunResult("refused", error.message)
        context.health.record_failure(server.incarnation, context.clock.monotonic())
        if error.code in _USELESS_CODES:
            item.avoid(server, context.clock.monotonic())
        if error.code == "output_too_long":
            item.drop_run_output()
        if error.code == "server_silent":
            return RunResult("silent", error.message)
        run = InterruptedRun.from_request(
            request,
            begun=item.events > events_before,
            at=context.clock.monotonic(),
            batch=True,
        )
        context.reachability.check_for_crash(server, run)
        return RunResult("broken", error.message)


@contextlib.asynccontextmanager
async def _progress_timeout(since):
    """
    Limit the run time of the `async with` block.

    Raise BackendError in it PROGRESS_TIMEOUT_S after `since`, a time of the
    event loop in seconds.
    """
    try:
        async with asyncio.timeout_at(since + PROGRESS_TIMEOUT_S):
            yield
    except TimeoutError as error:
        raise BackendError(
            f"server made no progress for {PROGRESS_TIMEOUT_S} s", code="server_silent"
        ) from error


async def _read_response(context, item, attempt, limit, part_keys):
    now = asyncio.get_running_loop().time
    async with _progress_timeout(now()):
        head = await attempt.read_head()
    if head.status == 200 and not head.not_run:
        events_s = await _read_events(
            item, attempt, limit, lambda: record_start(context, part_keys)
        )
        return RunResult("completed", events_s=events_s)
    max_bytes = context.settings.held_answer_bytes
    if head.not_run:
        await read_refusal(context, attempt, max_bytes)
        if attempt.meaning is Meaning.REJECTED:
            item.avoid(attempt.server, context.clock.monotonic())
        return RunResult(
            "unsuitable" if attempt.meaning.is_of_request else "refused",
            f"status {head.status}",
            refusal_outcome(attempt.meaning),
        )
    async with _progress_timeout(now()):
        await attempt.read_body(max_bytes)
    if head.status == STATUS_UNPROCESSABLE:
        return RunResult("cannot_be_done")
    context.health.record_failure(attempt.server.incarnation, context.clock.monotonic())
    outcome = "failed" if head.status == STATUS_FAILED else "broken"
    return RunResult(outcome, f"status {head.status}")


async def _read_events(item, attempt, limit, on_first_event):
    """
    Read events until the output ends; return the seconds since the first one.

    Only a new event counts as progress, so that a server which sends other
    bytes cannot hold the item. Raise BackendError if no progress is made in
    time, if an event is missing, if the output ends inside an event, and if
    the OutputLimit is exceeded.
    """
    now = asyncio.get_running_loop().time
    parser = EventStreamParser()
    progress_at = now()
    first_event_at = None
    while True:
        async with _progress_timeout(progress_at):
            chunk = await attempt.connection.read()
        if chunk is None:
            break
        before = len(item.event_data)
        for event in parser.feed(chunk):
            _add_event(item, event, limit)
        new_events = len(item.event_data) - before
        limit.add_received(len(chunk), new_events=new_events)
        if new_events:
            progress_at = now()
            if first_event_at is None:
                first_event_at = progress_at
                on_first_event()
    if parser.is_inside_event:
        raise BackendError("output ends inside an event", code="connection_broken")
    attempt.complete = True
    return 0.0 if first_event_at is None else now() - first_event_at


def _add_event(item, event, limit):
    if event.event_id is None:
        return
    expected = 1 if item.last_event_id is None else item.last_event_id + 1
    if event.event_id < expected and item.last_event_id is not None:
        return
    if event.event_id != expected and item.last_event_id is not None:
        raise BackendError(
            f"event {event.event_id} follows event {item.last_event_id}",
            code="event_missing",
        )
    limit.add_held(len(event.data))
    item.add_event(event)
