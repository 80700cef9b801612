"""Tasks that keep reading the job partitions that this host needs."""

from galenascale.gateway.jobs.partitions import LONG_POLL_S, RETRY_INTERVAL_S
from galenascale.store import STORE_ERRORS


class PartitionFollowers:
    """Runs one reading task for each followed partition."""

    def __init__(self, context, partitions, on_change):
        self._context = context
        self._partitions = partitions
        self._on_change = on_change
        self._tasks_by_number = {}
        # Highest offset to read up to, by partition number.
        self._awaited_offsets = {}

    def clear(self):
        """Forget all reading tasks, which ended with their task group."""
        self._tasks_by_number.clear()

    def follow_until(self, number, offset):
        """Follow a partition until the record at an offset has been read."""
        awaited = self._awaited_offsets.get(number, offset)
        self._awaited_offsets[number] = max(awaited, offset)

    def followed_numbers(self):
        """Return the numbers of the partitions that are followed."""
        return self._tasks_by_number.keys()

    def follow(self, group, numbers):
        """
        Follow these partitions and those with awaited records.

        Start missing tasks in `group` and cancel those no longer needed.
        """
        needed = numbers | self._awaited_offsets.keys()
        for number in needed - self._tasks_by_number.keys():
            self._tasks_by_number[number] = group.create_task(self._follow(number))
        for number in self._tasks_by_number.keys() - needed:
            self._tasks_by_number.pop(number).cancel()

    def drop_read_offsets(self):
        """
        Drop awaited offsets that have been read.

        Called only after the runner has looked at the jobs of the followed
        partitions: a caller's request for results may read an awaited record
        before its partition is followed. If the offset were dropped then, this
        host would not run the job, and the job would wait for a takeover.
        """
        for number, offset in list(self._awaited_offsets.items()):
            if self._partitions.get(number).position > offset:
                del self._awaited_offsets[number]

    async def _follow(self, number):
        partition = self._partitions.get(number)
        while True:
            try:
                await partition.poll(LONG_POLL_S)
            except STORE_ERRORS:
                # The loss of the store is already logged.
                await self._context.clock.sleep(RETRY_INTERVAL_S)
            self._on_change()
