"""Reservation and release of tokens for jobs on routes with a quota.

A reservation is a record in the log of the route's quota; its position there
decides whether it fits. The host that records outcomes releases the tokens of
finished items. The host to which the job's partition is assigned corrects what
a lost host did not release.
"""

import asyncio

from galenascale.codec import encode
from galenascale.gateway.attempts import not_run_error
from galenascale.gateway.jobs.partitions import (
    QUOTAS_TOPIC,
    RETRY_INTERVAL_S,
    Partition,
)
from galenascale.gateway.jobs.quota_reconciler import QuotaReconciler
from galenascale.gateway.jobs.quota_state import QuotaState
from galenascale.gateway.jobs.scopes import QuotaScope
from galenascale.generated.gateway_messages import QuotaRecord, QuotaRecordKind
from galenascale.hashing import shard_of
from galenascale.store import STORE_ERRORS

# Maximum age in seconds of a quota's known state with which a job is refused
# without reading the log.
MAX_STATE_AGE_S = 0.3
# Seconds for which releases are collected before they are appended together.
BATCH_DELAY_S = 0.1
# Seconds between two reconciliations of the quotas with the jobs in the
# partitions assigned to this host, and the maximum age of the known state of
# these partitions.
RECONCILE_INTERVAL_S = 2.0
# Seconds in the Retry-After header while no tokens become free.
RETRY_AFTER_S = 1.0
# Lower bound in seconds of the Retry-After header.
MIN_RETRY_AFTER_S = 0.5


