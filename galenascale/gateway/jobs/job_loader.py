"""Reads the items and results of jobs that a host has not in its memory."""

from galenascale.codec import decode
from galenascale.errors import DecodeError
from galenascale.gateway.jobs.records import decode_body
from galenascale.gateway.jobs.stored_items import pack_items
from galenascale.generated.gateway_messages import Job, JobOutcomes, JobRecord
from galenascale.store import PartitionTrimmed, StoreUnavailable


class JobLoader:
    """Loads parts of JobStates from the records of their partitions."""

    def __init__(self, partitions, memory):
        self._partitions = partitions
        self._memory = memory

    async def items(self, state):
        """
        Return the StoredItems of a job; raise the errors of the store.

        They stay loaded while there is room for them.
        """
        items = state.items
        if items is None:
            job = await self._read(state, state.offset, Job)
            # Meanwhile another call may have loaded them.
            items = state.items or pack_items(job.items)
            state.load(items)
        self._memory.update(state)
        return items

    async def results(self, state, position, max_bytes):
        """
        Return (Outcome, text) of a job's results from a position on.

        They are as many as have `max_bytes` bytes, and one at least. Raise the
        errors of the store.
        """
        results = []
        size = 0
        record_offset, texts = None, {}
        for outcome in state.outcomes[position:]:
            text = outcome.text
            if text is None:
                if outcome.offset != record_offset:
                    texts = await self._read_texts(state, outcome.offset)
                    record_offset = outcome.offset
                text = texts[outcome.index]
            size += len(text)
            if results and size > max_bytes:
                break
            results.append((outcome, text))
        return results

    async def _read_texts(self, state, offset):
        outcomes = (await self._read(state, offset, JobOutcomes)).outcomes
        texts = {}
        for outcome in outcomes:
            texts.setdefault(outcome.index, outcome.text)
        return texts

    async def _read(self, state, offset, message_type):
        """Return the message in a record of a job's partition."""
        partition = self._partitions.for_job(state.job_id)
        try:
            record = decode(JobRecord, await partition.read_record(offset))
            return decode_body(message_type, record.body)
        except (DecodeError, PartitionTrimmed) as error:
            raise StoreUnavailable(error.message, step="load_job") from error
