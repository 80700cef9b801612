"""Job partitions of the store, as this host has read them."""

import asyncio

from galenascale.errors import DecodeError
from galenascale.gateway.jobs.state import PartitionState
from galenascale.hashing import shard_of
from galenascale.store import STORE_ERRORS, PartitionTrimmed

JOBS_TOPIC = "jobs"
BODIES_TOPIC = "bodies"
QUOTAS_TOPIC = "quotas"
# Wait of one read for new records of a partition that is followed, in seconds.
# A connection that falls silent is noticed after it, inside the 3 s in which
# the runs of an ended job must stop.
LONG_POLL_S = 1.5
RETRY_INTERVAL_S = 0.25
# Seconds for which a job is known beyond the time that it must be readable.
EXTRA_RETENTION_S = 30.0


async def retry_until(clock, deadline, step, errors=STORE_ERRORS):
    """
    Repeat a step until the store answers; return what it returns.

    The last error is raised if there is no time for another try before
    `deadline`, a monotonic time in seconds.
    """
    while True:
        try:
            return await step()
        except errors:
            if clock.monotonic() + RETRY_INTERVAL_S >= deadline:
                raise
        await clock.sleep(RETRY_INTERVAL_S)


class Partition:
    """The state of one partition up to the position that was read."""

    def __init__(self, parts, topic, number, state):
        self.topic = topic
        self.number = number
        self.state = state
        self._parts = parts
        self._position = 0
        self._lock = asyncio.Lock()
        # Monotonic time at which the last read began that reached the end.
        self._caught_up_at = float("-inf")

    @property
    def position(self):
        """Return the offset up to which records were applied."""
        return self._position

    async def refresh(self, max_age_s=0.0):
        """
        Read all records up to the end, unless that was done lately.

        Raise StoreUnavailable or StoreOutcomeUnknown if the store does not
        answer.
        """
        asked_at = self._parts.clock.monotonic()
        if asked_at - self._caught_up_at <= max_age_s:
            return
        async with self._lock:
            while self._caught_up_at < asked_at:
                await self._read(0.0)

    async def read_past(self, offset):
        """Read the record at an offset; raise as `refresh` does."""
        while self._position <= offset:
            await self.refresh()

    async def poll(self, wait_s):
        """Read once, waiting for a new record."""
        await self._read(wait_s)

    async def _read(self, wait_s):
        started_at = self._parts.clock.monotonic()
        position = self._position
        try:
            result = await self._parts.job_store.read(
                self.topic, self.number, position, wait_s=wait_s
            )
        except PartitionTrimmed as error:
            self._position = max(self._position, error.first_kept_offset)
            return
        for offset, record in result.records:
            if offset >= self._position:
                self._position = offset + 1
                self._apply(offset, record)
        self._drop_expired()
        if self._position >= result.next_offset:
            self._caught_up_at = max(self._caught_up_at, started_at)

    def _drop_expired(self):
        retention_s = self._parts.settings.bounds.job_retention_s + EXTRA_RETENTION_S
        now_ms = self._parts.clock.wall_ms()
        self.state.drop_older(now_ms - int(retention_s * 1000))

    def _apply(self, offset, record):
        try:
            self.state.apply(record)
        except DecodeError as error:
            self._parts.log.write(
                "job_record_broken",
                "error",
                topic=self.topic,
                partition=self.number,
                offset=offset,
                reason=error.message,
            )

    async def append(self, record):
        """Append a record and return its offset; raise as the store does."""
        return await self.append_all([record])

    async def append_all(self, records):
        """Append all records or none; return the offset of the first."""
        return await self._parts.job_store.append(self.topic, self.number, records)


class Partitions:
    """All partitions of the jobs, read when they are needed."""

    def __init__(self, parts):
        self._parts = parts
        self._count = parts.settings.store.partitions
        self._by_number = {}

    def for_job(self, job_id):
        """Return the partition of a job."""
        return self.get(shard_of(job_id, self._count))

    def get(self, number):
        """Return a partition by its number."""
        if number not in self._by_number:
            self._by_number[number] = Partition(
                self._parts, JOBS_TOPIC, number, PartitionState()
            )
        return self._by_number[number]
