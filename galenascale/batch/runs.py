"""One run of one batch item on one backend server."""

import asyncio
import collections
import uuid

import orjson

from galenascale.batch.held import answer_body
from galenascale.batch_lines import MODEL_ENDPOINTS
from galenascale.errors import BackendError, Execution, GalenascaleError, Refused
from galenascale.generated.messages import ItemIntent, ItemOutcome, OutcomeStatus
from galenascale.job_results import error_line, result_line
from galenascale.logs import get_logger
from galenascale.poison import PoisonTracker, Standing
from galenascale.requests import OnlineRequest
from galenascale.shards import make_record

log = get_logger("batch")

# Time for one item; a stuck stream must not hold a slot for ever.
RUN_TIMEOUT_S = 300.0
# Pause before an item that was not run is tried again.
NOT_RUN_PAUSE_S = 0.2
# A dispatch this close to the end of the lease would be a race.
DISPATCH_MARGIN_S = 0.5
INTENT_TIMEOUT_S = 3.0
# Answers of a backend server that no further try will change.
FINAL_CODES = frozenset({"bad_request", "not_found"})


class ItemRunner:
    """Runs items; what an interrupted run made is kept in the item."""

    def __init__(
        self, engine_client, shards, clock, settings, poison_of=None, share=None
    ):
        self._engine_client = engine_client
        self._shards = shards
        self._clock = clock
        self._settings = settings
        # poison_of(service) -> PoisonTracker, which online requests share
        trackers = collections.defaultdict(PoisonTracker)
        self._poison_of = poison_of or trackers.__getitem__
        # Called with each PoisonVerdict that other hosts should know.
        self._share = share or (lambda verdict: None)

    async def run(self, server, item):
        """
        Return the ItemOutcome, or None if the item has to be run again.

        Raise GalenascaleError if it cannot run now.
        """
        try:
            if item.chunk.grant.idempotent:
                return await self._run_repeatable(server, item)
            return await self._run_once(server, item)
        except GalenascaleError:
            # The item waits for the log or for a lease; without a pause it
            # would be tried again at once.
            await self._clock.sleep(NOT_RUN_PAUSE_S)
            raise
        except Exception:
            # A fault in this code must neither lose an item nor loop for ever.
            log.exception("Run of item %d of %s failed.", *reversed(item.key))
            if item.number in item.chunk.dispatched:
                return doubtful_outcome(item)
            return self._failed_try(item, "internal_error")

    async def _run_repeatable(self, server, item):
        poison = self._poison_of(server.service_name)
        now_ms = self._clock.wall_ms()
        if poison.standing(item.content, now_ms) == Standing.CONTAINED:
            return poisonous_outcome(item)
        rule = poison.rule(item.content, now_ms)
        if rule.isolated and not item.suspect:
            item.suspect = True
            return None
        elsewhere = rule.only is not None and server.name not in rule.only
        if elsewhere or not rule.allowed:
            await self._clock.sleep(NOT_RUN_PAUSE_S)
            return None
        attempt_id = uuid.uuid4().hex
        poison.started(item.content, attempt_id, server.name)
        try:
            return await self._try(server, item, poison, attempt_id)
        finally:
            poison.ended(item.content, attempt_id)

    async def _try(self, server, item, poison, attempt_id):
        try:
            outcome = await self._attempt(server, item)
        except BackendError as error:
            if error.code == "stream_broken":
                return self._after_crash(item, poison, attempt_id)
            if error.code in FINAL_CODES:
                return failed_outcome(item, error.code, error.message)
            if error.execution == Execution.NOT_RUN:
                await self._clock.sleep(NOT_RUN_PAUSE_S)
                return None
            return self._failed_try(item, error.code)
        verdict = poison.finished(item.content, attempt_id, self._clock.wall_ms())
        if verdict is not None:
            self._share(verdict)
        return outcome

    def _after_crash(self, item, poison, attempt_id):
        # A crash does not count as a try: most items that run on a server when
        # it crashes did nothing to it, and the verdicts bound the crashes.
        verdict = poison.crashed(item.content, attempt_id, self._clock.wall_ms())
        if verdict is None:
            return self._failed_try(item, "stream_broken")
        self._share(verdict)
        item.suspect = True
        return poisonous_outcome(item) if verdict.contained else None

    def _failed_try(self, item, code):
        item.attempts += 1
        if item.attempts >= self._settings.max_item_attempts:
            return failed_outcome(item, code, "The item failed on every try.")
        return None

    async def _attempt(self, server, item):
        """Return the outcome of one attempt; raise BackendError."""
        if item.url not in MODEL_ENDPOINTS:
            return self._from_answer(item, await self._forward(server, item))
        try:
            async with asyncio.timeout(RUN_TIMEOUT_S):
                return await self._stream(server, item)
        except TimeoutError as error:
            raise BackendError("no answer in time", code="timeout") from error

    async def _stream(self, server, item):
        request = OnlineRequest(
            request_id=f"{item.chunk.grant.job_id}-{item.number}-{uuid.uuid4().hex[:8]}",
            tenant=item.chunk.grant.tenant,
            endpoint=item.url,
            model=item.body["model"],
            body=item.body,
            deadline=self._clock.monotonic() + RUN_TIMEOUT_S,
        )
        last, usage = None, None
        async for chunk in self._engine_client.stream(
            server, request, item.attempts + 1, item.tokens, item.text
        ):
            if chunk.text and chunk.index >= item.tokens:
                if chunk.index > item.tokens:
                    raise BackendError("tokens are missing", code="bad_answer")
                item.tokens += 1
                item.text += chunk.text
            if chunk.finish_reason:
                last = chunk
            usage = chunk.usage or usage
        if last is None:
            raise BackendError("answer has no end", code="stream_broken")
        return self._succeeded(item, 200, answer_body(item, last, usage))

    def _succeeded(self, item, http_status, body):
        line = result_line(
            item.chunk.grant.job_id, item.number, item.custom_id, http_status, body
        )
        return ItemOutcome(
            item.number, OutcomeStatus.SUCCEEDED, http_status, line, item.attempts + 1
        )

    async def _run_once(self, server, item):
        """Run a non-idempotent item: intent in the log, then one dispatch."""
        held = item.chunk
        if item.number in held.dispatched:
            return doubtful_outcome(item)
        await self._record_intent(item)
        # Checked directly before the dispatch: another holder may take the
        # chunk over once the lease has lapsed.
        if held.lease_left_s(self._clock.monotonic()) < DISPATCH_MARGIN_S:
            raise Refused("lease is about to lapse", step="dispatch")
        held.dispatched.add(item.number)
        try:
            return await self._attempt(server, item)
        except BackendError as error:
            if error.execution != Execution.NOT_RUN:
                return doubtful_outcome(item)
        held.dispatched.discard(item.number)
        await self._clock.sleep(NOT_RUN_PAUSE_S)
        return None

    async def _record_intent(self, item):
        held, number = item.chunk, item.number
        if number in held.intent_offsets:
            return
        offset = held.claim_offset
        held.tried_offsets.setdefault(number, set()).add(offset)
        intent = ItemIntent(held.grant.job_id, held.grant.chunk, offset, [number])
        verdicts = await self._shards.submit(
            held.shard, [make_record(intent)], INTENT_TIMEOUT_S
        )
        if not verdicts[0].valid:
            offset = await self._earlier_intent(item)
        if offset is None:
            raise Refused(f"intent is void: {verdicts[0].reason}", step="intent")
        held.intent_offsets[number] = offset

    async def _earlier_intent(self, item):
        """
        Return the claim of an intent of this chunk that was thought lost.

        Only this holder writes intents under its claims, and it has not sent
        the item to any server, so it may still do so.
        """
        state = await self._shards.view(item.chunk.shard)
        job = state.jobs_by_id.get(item.chunk.grant.job_id)
        offset = job.intents_by_item.get(item.number) if job else None
        return offset if offset in item.chunk.tried_offsets[item.number] else None

    async def _forward(self, server, item):
        path = "/" + "/".join(item.url.split("/")[3:])
        headers = {
            "Content-Type": "application/json",
            "X-Call-Id": f"{item.chunk.grant.job_id}-{item.number}",
        }
        return await self._engine_client.forward(
            server, "POST", path, headers, orjson.dumps(item.body), RUN_TIMEOUT_S
        )

    def _from_answer(self, item, answer):
        try:
            body = orjson.loads(answer.body)
        except orjson.JSONDecodeError:
            body = answer.body.decode(errors="replace")
        if answer.status < 400:
            return self._succeeded(item, answer.status, body)
        response = {"status_code": answer.status, "body": body}
        return failed_outcome(
            item, "backend_error", f"Answered with status {answer.status}.", response
        )


def failed_outcome(item, code, message, response=None):
    """Return the outcome of an item that ran and failed for good."""
    line = error_line(
        item.chunk.grant.job_id, item.number, item.custom_id, code, message, response
    )
    return ItemOutcome(item.number, OutcomeStatus.FAILED, 0, line, item.attempts, code)


def poisonous_outcome(item):
    """Return the outcome of an item whose content crashes servers."""
    return failed_outcome(
        item, "poison_request", "The item crashed the servers that ran it."
    )


def doubtful_outcome(item):
    """Return the outcome of an item whose answer was lost after dispatch."""
    line = error_line(
        item.chunk.grant.job_id,
        item.number,
        item.custom_id,
        "may_have_run",
        "The item was sent to a backend server and its answer was lost.",
    )
    return ItemOutcome(
        item.number, OutcomeStatus.MAY_HAVE_RUN, 0, line, 1, "may_have_run"
    )
