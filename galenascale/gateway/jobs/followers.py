"""Tasks that read the partitions which concern this host."""

from galenascale.gateway.jobs.partitions import LONG_POLL_S, RETRY_INTERVAL_S
from galenascale.store import STORE_ERRORS


class PartitionFollowers:
    """One task for each partition that is followed."""

    def __init__(self, parts, partitions, on_change):
        self._parts = parts
        self._partitions = partitions
        self._on_change = on_change
        self._tasks_by_number = {}
        # Offset by partition of a record that is still to be read.
        self._awaited_offsets = {}

    def clear(self):
        """Forget tasks that have ended."""
        self._tasks_by_number.clear()

    def follow_until(self, number, offset):
        """Follow a partition until the record at an offset was read."""
        awaited = self._awaited_offsets.get(number, offset)
        self._awaited_offsets[number] = max(awaited, offset)

    def followed_numbers(self):
        """Return the numbers of the partitions that are followed."""
        return self._tasks_by_number.keys()

    def follow(self, group, numbers):
        """Follow just these partitions and those with awaited records."""
        needed = numbers | self._awaited_offsets.keys()
        for number in needed - self._tasks_by_number.keys():
            self._tasks_by_number[number] = group.create_task(self._follow(number))
        for number in self._tasks_by_number.keys() - needed:
            self._tasks_by_number.pop(number).cancel()

    def drop_read_offsets(self):
        """
        Await records no longer that were read, once their jobs are known.

        A caller's question may read a record before the partition is followed
        here; the job would lie until another host takes it over.
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
                # The loss of the store has been logged.
                await self._parts.clock.sleep(RETRY_INTERVAL_S)
            self._on_change()
