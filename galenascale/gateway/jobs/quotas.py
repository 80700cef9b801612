"""Reservation of tokens for jobs on routes with a quota, and their return.

A reservation is a record in the log of the route's quota; its place there
decides whether it fits. The host that records outcomes lowers the tokens of
the job. Stewards of the job's partition mend what a lost host left.
"""

import asyncio

from galenascale.codec import encode
from galenascale.gateway.attempts import not_run_error
from galenascale.gateway.jobs.partitions import QUOTAS_TOPIC, RETRY_S, Partition
from galenascale.gateway.jobs.quota_repair import QuotaRepair
from galenascale.gateway.jobs.quota_state import QuotaState
from galenascale.generated.gateway_messages import QuotaRecord, QuotaRecordKind
from galenascale.hashing import shard_of
from galenascale.store import STORE_ERRORS

# Age in seconds of the known state at which a job that does not fit by it is
# refused without a read.
MAX_STATE_AGE_S = 0.3
# Seconds for which releases are gathered before one append.
GATHER_S = 0.1
# Seconds between two comparisons of a quota with the jobs of the partitions
# that were dealt to this host, and the age up to which these may be known.
COMPARE_INTERVAL_S = 2.0
# Seconds after which a caller comes back while nothing becomes free.
RETRY_AFTER_S = 1.0
MIN_RETRY_AFTER_S = 0.5


class Quotas:
    """Quotas of the routes, as far as this host has to do with them."""

    def __init__(self, parts, partitions, stewardship):
        self._parts = parts
        self._partitions = partitions
        self._stewardship = stewardship
        self._logs_by_route = {}
        # Open tokens by (route, job id) that are still to be written.
        self._releases = {}
        self._wake = asyncio.Event()
        self._repairs_by_route = {}
        self._compared_at = float("-inf")
        self._compared_version = 0

    def _log_of(self, route):
        if route not in self._logs_by_route:
            number = shard_of(route, self._parts.settings.store.partitions)
            self._logs_by_route[route] = Partition(
                self._parts, QUOTAS_TOPIC, number, QuotaState(route)
            )
        return self._logs_by_route[route]

    def _limit(self, route, state):
        """Return the newest limit that this host or the log knows."""
        if state.config_version > self._parts.configuration.version:
            return state.limit
        return route.max_open_tokens

    async def reserve(self, route, job_id, tokens):
        """
        Reserve tokens for a job that is about to be stored.

        Nothing is done on a route without a limit, or if the job has them.
        Raise RequestFailed if they do not fit, and as the store does.
        """
        if not route.max_open_tokens:
            return
        log = self._log_of(route.name)
        await log.refresh(MAX_STATE_AGE_S)
        state = log.state
        reserved = job_id in state.open_by_job
        if not reserved and state.fits(tokens, self._limit(route, state)):
            record = self._make(QuotaRecordKind.RESERVE, route.name, job_id, tokens)
            record.limit = route.max_open_tokens
            record.config_version = self._parts.configuration.version
            await log.read_past(await log.append(encode(record)))
            reserved = job_id in state.open_by_job
        self._note(route, log, job_id, tokens, reserved)
        if not reserved:
            raise self._refusal(route, state, tokens)

    def _make(self, kind, route, job_id, tokens):
        return QuotaRecord(
            kind=int(kind),
            route=route,
            job_id=job_id,
            tokens=tokens,
            written_ms=self._parts.clock.wall_ms(),
        )

    def _note(self, route, log, job_id, tokens, reserved):
        state = log.state
        self._parts.metrics.quota_open_tokens.labels(route.name).set(state.total)
        self._parts.log.write(
            "quota_decided",
            job=job_id,
            route=route.name,
            tokens=tokens,
            open_tokens=state.total,
            limit=self._limit(route, state),
            config=self._parts.configuration.version,
            position=log.position,
            outcome="reserved" if reserved else "refused",
        )

    def _refusal(self, route, state, tokens):
        limit = self._limit(route, state)
        retry_after_s = None
        if tokens <= limit:
            now_ms = self._parts.clock.wall_ms()
            free_in_s = state.free_in_s(tokens, limit, now_ms)
            retry_after_s = RETRY_AFTER_S if free_in_s is None else free_in_s
            retry_after_s = max(MIN_RETRY_AFTER_S, retry_after_s)
        return not_run_error(
            f"{tokens} tokens do not fit beside {state.total} of {limit}",
            code="quota_exceeded",
            http_status=429,
            retry_after_s=retry_after_s,
        )

    def release(self, route, job_id, tokens):
        """Write soon that a job has only so many open tokens left."""
        if route in self._limited_routes() or route in self._logs_by_route:
            self._releases[route, job_id] = tokens
            self._wake.set()

    def _limited_routes(self):
        configuration = self._parts.configuration.current
        routes = configuration.routes if configuration else ()
        return {route.name for route in routes if route.max_open_tokens}

    async def run(self):
        """Write releases and compare until cancelled."""
        while True:
            try:
                async with asyncio.timeout(COMPARE_INTERVAL_S / 4):
                    await self._wake.wait()
                await self._parts.clock.sleep(GATHER_S)
            except TimeoutError:
                pass
            self._wake.clear()
            try:
                await self._write_releases()
                if self._is_comparison_due():
                    await self._compare()
            except STORE_ERRORS:
                # The loss of the store has been logged.
                await self._parts.clock.sleep(RETRY_S)

    async def _write_releases(self):
        by_route = {}
        for (route, job_id), tokens in self._releases.items():
            record = self._make(QuotaRecordKind.RELEASE, route, job_id, tokens)
            by_route.setdefault(route, {})[job_id] = record
        for route, record_by_job in by_route.items():
            records = [encode(record) for record in record_by_job.values()]
            await self._log_of(route).append_all(records)
            for job_id, record in record_by_job.items():
                # Fewer may be left by now.
                if self._releases.get((route, job_id)) == record.tokens:
                    del self._releases[route, job_id]

    def _is_comparison_due(self):
        now = self._parts.clock.monotonic()
        version = self._parts.configuration.version
        if (
            now - self._compared_at < COMPARE_INTERVAL_S
            and version == self._compared_version
        ):
            return False
        self._compared_at = now
        self._compared_version = version
        return True

    async def _compare(self):
        """Bring the quotas in line with the jobs of the dealt partitions."""
        numbers = self._stewardship.partitions
        for route in self._limited_routes():
            if not numbers:
                return
            log = self._log_of(route)
            await log.refresh()
            for number in numbers:
                await self._partitions.get(number).refresh(COMPARE_INTERVAL_S)
            records = [
                self._make(item.kind, route, item.job_id, item.tokens)
                for item in self._corrections(route, log)
            ]
            if records:
                await log.append_all([encode(record) for record in records])
                self._parts.log.write(
                    "quota_mended",
                    route=route,
                    jobs=[record.job_id for record in records],
                )

    def _corrections(self, route, log):
        numbers = self._stewardship.partitions
        jobs = {
            job_id: state
            for number in numbers
            for job_id, state in self._partitions.get(number).state.jobs_by_id.items()
            if state.job.route == route
        }
        repair = self._repairs_by_route.setdefault(route, QuotaRepair())
        return repair.corrections(
            log.state.open_by_job,
            jobs,
            lambda job_id: self._partitions.of(job_id).number in numbers,
            self._parts.clock.monotonic(),
        )
