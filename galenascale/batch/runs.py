"""One run of one batch item on one backend server."""

import asyncio
import uuid

import orjson

from galenascale.batch.held import answer_body
from galenascale.batch_lines import MODEL_ENDPOINTS
from galenascale.errors import BackendError, Execution, GalenascaleError, Refused
from galenascale.generated.messages import ItemIntent, ItemOutcome, OutcomeStatus
from galenascale.jobs import error_line, result_line
from galenascale.logs import get_logger
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
# Servers that one item may have crashed before it counts as poison.
MAX_CRASHED_SERVERS = 2


class ItemRunner:
    """Runs items; what an interrupted run made is kept in the item."""

    def __init__(self, engine_client, shards, clock, settings, on_crash=None):
        self._engine_client = engine_client
        self._shards = shards
        self._clock = clock
        self._settings = settings
        # Called with (server, item) when a server broke off a stream.
        self._on_crash = on_crash or (lambda server, item: None)

    async def run(self, server, item):
        """
        Return the ItemOutcome, or None if the item has to be run again.

        Raise GalenascaleError if it cannot run now.
        """
        try:
            return await self._run(server, item)
        except GalenascaleError:
            raise
        except Exception:
            # An item must not be lost to a fault of the program: it would keep
            # its chunk, and so its job, from ever ending.
            log.exception("Run of item %d failed.", item.number)
            if item.number in item.chunk.intent_offsets:
                return doubtful_outcome(item)
            return self._failed_try(server, item, "internal_error", crashed=False)

    async def _run(self, server, item):
        if item.url in MODEL_ENDPOINTS:
            return await self._run_completion(server, item)
        if item.chunk.grant.idempotent:
            return await self._run_call(server, item)
        return await self._run_once(server, item)

    async def _run_completion(self, server, item):
        request = OnlineRequest(
            request_id=f"{item.chunk.grant.job_id}-{item.number}-{uuid.uuid4().hex[:8]}",
            tenant=item.chunk.grant.tenant,
            endpoint=item.url,
            model=item.body["model"],
            body=item.body,
            deadline=self._clock.monotonic() + RUN_TIMEOUT_S,
        )
        chunks = []
        try:
            stream = self._engine_client.stream(
                server, request, item.attempts + 1, item.tokens, item.text
            )
            async with asyncio.timeout(RUN_TIMEOUT_S):
                async for chunk in stream:
                    if chunk.text:
                        item.tokens += 1
                        item.text += chunk.text
                    if chunk.finish_reason:
                        chunks.append(chunk)
        except TimeoutError:
            return self._failed_try(server, item, "timeout", crashed=False)
        except BackendError as error:
            return await self._after_error(server, item, error)
        if not chunks:
            return self._failed_try(server, item, "stream_broken", crashed=True)
        return self._succeeded(item, 200, answer_body(item, chunks))

    async def _after_error(self, server, item, error):
        if error.code in FINAL_CODES:
            return failed_outcome(item, error.code, error.message)
        if error.execution == Execution.NOT_RUN:
            await self._clock.sleep(NOT_RUN_PAUSE_S)
            return None
        return self._failed_try(server, item, error.code, error.code == "stream_broken")

    def _failed_try(self, server, item, code, crashed):
        item.attempts += 1
        if crashed:
            item.crashed_servers.add(server.name)
            self._on_crash(server, item)
        if len(item.crashed_servers) >= MAX_CRASHED_SERVERS:
            return failed_outcome(
                item, "poison_request", "The item crashed the servers that ran it."
            )
        if item.attempts >= self._settings.max_item_attempts:
            return failed_outcome(item, code, "The item failed on every try.")
        return None

    def _succeeded(self, item, http_status, body):
        line = result_line(
            item.chunk.grant.job_id, item.number, item.custom_id, http_status, body
        )
        return ItemOutcome(
            item.number, OutcomeStatus.SUCCEEDED, http_status, line, item.attempts + 1
        )

    async def _run_call(self, server, item):
        try:
            answer = await self._forward(server, item)
        except BackendError as error:
            return await self._after_error(server, item, error)
        return self._from_answer(item, answer)

    async def _run_once(self, server, item):
        """Run a non-idempotent item: intent in the log, then one dispatch."""
        await self._record_intent(item)
        held = item.chunk
        # Checked directly before the dispatch: another holder may take the
        # chunk over once the lease has lapsed.
        if held.lease_left_s(self._clock.monotonic()) < DISPATCH_MARGIN_S:
            raise Refused("lease is about to lapse", step="dispatch")
        try:
            answer = await self._forward(server, item)
        except BackendError as error:
            if error.execution == Execution.NOT_RUN:
                await self._clock.sleep(NOT_RUN_PAUSE_S)
                return None
            return doubtful_outcome(item)
        return self._from_answer(item, answer)

    async def _record_intent(self, item):
        held = item.chunk
        if item.number in held.intent_offsets:
            return
        offset = held.claim_offset
        intent = ItemIntent(held.grant.job_id, held.grant.chunk, offset, [item.number])
        verdicts = await self._shards.submit(
            held.shard, [make_record(intent)], INTENT_TIMEOUT_S
        )
        if not verdicts[0].valid:
            raise Refused(f"intent is void: {verdicts[0].reason}", step="intent")
        held.intent_offsets[item.number] = offset

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