class Quotas:
    """Reserves, releases and reconciles tokens on routes with a quota."""

    def __init__(self, context, partitions, group_membership):
        self._context = context
        self._partitions = partitions
        self._group_membership = group_membership
        self._logs_by_scope = {}
        # Open tokens by (scope, job id) of releases that are not yet written.
        self._pending_releases = {}
        self._wake = asyncio.Event()
        self._reconcilers_by_scope = {}
        self._reconciled_at = float("-inf")
        self._reconciled_version = 0

    def _log_for(self, scope):
        if scope not in self._logs_by_scope:
            number = shard_of(scope.name, self._context.settings.store.partitions)
            self._logs_by_scope[scope] = Partition(
                self._context, QUOTAS_TOPIC, number, QuotaState(scope.name)
            )
        return self._logs_by_scope[scope]

    def _limit(self, route, state):
        """
        Return the limit of a route.

        It is taken from this host's configuration or from the log, whichever
        knows the newer version.
        """
        if state.config_version > self._context.configuration.version:
            return state.limit
        return route.max_open_tokens

    async def reserve(self, route, tenant, job_id, tokens):
        """
        Reserve tokens for a tenant's job that is about to be stored.

        Does nothing if the route has no limit or the job holds tokens already.
        Raise RequestFailed if the tokens do not fit, and the store's errors.
        """
        if not route.max_open_tokens:
            return
        scope = QuotaScope(route.name, tenant)
        log = self._log_for(scope)
        await log.refresh(MAX_STATE_AGE_S)
        state = log.state
        reserved = job_id in state.open_jobs_by_id
        if not reserved and state.fits(tokens, self._limit(route, state)):
            record = self._make_record(QuotaRecordKind.RESERVE, scope, job_id, tokens)
            record.limit = route.max_open_tokens
            record.config_version = self._context.configuration.version
            await log.read_past(await log.append(encode(record)))
            reserved = job_id in state.open_jobs_by_id
        self._log_decision(route, tenant, log, job_id, tokens, reserved)
        if not reserved:
            raise self._quota_exceeded(route, state, tokens)

    def _make_record(self, kind, scope, job_id, tokens):
        return QuotaRecord(
            kind=int(kind),
            route=scope.name,
            job_id=job_id,
            tokens=tokens,
            written_ms=self._context.clock.wall_ms(),
        )

    def _log_decision(self, route, tenant, log, job_id, tokens, reserved):
        state = log.state
        if not tenant:
            self._context.metrics.quota_open_tokens.labels(route.name).set(state.total)
        self._context.log.write(
            "quota_decided",
            job=job_id,
            route=route.name,
            tenant=tenant,
            tokens=tokens,
            open_tokens=state.total,
            limit=self._limit(route, state),
            config=self._context.configuration.version,
            position=log.position,
            outcome="reserved" if reserved else "refused",
        )

    def _quota_exceeded(self, route, state, tokens):
        limit = self._limit(route, state)
        retry_after_s = None
        if tokens <= limit:
            now_ms = self._context.clock.wall_ms()
            estimated_wait_s = state.estimated_wait_s(tokens, limit, now_ms)
            retry_after_s = (
                RETRY_AFTER_S if estimated_wait_s is None else estimated_wait_s
            )
            retry_after_s = max(MIN_RETRY_AFTER_S, retry_after_s)
        return not_run_error(
            f"job needs {tokens} tokens; {state.total} of {limit} are in use",
            code="quota_exceeded",
            http_status=429,
            retry_after_s=retry_after_s,
        )

    def release(self, scope, job_id, tokens):
        """Lower the open tokens of a job to `tokens` with the next batch."""
        if scope.route in self._limited_routes() or scope in self._logs_by_scope:
            self._pending_releases[scope, job_id] = tokens
            self._wake.set()

    def _limited_routes(self):
        configuration = self._context.configuration.current
        routes = configuration.routes if configuration else ()
        return {route.name for route in routes if route.max_open_tokens}

    async def run(self):
        """Write releases and reconcile the quotas until cancelled."""
        while True:
            try:
                async with asyncio.timeout(RECONCILE_INTERVAL_S / 4):
                    await self._wake.wait()
                await self._context.clock.sleep(BATCH_DELAY_S)
            except TimeoutError:
                pass
            self._wake.clear()
            try:
                await self._write_releases()
                if self._is_reconciliation_due():
                    await self._reconcile()
            except STORE_ERRORS:
                # The loss of the store is already logged.
                await self._context.clock.sleep(RETRY_INTERVAL_S)

    async def _write_releases(self):
        by_scope = {}
        for (scope, job_id), tokens in self._pending_releases.items():
            record = self._make_record(QuotaRecordKind.RELEASE, scope, job_id, tokens)
            by_scope.setdefault(scope, {})[job_id] = record
        for scope, record_by_job in by_scope.items():
            records = [encode(record) for record in record_by_job.values()]
            await self._log_for(scope).append_all(records)
            for job_id, record in record_by_job.items():
                # A later release of the job may have replaced this one.
                if self._pending_releases.get((scope, job_id)) == record.tokens:
                    del self._pending_releases[scope, job_id]

    def _is_reconciliation_due(self):
        now = self._context.clock.monotonic()
        version = self._context.configuration.version
        if (
            now - self._reconciled_at < RECONCILE_INTERVAL_S
            and version == self._reconciled_version
        ):
            return False
        self._reconciled_at = now
        self._reconciled_version = version
        return True

    async def _reconcile(self):
        """Reconcile the quotas with the jobs in the assigned partitions."""
        numbers = self._group_membership.partitions
        limited = self._limited_routes()
        if not numbers or not limited:
            return
        for number in numbers:
            await self._partitions.get(number).refresh(RECONCILE_INTERVAL_S)
        jobs_by_scope = self._assigned_jobs_by_scope(limited)
        known = {scope for scope in self._logs_by_scope if scope.route in limited}
        routes = {QuotaScope(route) for route in limited}
        for scope in known | routes | jobs_by_scope.keys():
            await self._reconcile_scope(scope, jobs_by_scope.get(scope, {}))

    def _assigned_jobs_by_scope(self, routes):
        jobs_by_scope = {}
        for number in self._group_membership.partitions:
            jobs_by_id = self._partitions.get(number).state.jobs_by_id
            for job_id, state in jobs_by_id.items():
                if state.job.route in routes:
                    scope = QuotaScope.of_job(state.job)
                    jobs_by_scope.setdefault(scope, {})[job_id] = state
        return jobs_by_scope

    async def _reconcile_scope(self, scope, jobs):
        log = self._log_for(scope)
        await log.refresh()
        records = [
            self._make_record(item.kind, scope, item.job_id, item.tokens)
            for item in self._corrections(scope, log, jobs)
        ]
        if records:
            await log.append_all([encode(record) for record in records])
            self._context.log.write(
                "quota_mended",
                route=scope.route,
                tenant=scope.tenant,
                jobs=[record.job_id for record in records],
            )

    def _corrections(self, scope, log, jobs):
        numbers = self._group_membership.partitions
        reconciler = self._reconcilers_by_scope.setdefault(scope, QuotaReconciler())
        return reconciler.corrections(
            log.state.open_jobs_by_id,
            jobs,
            lambda job_id: self._partitions.for_job(job_id).number in numbers,
            self._context.clock.monotonic(),
        )
