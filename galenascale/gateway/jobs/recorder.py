"""Writes outcomes and progress of items to the store, in batches."""

import asyncio

from galenascale.gateway.jobs.partitions import RETRY_INTERVAL_S
from galenascale.gateway.jobs.records import encode_record
from galenascale.gateway.jobs.scopes import QuotaScope
from galenascale.generated.gateway_messages import (
    ItemOutcome,
    ItemProgress,
    JobOutcomes,
    JobProgress,
    JobRecordKind,
)
from galenascale.store import STORE_ERRORS

# Seconds for which outcomes are collected before they are appended together.
BATCH_DELAY_S = 0.15


class OutcomeRecorder:
    """Holds outcomes until the store has confirmed them."""

    def __init__(self, context, partitions):
        self._context = context
        self._partitions = partitions
        self._pending_by_job = {}
        self._wake = asyncio.Event()

    def add(self, job_id, index, state, text=b""):
        """Queue the outcome of an item for the next batch."""
        outcome = ItemOutcome(index=index, state=int(state), text=text)
        self._pending_by_job.setdefault(job_id, {})[index] = outcome
        self._wake.set()

    async def run(self):
        """Write outcomes until cancelled."""
        while True:
            if not self._pending_by_job:
                await self._wake.wait()
            self._wake.clear()
            await self._context.clock.sleep(BATCH_DELAY_S)
            try:
                await self.flush()
            except STORE_ERRORS:
                # The loss of the store is already logged.
                await self._context.clock.sleep(RETRY_INTERVAL_S)

    async def flush(self):
        """Write all pending outcomes; raise the errors of the store."""
        for job_id in list(self._pending_by_job):
            outcomes = list(self._pending_by_job[job_id].values())
            await self._write(job_id, outcomes)
            pending = self._pending_by_job.get(job_id, {})
            for outcome in outcomes:
                pending.pop(outcome.index, None)
            if not pending:
                self._pending_by_job.pop(job_id, None)

    async def _write(self, job_id, outcomes):
        limit = self._context.settings.store.record_bytes // 2
        partition = self._partitions.for_job(job_id)
        group = []
        size = 0
        for outcome in outcomes:
            if group and size + len(outcome.text) > limit:
                await self._append(partition, job_id, group)
                group = []
                size = 0
            group.append(outcome)
            size += len(outcome.text)
        await self._append(partition, job_id, group)

    async def _append(self, partition, job_id, group):
        record = encode_record(
            JobRecordKind.OUTCOMES, job_id, JobOutcomes(outcomes=group)
        )
        await partition.append(record)
        self._release_tokens(partition, job_id, group)
        self._context.log.write(
            "outcomes_recorded",
            job=job_id,
            items=[outcome.index for outcome in group],
        )

    def _release_tokens(self, partition, job_id, group):
        """Release the tokens of items whose outcomes have been stored."""
        state = partition.state.jobs_by_id.get(job_id)
        if state is not None:
            finished = {outcome.index for outcome in group}
            tokens = state.open_tokens(finished)
            scope = QuotaScope.of_job(state.job)
            self._context.quotas.release(scope, job_id, tokens)

    async def record_progress(self, job_id, items):
        """Write the output of unfinished items; raise the store's errors."""
        unrecorded = [item for item in items if item.unrecorded_events]
        if not unrecorded:
            return
        progress = [
            ItemProgress(item.index, item.last_event_id, item.text())
            for item in unrecorded
        ]
        record = encode_record(
            JobRecordKind.PROGRESS, job_id, JobProgress(items=progress)
        )
        await self._partitions.for_job(job_id).append(record)
        for item, recorded in zip(unrecorded, progress, strict=True):
            item.recorded_event_id = recorded.last_event_id
