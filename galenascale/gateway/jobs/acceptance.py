"""Acceptance of submitted jobs: a job is stored before it is acknowledged."""

from galenascale.errors import Execution, GalenascaleError
from galenascale.gateway.attempts import may_have_run_error, not_run_error
from galenascale.gateway.jobs.item_routes import check_item_routes
from galenascale.gateway.jobs.partitions import retry_until
from galenascale.gateway.jobs.pieces import append_pieces
from galenascale.gateway.jobs.quota_reconciler import RESERVATION_TTL_S
from galenascale.gateway.jobs.records import compress, split_bytes
from galenascale.gateway.jobs.scopes import QuotaScope
from galenascale.gateway.jobs.state import JobState
from galenascale.gateway.jobs.unread_records import not_returned_error
from galenascale.gateway.store_sizes import record_limit
from galenascale.generated.gateway_messages import Job, JobItem, JobRecordKind
from galenascale.store import STORE_ERRORS, StoreFenced

# Share of the caller's timeout for which writes to the store are retried.
TIMEOUT_SHARE = 0.7
# Timeout in seconds that is assumed for a caller that states none.
DEFAULT_TIMEOUT_S = 4.0
# Seconds in the Retry-After header while the store does not answer.
RETRY_AFTER_S = 0.8
# The same while there is no memory for another job.
JOBS_FULL_RETRY_S = 1.0
_RETRYABLE_ERRORS = (StoreFenced, *STORE_ERRORS)


class JobAcceptor:
    """Stores submitted jobs; submitting a stored job again is accepted."""

    def __init__(self, context, partitions, started_ms):
        self._context = context
        self._partitions = partitions
        self._started_ms = started_ms

    async def accept(self, submission, request, route, arrived_at):
        """
        Store a job and return the offset of its record.

        Return None for a job that was already stored. `arrived_at` is a
        monotonic time in seconds.

        Raise UserError if an item cannot run on its route, and RequestFailed
        if the job does not fit the quota of its route or if the store does not
        confirm it in time. The error says "not run" only if nothing can have
        been stored.
        """
        timeout_s = request.timeout_s or DEFAULT_TIMEOUT_S
        deadline = arrived_at + timeout_s * TIMEOUT_SHARE
        write = _JobWrite(
            self._context,
            self._partitions.for_job(submission.job_id),
            route,
            request.tenant or "",
        )

        async def step():
            job = self._make_job(submission, request, route)
            return await write.attempt(submission, job)

        try:
            return await retry_until(
                self._context.clock, deadline, step, _RETRYABLE_ERRORS
            )
        except _RETRYABLE_ERRORS as error:
            raise write.failure(submission.job_id, error) from error

    def _make_job(self, submission, request, route):
        return Job(
            accepted_ms=self._context.clock.wall_ms(),
            host=request.host,
            path=request.path,
            items=[
                JobItem(
                    item_id=item.item_id,
                    path=item.path,
                    headers=dict(item.headers),
                    tokens=item.tokens,
                )
                for item in submission.items
            ],
            runner=self._context.settings.host_id,
            runner_started_ms=self._started_ms,
            due_ms=int(route.due_s * 1000),
            give_up_ms=int(route.give_up_s * 1000),
            config_version=self._context.configuration.version,
            route=route.name,
            tenant=request.tenant or "",
        )


class _JobWrite:
    """Attempts to store one job, with the state that they share."""

    def __init__(self, context, partition, route, tenant):
        self._context = context
        self._partition = partition
        self._route = route
        self._tenant = tenant
        # Monotonic time in seconds until which the reservation has certainly
        # not expired.
        self._reserved_until = float("-inf")
        self._bodies_offset = None
        # True once an append of the job's record failed but may have taken
        # effect.
        self._maybe_stored = False

    async def attempt(self, submission, job):
        """
        Try to store a job; return its offset, or None if it was stored before.

        Raise the errors of the store, UserError if an item cannot run on its
        route, and RequestFailed if the quota of the route has too few tokens
        left.
        """
        job_id = submission.job_id
        jobs_by_id = self._partition.state.jobs_by_id
        if job_id not in jobs_by_id:
            await self._partition.refresh()
        if job_id in jobs_by_id:
            return None
        if self._partition.is_unsure_of(job_id):
            # It may be stored.
            self._maybe_stored = True
            raise not_returned_error()
        if not self._maybe_stored:
            check_item_routes(self._context.configuration, job)
            self._check_memory(job)
            await self._reserve(job_id, job)
        return await self._store(submission, job)

    def _check_memory(self, job):
        """Raise RequestFailed if there is no room for the job on this host."""
        size = JobState.from_job("", job).size()
        if not self._context.job_memory.has_room(size):
            raise not_run_error(
                "memory for accepted jobs is used up",
                code="job_memory_full",
                retry_after_s=JOBS_FULL_RETRY_S,
            )

    async def _reserve(self, job_id, job):
        now = self._context.clock.monotonic()
        if now < self._reserved_until:
            return
        tokens = sum(item.tokens for item in job.items)
        await self._context.quotas.reserve(self._route, self._tenant, job_id, tokens)
        self._reserved_until = now + RESERVATION_TTL_S / 2

    async def _store(self, submission, job):
        records = _split_bodies(submission, job, self._context.settings.store)
        if self._bodies_offset is None:
            self._bodies_offset = await append_pieces(
                self._context, self._partition.number, records
            )
        job.bodies_offset = self._bodies_offset
        record = await self._partition.prepare(
            JobRecordKind.JOB, submission.job_id, job
        )
        try:
            return await self._partition.append(record)
        except GalenascaleError as error:
            if error.execution is not Execution.NOT_RUN:
                self._maybe_stored = True
            raise

    def failure(self, job_id, error):
        """Return the RequestFailed to raise after the last attempt failed."""
        if isinstance(error, StoreFenced):
            reason = f"other writers were always first: {error.message}"
        else:
            reason = f"store does not answer: {error.message}"
        if self._maybe_stored:
            return may_have_run_error(reason, code="job_unknown", http_status=504)
        scope = QuotaScope(self._route.name, self._tenant)
        self._context.quotas.release(scope, job_id, 0)
        return not_run_error(
            reason, code="store_unavailable", retry_after_s=RETRY_AFTER_S
        )


def _split_bodies(submission, job, store_settings):
    """Set the positions of the bodies in a job; return their records."""
    records = []
    for item, stored in zip(submission.items, job.items, strict=True):
        pieces = split_bytes(compress(item.body), record_limit(store_settings))
        stored.body_bytes = len(item.body)
        stored.first_record = len(records)
        stored.records = len(pieces)
        records.extend(pieces)
    return records
