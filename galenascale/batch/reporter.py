"""Recording of item outcomes in groups.

Outcomes that are not read back from the log count as unrecorded. Their number
is bounded: the worker takes no more items while the bound is reached.
"""

import asyncio
import collections

from galenascale.errors import GalenascaleError
from galenascale.generated.messages import HandOverReply, Outcomes
from galenascale.logs import get_logger
from galenascale.shards import make_record, shard_from_id

log = get_logger("batch")

SUBMIT_TIMEOUT_S = 5.0
RETRY_PAUSE_S = 0.5
# Outcomes of one chunk wait for others of it, so that one record holds many.
GATHER_S = 0.3


class OutcomeReporter:
    """Holds outcomes until they are recorded."""

    def __init__(self, shards, clock, on_recorded):
        self._shards = shards
        self._clock = clock
        # Called with (job id, list of items) once they are in the log.
        self._on_recorded = on_recorded
        self._outcomes_by_claim = collections.defaultdict(list)
        # Messages of the submissions that are not answered, by shard.
        self._in_submit = {}
        self._wake = asyncio.Event()
        self._hurry = asyncio.Event()
        self._drained = asyncio.Event()
        self._drained.set()

    @property
    def unrecorded(self):
        """Number of outcomes that are not known to be in the log."""
        waiting = sum(len(items) for items in self._outcomes_by_claim.values())
        return waiting + sum(
            len(item.outcomes) for items in self._in_submit.values() for item in items
        )

    def add(self, shard, job_id, chunk, claim_offset, outcome):
        """Take an outcome; it is recorded soon."""
        key = (shard, job_id, chunk, claim_offset)
        self._outcomes_by_claim[key].append(outcome)
        self._drained.clear()
        self._wake.set()

    async def handle_hand_over(self, request):
        """Take over the outcomes of a peer that stops."""
        count = 0
        for message in request.outcomes:
            shard = shard_from_id(message.job_id, self._shards.count)
            for outcome in message.outcomes:
                self.add(
                    shard, message.job_id, message.chunk, message.claim_offset, outcome
                )
                count += 1
        return HandOverReply(count)

    def pending(self):
        """
        Return what is unrecorded as Outcomes messages by shard.

        That includes submissions that are not answered: a second record of an
        outcome has no effect.
        """
        by_shard = self._waiting()
        for shard, items in self._in_submit.items():
            by_shard[shard].extend(items)
        return by_shard

    def _waiting(self):
        by_shard = collections.defaultdict(list)
        for (shard, job_id, chunk, claim), items in self._outcomes_by_claim.items():
            by_shard[shard].append(
                Outcomes(job_id, chunk, claim, list(items), self._clock.wall_ms())
            )
        return by_shard

    async def drain(self):
        """Return once everything is recorded, without waiting for more."""
        self._hurry.set()
        self._wake.set()
        await self._drained.wait()

    async def run(self):
        """Submit outcomes until cancelled."""
        while True:
            await self._wake.wait()
            if not self._hurry.is_set():
                await self._clock.sleep(GATHER_S)
            self._wake.clear()
            by_shard = self._waiting()
            self._outcomes_by_claim.clear()
            self._in_submit = dict(by_shard)
            results = await asyncio.gather(
                *(self._submit(shard, items) for shard, items in by_shard.items())
            )
            if not self._outcomes_by_claim:
                self._drained.set()
            elif not all(results):
                await self._clock.sleep(RETRY_PAUSE_S)

    async def _submit(self, shard, messages):
        count = sum(len(message.outcomes) for message in messages)
        try:
            verdicts = await self._shards.submit(
                shard, [make_record(message) for message in messages], SUBMIT_TIMEOUT_S
            )
        except GalenascaleError as error:
            log.warning("Cannot record %d outcomes: %s.", count, error)
            self._keep(shard, messages)
            return False
        finally:
            del self._in_submit[shard]
        for message, verdict in zip(messages, verdicts, strict=True):
            if not verdict.valid:
                log.info("Outcomes of %s lost: %s.", message.job_id, verdict.reason)
            items = [outcome.item for outcome in message.outcomes]
            self._on_recorded(message.job_id, message.chunk, items)
        return True

    def _keep(self, shard, messages):
        for message in messages:
            key = (shard, message.job_id, message.chunk, message.claim_offset)
            self._outcomes_by_claim[key][:0] = message.outcomes
        self._wake.set()
