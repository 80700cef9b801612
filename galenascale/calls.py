"""Calls to plain services; a non-idempotent one is dispatched at most once.

With an Idempotency-Key the one dispatch follows an intent record that was read
back from the log. Without a key nobody can ask for the same call again, so a
single dispatch without retry is enough and needs no log.
"""

import uuid

import attrs

from galenascale import codec
from galenascale.call_recorder import CallRecorder
from galenascale.errors import (
    BackendError,
    DecodeError,
    Execution,
    GalenascaleError,
    PeerError,
    Refused,
    UserError,
)
from galenascale.generated.messages import (
    CallIntent,
    CallOutcome,
    CallStatusReply,
    CallStatusRequest,
    OutcomeStatus,
)
from galenascale.hashing import content_digest, shard_of
from galenascale.ledger import VerdictStatus
from galenascale.logs import get_logger
from galenascale.shards import make_id, make_record
from galenascale.shards.bodies import BodyLost, read_body
from galenascale.store import STORE_ERRORS

log = get_logger("calls")

INTENT_TIMEOUT_S = 5.0
STATUS_TIMEOUT_S = 1.0
POLL_S = 0.1
# Time for which the first answer is given to a repeated call.
CALL_RETENTION_MS = 24 * 3600 * 1000
MAX_IDEMPOTENT_TRIES = 3
MAX_ABANDONED = 10_000


@attrs.frozen
class Call:
    """One caller's request to a plain service."""

    tenant: str
    service: str
    method: str
    # Path below /services/NAME with its query.
    path: str
    content_type: str
    body: bytes
    # Monotonic time in seconds.
    deadline: float
    key: str = ""
    idempotent: bool = True

    def digest(self):
        """Return the digest of what the call asks for."""
        return content_digest(self.service, self.method, self.path, self.body)


