"""Writes outcomes and progress of items to the store, in batches."""

import asyncio

from galenascale.gateway.jobs.partitions import RETRY_INTERVAL_S
from galenascale.gateway.jobs.records import group_by_size
from galenascale.gateway.jobs.scopes import QuotaScope
from galenascale.gateway.store_sizes import (
    MAX_PROGRESS_BYTES,
    PROGRESS_GROUP_BYTES,
    record_limit,
)
from galenascale.generated.gateway_messages import (
    ItemOutcome,
    ItemProgress,
    JobOutcomes,
    JobProgress,
    JobRecordKind,
)
from galenascale.store import STORE_ERRORS, StoreRefused

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
        """
        Write the pending outcomes of all jobs.

        Neither a partition that does not answer nor a job whose record is
        refused keeps the others back. Raise one of the errors of the store.
        """
        job_ids_by_partition = {}
        for job_id in self._pending_by_job:
            number = self._partitions.for_job(job_id).number
            job_ids_by_partition.setdefault(number, []).append(job_id)
        results = await asyncio.gather(
            *map(self._flush_jobs, job_ids_by_partition.values()),
            return_exceptions=True,
        )
        for error in filter(None, results):
            raise error

    async def _flush_jobs(self, job_ids):
        """Write the outcomes of jobs of one partition, until it fails."""
        refusal = None
        for job_id in job_ids:
            try:
                await self._flush_job(job_id)
            except StoreRefused as error:
                refusal = error
                self._context.log.write(
                    "record_refused", "error", job=job_id, reason=error.message
                )
        if refusal is not None:
            raise refusal

    async def _flush_job(self, job_id):
        # Another call may have written them while this one waited.
        pending = self._pending_by_job.get(job_id, {})
        outcomes = list(pending.values())
        if outcomes:
            await self._write(job_id, outcomes)
        for outcome in outcomes:
            pending.pop(outcome.index, None)
        if not pending and self._pending_by_job.get(job_id) is pending:
            del self._pending_by_job[job_id]

    async def _write(self, job_id, outcomes):
        limit = record_limit(self._context.settings.store) // 2
        partition = self._partitions.for_job(job_id)
        for group in group_by_size(outcomes, limit, _text_bytes):
            await self._append(partition, job_id, group)

    async def _append(self, partition, job_id, group):
        record = await partition.prepare(
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
        """
        Write the output of unfinished items; raise the store's errors.

        Output that is too long for a record is left out; the item begins anew.
        """
        unrecorded = [item for item in items if item.unrecorded_events]
        recordable = [
            item for item in unrecorded if item.held_bytes <= MAX_PROGRESS_BYTES
        ]
        if len(recordable) < len(unrecorded):
            left_out = len(unrecorded) - len(recordable)
            self._context.log.write("progress_too_long", job=job_id, items=left_out)
        partition = self._partitions.for_job(job_id)
        groups = group_by_size(recordable, PROGRESS_GROUP_BYTES, _held_bytes)
        for group in groups:
            await self._append_progress(partition, job_id, group)

    async def _append_progress(self, partition, job_id, items):
        progress = [
            ItemProgress(item.index, item.last_event_id, item.text()) for item in items
        ]
        record = await partition.prepare(
            JobRecordKind.PROGRESS, job_id, JobProgress(items=progress)
        )
        await partition.append(record)
        for item, recorded in zip(items, progress, strict=True):
            item.recorded_event_id = recorded.last_event_id


def _held_bytes(item):
    return item.held_bytes


def _text_bytes(outcome):
    return len(outcome.text)
