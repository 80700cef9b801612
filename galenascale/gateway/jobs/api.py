"""Calls with which callers submit, read and cancel jobs."""

import attrs
from aiohttp import web

from galenascale.errors import UserError
from galenascale.gateway.attempts import may_have_run_error, not_run_error
from galenascale.gateway.jobs.partitions import retry_until
from galenascale.gateway.jobs.records import encode_record
from galenascale.gateway.jobs.scopes import (
    QuotaScope,
    may_access,
    scoped_job_id,
)
from galenascale.gateway.jobs.stored_items import find_index
from galenascale.gateway.jobs.unread_records import not_returned_error
from galenascale.gateway.requests import ItemResult, JobCallKind
from galenascale.generated.gateway_messages import ItemState, JobRecordKind
from galenascale.store import STORE_ERRORS

# Maximum age in seconds of a partition's known state with which a call is
# answered without reading the store. Results that one host has returned must
# be visible at every other host within 1 s.
MAX_STATE_AGE_S = 0.4
# Seconds for which a call retries operations of the store.
STORE_TIMEOUT_S = 1.2
# Bytes of a job, in JSON, that each begin or end a part; text may hold them as
# well. A job of 200 items has some 8,000.
PART_MARKS = (b",", b"[", b"{")
MAX_JOB_PARTS = 50_000
# Seconds in the Retry-After header while the store does not answer.
RETRY_AFTER_S = 0.5
# Bytes of results that are read for one call; a page holds fewer.
MAX_RESULTS_BYTES = 1 << 20
# The same while the host stops: the kernel's buffers hold the whole page, so
# it does not depend on the time left how slowly the caller may read it.
STOPPING_RESULTS_BYTES = 32 << 10


class JobsApi:
    """Handles the calls of callers about jobs."""

    def __init__(self, context, partitions, loader, acceptor, bodies, runner):
        self._context = context
        self._partitions = partitions
        self._loader = loader
        self._acceptor = acceptor
        self._bodies = bodies
        self._runner = runner
        self._max_results_bytes = MAX_RESULTS_BYTES

    def begin_stop(self):
        """Answer with short pages from now on."""
        self._max_results_bytes = STOPPING_RESULTS_BYTES

    async def submit(self, exchange, route):
        """Store a submitted job, start to run it and return the response."""
        request = exchange.request
        self._refuse_too_many_parts(request.body)
        submission = self._context.dialect.parse_submission(request)
        submission = attrs.evolve(
            submission, job_id=scoped_job_id(request.tenant, submission.job_id)
        )
        offset = await self._acceptor.accept(
            submission, request, route, exchange.arrived_at
        )
        if offset is not None:
            self._bodies.cache(
                submission.job_id, [item.body for item in submission.items]
            )
            self._runner.follow_until(submission.job_id, offset)
        exchange.finish("job_accepted", items=len(submission.items), offset=offset)
        return web.Response(status=202, body=b"{}", content_type="application/json")

    def _refuse_too_many_parts(self, body):
        """Raise UserError for a body whose parsing would take much memory."""
        parts = sum(map(body.count, PART_MARKS))
        if parts > MAX_JOB_PARTS:
            self._context.metrics.caller_limits.labels("job_parts").inc()
            raise UserError(
                f"job has {parts} parts, more than {MAX_JOB_PARTS}",
                step="read_body",
                http_status=413,
            )

    async def answer_call(self, call, exchange):
        """Return the response to a call about a job; raise RequestFailed."""
        handler = {
            JobCallKind.RESULTS: self._results,
            JobCallKind.ITEM_BODY: self._item_body,
            JobCallKind.END: self._cancel,
        }[call.kind]
        state = await self._find_job(call, exchange.request.tenant)
        response = await handler(state, call)
        exchange.finish(f"job_{call.kind.value}", status=response.status)
        return response

    async def _find_job(self, call, tenant):
        """
        Return the JobState of a job that a tenant may access.

        It was read at most MAX_STATE_AGE_S seconds ago; if the store does not
        answer, it is the last known state. Raise UserError if there is no such
        job, and RequestFailed if the store does not answer and the job is not
        known here.
        """
        # Jobs from before the configuration had tenants have plain ids.
        job_ids = dict.fromkeys((scoped_job_id(tenant, call.job_id), call.job_id))
        for max_age_s in (MAX_STATE_AGE_S, 0.0):
            for job_id in job_ids:
                state = await self._read_job(job_id, max_age_s)
                if state is not None and may_access(state.job, tenant):
                    return state
        raise UserError("job does not exist", code="no_job", http_status=404)

    async def _read_job(self, job_id, max_age_s):
        partition = self._partitions.for_job(job_id)
        jobs_by_id = partition.state.jobs_by_id
        try:
            await self._retry(lambda: partition.refresh(max_age_s))
        except STORE_ERRORS as error:
            if job_id not in jobs_by_id:
                raise self._store_unavailable(error) from error
        if partition.is_unsure_of(job_id):
            raise self._store_unavailable(not_returned_error())
        return jobs_by_id.get(job_id)

    async def _retry(self, step):
        """Repeat a step until the store answers; raise after a timeout."""
        clock = self._context.clock
        return await retry_until(clock, clock.monotonic() + STORE_TIMEOUT_S, step)

    def _store_unavailable(self, error):
        return not_run_error(
            f"store does not answer: {error.message}",
            code="store_unavailable",
            retry_after_s=RETRY_AFTER_S,
        )

    async def _results(self, state, call):
        if len(state.outcomes) <= call.position and not state.finished:
            await self._wait_for_result(state, call)
        results = await self._load(self._read_results(state, call.position))
        page = self._context.dialect.encode_results(state.total, call.position, results)
        return web.Response(body=page, content_type="application/json")

    async def _read_results(self, state, position):
        items = await self._loader.items(state)
        results = await self._loader.results(state, position, self._max_results_bytes)
        return [
            ItemResult(
                items[outcome.index].item_id,
                outcome.state == ItemState.COMPLETED,
                text,
            )
            for outcome, text in results
        ]

    async def _load(self, reading):
        """Return what is read; raise RequestFailed if the store fails."""
        try:
            return await reading
        except STORE_ERRORS as error:
            raise self._store_unavailable(error) from error

    async def _wait_for_result(self, state, call):
        clock = self._context.clock
        deadline = clock.monotonic() + call.wait_s
        partition = self._partitions.for_job(state.job_id)
        while len(state.outcomes) <= call.position:
            remaining_s = deadline - clock.monotonic()
            if remaining_s <= 0:
                return
            try:
                await partition.poll(remaining_s)
            except STORE_ERRORS:
                # The caller gets the results known so far.
                return

    async def _item_body(self, state, call):
        items = await self._load(self._loader.items(state))
        index = find_index(items, call.item_id)
        if index is None or state.cancelled:
            raise UserError("item does not exist", code="no_item", http_status=404)
        body = await self._load(self._retry(lambda: self._bodies.read(state, index)))
        return web.Response(body=body, content_type="application/octet-stream")

    async def _cancel(self, state, _):
        if not state.cancelled:
            record = encode_record(JobRecordKind.ENDED, state.job_id)
            partition = self._partitions.for_job(state.job_id)
            try:
                await self._retry(lambda: partition.append(record))
            except STORE_ERRORS as error:
                raise may_have_run_error(
                    f"store does not answer: {error.message}",
                    code="end_unknown",
                    http_status=504,
                ) from error
            scope = QuotaScope.of_job(state.job)
            self._context.quotas.release(scope, state.job_id, 0)
            self._runner.wake()
        return web.Response(body=b"{}", content_type="application/json")