@attrs.frozen
class Answer:
    """Answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class MayHaveRun(GalenascaleError):
    """A call that was dispatched, or may have been, without a known answer."""

    code = "may_have_run"
    http_status = 502
    execution = Execution.MAY_HAVE_RUN


class CallService:
    """Dispatches calls and remembers those that run on this host."""

    def __init__(self, host, choose_server, engine_client):
        self._host_id = host.host_id
        self._incarnation = host.incarnation
        self._shards = host.shards
        self._log_client = host.log_client
        self._peers = host.peers
        self._clock = host.clock
        # choose_server(service, excluded names) -> server or None
        self._choose_server = choose_server
        self._engine_client = engine_client
        self.note_sign = lambda server_id, code, started_at: None
        # Ids of intents that are dispatched or about to be.
        self._running = set()
        # Ids of intents with unknown outcome that are never dispatched.
        self._abandoned = {}
        self.recorder = CallRecorder(self._shards, self._clock, self._running.discard)

    async def call(self, call):
        """Return the Answer; errors tell truly whether the call ran."""
        if call.idempotent:
            return await self._call_with_retry(call)
        if not call.key:
            return await self._dispatch(call, uuid.uuid4().hex)
        return await self._call_once(call)

    async def _call_with_retry(self, call):
        call_id = uuid.uuid4().hex
        excluded = set()
        may_have_run = False
        while True:
            try:
                server = self._server(call, excluded)
                return await self._forward(server, call, call_id)
            except (BackendError, Refused) as error:
                # The caller hears about all tries, not only the last one.
                may_have_run |= error.execution != Execution.NOT_RUN
                refused = isinstance(error, Refused)
                if not refused:
                    excluded.add(server.name)
                if refused or len(excluded) == MAX_IDEMPOTENT_TRIES:
                    if may_have_run and error.execution == Execution.NOT_RUN:
                        raise MayHaveRun(
                            "an earlier try may have run", step="dispatch"
                        ) from error
                    raise
                log.info("Call is tried again: %s.", error)

    def _server(self, call, excluded=frozenset()):
        server = self._choose_server(call.service, excluded)
        if server is None:
            raise Refused(
                f"service {call.service} has no usable backend server",
                code="no_backend_server",
                step="route",
            )
        return server

    async def _forward(self, server, call, call_id):
        headers = {"Content-Type": call.content_type, "X-Call-Id": call_id}
        started_at = self._clock.monotonic()
        left_s = call.deadline - started_at
        if left_s <= 0:
            raise Refused(
                "deadline has passed", code="deadline_exceeded", step="dispatch"
            )
        try:
            answer = await self._engine_client.forward(
                server, call.method, call.path, headers, call.body, timeout_s=left_s
            )
        except BackendError as error:
            self.note_sign(server.name, error.code, started_at)
            raise
        self.note_sign(server.name, "", started_at)
        return Answer(answer.status, answer.content_type, answer.body)

    async def _dispatch(self, call, call_id):
        """Send the call to a server, to another only if it was not run."""
        excluded = set()
        while True:
            server = self._server(call, excluded)
            try:
                return await self._forward(server, call, call_id)
            except BackendError as error:
                if error.execution != Execution.NOT_RUN:
                    raise MayHaveRun(
                        "answer was lost after dispatch",
                        step="dispatch",
                        peer=server.name,
                    ) from error
                excluded.add(server.name)

    # Calls with a key

    async def _call_once(self, call):
        key = content_digest(call.tenant, call.service, call.key)
        shard = shard_of(key, self._shards.count)
        call_id = make_id("call", shard, key[:32])
        while True:
            intent = self._make_intent(call, call_id)
            verdict = await self._submit_intent(call, shard, intent)
            if verdict.status == VerdictStatus.CONFLICT:
                raise UserError(
                    verdict.reason, code="idempotency_conflict", http_status=409
                )
            if verdict.valid:
                return await self._run(call, shard, intent, verdict.offset)
            try:
                answer = await self._first_answer(call, shard, call_id)
            except (*STORE_ERRORS, BodyLost, DecodeError) as error:
                # Such errors say by themselves that nothing was run, which is
                # not known of the first call.
                raise MayHaveRun(
                    f"first answer cannot be read: {error.message}", step="wait"
                ) from error
            if answer is not None:
                return answer

    def _make_intent(self, call, call_id):
        now_ms = self._clock.wall_ms()
        return CallIntent(
            call_id,
            call.tenant,
            call.service,
            call.digest(),
            self._host_id,
            self._incarnation,
            now_ms,
            now_ms + CALL_RETENTION_MS,
            uuid.uuid4().hex,
        )

    async def _submit_intent(self, call, shard, intent):
        # Refused before anything is recorded if no server could take it.
        self._server(call)
        self._running.add(intent.intent_id)
        try:
            verdicts = await self._shards.submit(
                shard, [make_record(intent)], INTENT_TIMEOUT_S, urgent=True
            )
        except BaseException as error:
            self._running.discard(intent.intent_id)
            self._abandon(intent.intent_id)
            if not isinstance(error, STORE_ERRORS):
                raise
            # True although the append may take effect: this host, the only one
            # that may act on the intent, never does.
            raise Refused(
                "call needs the log, which does not answer",
                code="log_unavailable",
                step="intent",
            ) from error
        if not verdicts[0].valid:
            self._running.discard(intent.intent_id)
        return verdicts[0]

    def _abandon(self, intent_id):
        self._abandoned[intent_id] = True
        while len(self._abandoned) > MAX_ABANDONED:
            self._abandoned.pop(next(iter(self._abandoned)))

    async def _run(self, call, shard, intent, offset):
        outcome = CallOutcome(intent.call_id, offset, OutcomeStatus.MAY_HAVE_RUN)
        try:
            answer = await self._dispatch(call, intent.call_id)
        except GalenascaleError as error:
            if error.execution == Execution.NOT_RUN:
                outcome.status = OutcomeStatus.NOT_RUN
            await self.recorder.record(shard, intent.intent_id, outcome)
            raise
        except BaseException:
            self.recorder.record(shard, intent.intent_id, outcome)
            raise
        outcome.status = OutcomeStatus.SUCCEEDED
        outcome.http_status = answer.status
        outcome.content_type = answer.content_type
        outcome.body = answer.body
        await self.recorder.record(shard, intent.intent_id, outcome)
        return answer

    async def finish_running(self):
        """Return once no call runs; outcomes may be unrecorded."""
        while self._running - self.recorder.ids():
            await self._clock.sleep(POLL_S)

    async def drain(self):
        """Return once no call runs and all outcomes are recorded."""
        while self._running or not self.recorder.is_empty:
            await self._clock.sleep(POLL_S)

    async def _first_answer(self, call, shard, call_id):
        """Return the answer of the first call, or None if it was not run."""
        while True:
            state = await self._shards.view(shard)
            entry = state.calls_by_id.get(call_id)
            if entry is None or entry.status == OutcomeStatus.NOT_RUN:
                return None
            if entry.status:
                return await self._recorded_answer(entry)
            holder = await self._holder_state(entry.intent)
            if holder == "abandoned":
                await self._record_not_run(shard, call_id, entry.offset)
                continue
            if holder == "unknown":
                await self._raise_unless_recorded(shard, call_id)
                continue
            if self._clock.monotonic() >= call.deadline:
                raise MayHaveRun("first call is still running", step="wait")
            await self._clock.sleep(POLL_S)

    async def _raise_unless_recorded(self, shard, call_id):
        # The holder may have recorded the outcome just before it forgot the
        # call, so the log has the last word.
        state = await self._shards.view(shard)
        entry = state.calls_by_id.get(call_id)
        if entry is not None and not entry.status:
            raise MayHaveRun("host of the first call does not know it", step="wait")

    async def _recorded_answer(self, entry):
        if entry.status == OutcomeStatus.MAY_HAVE_RUN:
            raise MayHaveRun("answer of the first call was lost", step="wait")
        _, body = await read_body(self._log_client, entry.outcome_position)
        outcome = codec.decode(CallOutcome, body)
        return Answer(outcome.http_status, outcome.content_type, outcome.body)

    async def _holder_state(self, intent):
        if intent.holder == self._host_id:
            return self.state_of(intent.intent_id)
        if self._peers is None:
            return "unknown"
        try:
            reply = await self._peers.call(
                intent.holder,
                "call_status",
                CallStatusRequest(intent.intent_id),
                CallStatusReply,
                STATUS_TIMEOUT_S,
            )
        except PeerError:
            return "unknown"
        return reply.state

    def state_of(self, intent_id):
        """Return running, abandoned or unknown for an intent."""
        if intent_id in self._running:
            return "running"
        return "abandoned" if intent_id in self._abandoned else "unknown"

    async def handle_status(self, request):
        """Answer another host's CallStatusRequest."""
        return CallStatusReply(self.state_of(request.intent_id))

    async def _record_not_run(self, shard, call_id, offset):
        outcome = CallOutcome(call_id, offset, OutcomeStatus.NOT_RUN)
        await self._shards.submit(shard, [make_record(outcome)], urgent=True)

    @property
    def in_flight(self):
        """Number of calls with a key that run on this host."""
        return len(self._running)
