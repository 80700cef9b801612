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
# Largest sum of bodies in one submission, well below the limit of an append: a
# submission above it would be refused on every try.
MAX_SUBMIT_BYTES = 250_000
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
        # Lists of (shard, Outcomes) by submission that is under way.
        self._submissions = {}
        self._wake = asyncio.Event()
        self._hurry = asyncio.Event()
        self._drained = asyncio.Event()
        self._drained.set()

    @property
    def unrecorded(self):
        """Number of outcomes that are not known to be in the log."""
        waiting = sum(len(items) for items in self._outcomes_by_claim.values())
        return waiting + sum(
            len(message.outcomes)
            for messages in self._submissions.values()
            for message in messages
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
        Return all that is unrecorded as a list of Outcomes messages.

        It includes what is being submitted, which may get into the log twice;
        the first copy counts.
        """
        waiting = [message for _, messages in self._groups() for message in messages]
        for messages in self._submissions.values():
            waiting.extend(messages)
        return waiting

    def _groups(self):
        """Return (shard, Outcomes messages) of bounded size."""
        groups, sizes_by_shard, last_by_shard = [], {}, {}
        for (shard, job_id, chunk, claim), items in self._outcomes_by_claim.items():
            for part in _split(items):
                size = sum(len(outcome.body) for outcome in part)
                total = sizes_by_shard.get(shard, MAX_SUBMIT_BYTES) + size
                if total > MAX_SUBMIT_BYTES:
                    last_by_shard[shard], total = [], size
                    groups.append((shard, last_by_shard[shard]))
                sizes_by_shard[shard] = total
                last_by_shard[shard].append(
                    Outcomes(job_id, chunk, claim, part, self._clock.wall_ms())
                )
        return groups

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
            groups = self._groups()
            self._outcomes_by_claim.clear()
            for _, messages in groups:
                self._submissions[id(messages)] = messages
            results = await asyncio.gather(
                *(self._submit(shard, messages) for shard, messages in groups)
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
            del self._submissions[id(messages)]
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


def _split(outcomes):
    """Return the outcomes in lists whose bodies fit one submission."""
    parts, size = [], MAX_SUBMIT_BYTES
    for outcome in outcomes:
        size += len(outcome.body)
        if size > MAX_SUBMIT_BYTES:
            parts.append([])
            size = len(outcome.body)
        parts[-1].append(outcome)
    return parts
