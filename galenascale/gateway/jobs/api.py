"""Calls by which callers submit, read and end jobs."""

from aiohttp import web

from galenascale.errors import UserError
from galenascale.gateway.attempts import may_have_run_error, not_run_error
from galenascale.gateway.jobs.partitions import try_until
from galenascale.gateway.jobs.records import encode_record
from galenascale.gateway.requests import ItemResult, JobCallKind
from galenascale.generated.gateway_messages import ItemState, JobRecordKind
from galenascale.store import STORE_ERRORS

# Age in seconds up to which known results are returned without a read. What
# was read at another host must be seen here within a second.
MAX_RESULTS_AGE_S = 0.4
# Seconds for which a call tries to reach the store.
CALL_PATIENCE_S = 1.2
RETRY_AFTER_S = 0.5


class JobsApi:
    """Answers the calls about jobs."""

    def __init__(self, parts, partitions, acceptance, bodies, runner):
        self._parts = parts
        self._partitions = partitions
        self._acceptance = acceptance
        self._bodies = bodies
        self._runner = runner

    async def submit(self, exchange, route):
        """Accept a job."""
        request = exchange.request
        submission = self._parts.dialect.parse_submission(request)
        offset = await self._acceptance.accept(
            submission, request, route, exchange.arrived_at
        )
        if offset is not None:
            self._bodies.keep(
                submission.job_id, [item.body for item in submission.items]
            )
            self._runner.watch(submission.job_id, offset)
        exchange.finish("job_accepted", items=len(submission.items), offset=offset)
        return web.Response(status=202, body=b"{}", content_type="application/json")

    async def answer_call(self, call, exchange):
        """Answer a call about a job that was submitted."""
        answer = {
            JobCallKind.RESULTS: self._results,
            JobCallKind.ITEM_BODY: self._item_body,
            JobCallKind.END: self._end,
        }[call.kind]
        response = await answer(call)
        exchange.finish(f"job_{call.kind.value}", status=response.status)
        return response

    async def _find(self, call, max_age_s):
        """Return the JobState; raise UserError if there is no such job."""
        partition = self._partitions.of(call.job_id)
        try:
            await self._try(lambda: partition.refresh(max_age_s))
        except STORE_ERRORS as error:
            state = partition.state.jobs_by_id.get(call.job_id)
            if state is None:
                raise self._unsure(error) from error
            return state
        state = partition.state.jobs_by_id.get(call.job_id)
        if state is None and max_age_s:
            return await self._find(call, 0.0)
        if state is None:
            raise UserError("job does not exist", code="no_job", http_status=404)
        return state

    async def _try(self, step):
        """Repeat a step until the store answers or the patience ends."""
        clock = self._parts.clock
        return await try_until(clock, clock.monotonic() + CALL_PATIENCE_S, step)

    def _unsure(self, error):
        return not_run_error(
            f"store does not answer: {error.message}",
            code="store_unavailable",
            retry_after_s=RETRY_AFTER_S,
        )

    async def _results(self, call):
        state = await self._find(call, MAX_RESULTS_AGE_S)
        if len(state.outcomes) <= call.position and not state.finished:
            await self._wait_for_result(state, call)
        results = [
            ItemResult(
                state.job.items[outcome.index].item_id,
                outcome.state == ItemState.COMPLETED,
                outcome.text,
            )
            for outcome in state.outcomes[call.position :]
        ]
        page = self._parts.dialect.encode_results(state.total, call.position, results)
        return web.Response(body=page, content_type="application/json")

    async def _wait_for_result(self, state, call):
        clock = self._parts.clock
        give_up_at = clock.monotonic() + call.wait_s
        partition = self._partitions.of(call.job_id)
        while len(state.outcomes) <= call.position:
            remaining_s = give_up_at - clock.monotonic()
            if remaining_s <= 0:
                return
            try:
                await partition.wait(remaining_s)
            except STORE_ERRORS:
                # The call is answered with what is known.
                return

    async def _item_body(self, call):
        state = await self._find(call, MAX_RESULTS_AGE_S)
        index = state.index_of(call.item_id)
        if index is None or state.ended:
            raise UserError("item does not exist", code="no_item", http_status=404)
        try:
            body = await self._try(lambda: self._bodies.read(state, index))
        except STORE_ERRORS as error:
            raise self._unsure(error) from error
        return web.Response(body=body, content_type="application/octet-stream")

    async def _end(self, call):
        state = await self._find(call, MAX_RESULTS_AGE_S)
        if not state.ended:
            record = encode_record(JobRecordKind.ENDED, state.job_id)
            partition = self._partitions.of(call.job_id)
            try:
                await self._try(lambda: partition.append(record))
            except STORE_ERRORS as error:
                raise may_have_run_error(
                    f"store does not answer: {error.message}",
                    code="end_unknown",
                    http_status=504,
                ) from error
            self._parts.quotas.release(state.job.route, state.job_id, 0)
            self._runner.wake()
        return web.Response(body=b"{}", content_type="application/json")
