"""Recording of the outcomes of calls, also after the caller has its answer."""

import asyncio

from galenascale.errors import GalenascaleError
from galenascale.logs import get_logger
from galenascale.shards import make_record, shard_from_id

log = get_logger("calls")

OUTCOME_TIMEOUT_S = 5.0
# The answer is recorded before the caller gets it, unless that takes longer.
ANSWER_AFTER_S = 1.0
RECORD_RETRY_S = 1.0


class CallRecorder:
    """Outcomes that are not in the log yet, each recorded by a task."""

    def __init__(self, shards, clock, on_ended):
        self._shards = shards
        self._clock = clock
        # Called with the intent id when its recording has ended.
        self._on_ended = on_ended
        # CallOutcomes by intent id, those of peers by call id.
        self._outcomes_by_id = {}
        self._tasks = set()

    def record(self, shard, intent_id, outcome):
        """Record an outcome in a task; return a bounded wait for it."""
        task = self._spawn(shard, intent_id, outcome)
        return asyncio.ensure_future(self._clock.wait_any([task], ANSWER_AFTER_S))

    def _spawn(self, shard, intent_id, outcome):
        self._outcomes_by_id[intent_id] = outcome
        task = asyncio.create_task(self._record(shard, intent_id, outcome))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _record(self, shard, intent_id, outcome):
        try:
            while not await self._submit(shard, outcome):
                await self._clock.sleep(RECORD_RETRY_S)
            self._outcomes_by_id.pop(intent_id, None)
        finally:
            self._on_ended(intent_id)

    async def _submit(self, shard, outcome):
        try:
            await self._shards.submit(
                shard, [make_record(outcome)], OUTCOME_TIMEOUT_S, urgent=True
            )
        except GalenascaleError as error:
            log.warning(
                "Outcome of %s is not recorded yet: %s.", outcome.call_id, error
            )
            return False
        return True

    def ids(self):
        """Return the ids of what is not recorded."""
        return self._outcomes_by_id.keys()

    @property
    def is_empty(self):
        """Whether nothing is being recorded."""
        return not self._tasks

    def pending(self):
        """Return the CallOutcomes that are not recorded."""
        return list(self._outcomes_by_id.values())

    def take_over(self, outcomes):
        """Record the CallOutcomes of a peer that stops; return their count."""
        for outcome in outcomes:
            shard = shard_from_id(outcome.call_id, self._shards.count)
            self._spawn(shard, outcome.call_id, outcome)
        return len(outcomes)

    async def close(self):
        """Stop recording; calls without recorded outcome stay in doubt."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
