"""Partitions of the jobs topic, and their state as read by this host."""

import asyncio

from galenascale.codec import encode
from galenascale.errors import DecodeError
from galenascale.gateway.jobs.pieces import (
    PiecesMissing,
    append_bytes,
    encode_pointer,
    find_pieces,
    insert_body,
    read_pieces,
)
from galenascale.gateway.jobs.records import encode_body
from galenascale.gateway.jobs.state import PartitionState
from galenascale.gateway.jobs.unread_records import (
    MAX_TRIES,
    UnreadRecords,
    Verdict,
    decide,
    describe,
    is_excess_progress,
)
from galenascale.gateway.store_sizes import record_limit
from galenascale.generated.gateway_messages import JobRecord
from galenascale.hashing import shard_of
from galenascale.store import STORE_ERRORS, PartitionTrimmed, StoreUnavailable

JOBS_TOPIC = "jobs"
QUOTAS_TOPIC = "quotas"
# Seconds for which a read of a followed partition waits for new records. This
# bounds how long a silent connection goes unnoticed: the runs of a cancelled
# job must stop within 3 s.
LONG_POLL_S = 1.5
# Seconds between two attempts while the store does not answer.
RETRY_INTERVAL_S = 0.25
# Seconds for which a job is kept beyond the configured retention.
EXTRA_RETENTION_S = 30.0


async def retry_until(clock, deadline, step, errors=STORE_ERRORS):
    """
    Repeat a step until it succeeds, and return its result.

    The step is an async function; it is repeated if it raises one of `errors`.
    Raise the last error if there is no time for another attempt before
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
    """One partition, with the state up to the position read so far."""

    def __init__(self, context, topic, number, state):
        self.topic = topic
        self.number = number
        self.state = state
        self._context = context
        self._position = 0
        self._lock = asyncio.Lock()
        # Monotonic time at which the latest read that reached the end started.
        self._caught_up_at = float("-inf")
        self._unread = UnreadRecords()

    @property
    def position(self):
        """Return the offset of the next record to apply."""
        return self._position

    async def refresh(self, max_age_s=0.0):
        """
        Read up to the end, unless that was done within the last `max_age_s`.

        Raise StoreUnavailable or StoreOutcomeUnknown if the store does not
        answer.
        """
        asked_at = self._context.clock.monotonic()
        if asked_at - self._caught_up_at <= max_age_s:
            return
        async with self._lock:
            while self._caught_up_at < asked_at:
                await self._read(0.0)

    async def read_past(self, offset):
        """Read up to and including an offset; raise as `refresh` does."""
        while self._position <= offset:
            await self.refresh()

    async def poll(self, wait_s):
        """Read once, waiting up to `wait_s` seconds for a new record."""
        await self._read(wait_s)

    async def _read(self, wait_s):
        started_at = self._context.clock.monotonic()
        position = self._position
        try:
            result = await self._context.job_store.read(
                self.topic, self.number, position, wait_s=wait_s
            )
        except PartitionTrimmed as error:
            self._position = max(self._position, error.first_kept_offset)
            return
        await self._read_again()
        for offset, data in result.records:
            if offset >= self._position:
                await self._take(offset, data)
        self._drop_expired()
        if self._position >= result.next_offset:
            self._caught_up_at = max(self._caught_up_at, started_at)

    async def _take(self, offset, data):
        """Apply a record, skip it, or set it aside."""
        if self._unread.concerns(data):
            self._set_aside(offset, data)
            return
        try:
            record = await self._insert_body(data)
        except (PartitionTrimmed, *STORE_ERRORS) as error:
            verdict = self._unread.judge(offset, data, error)
            self._log_unread(offset, data, error, verdict)
            if verdict is Verdict.RETRY:
                raise
            if verdict is Verdict.SET_ASIDE:
                self._set_aside(offset, data)
                return
            record = None
        # Meanwhile another call may have read on.
        if offset >= self._position:
            self._position = offset + 1
            if record is not None:
                self._apply(offset, record)

    def _set_aside(self, offset, data):
        if offset >= self._position:
            self._position = offset + 1
            self._unread.set_aside(offset, data, self._context.clock.monotonic())

    def is_unsure_of(self, job_id):
        """Return True while records of a job are missing here."""
        return job_id in self._unread.records_by_job_id

    async def _read_again(self):
        """Read the bodies again that jobs wait for."""
        for job_id in self._unread.take_due(self._context.clock.monotonic()):
            while (waiting := self._unread.first(job_id)) is not None:
                if not await self._apply_late(job_id, *waiting):
                    break

    async def _apply_late(self, job_id, offset, data):
        """Apply a record that was set aside; return False if it waits on."""
        record = None
        try:
            record = await self._insert_body(data)
        except (PartitionTrimmed, *STORE_ERRORS) as error:
            kind, _ = describe(data)
            if decide(kind, error, MAX_TRIES) is not Verdict.SKIP:
                return False
            self._log_broken(offset, error.message)
        # Meanwhile another call may have applied it.
        if self._unread.first(job_id) == (offset, data):
            self._unread.remove_first(job_id)
            if record is not None:
                self._apply(offset, record)
        return True

    def _log_unread(self, offset, data, error, verdict):
        if verdict is Verdict.SKIP:
            self._log_broken(offset, error.message)
            return
        pieces = find_pieces(data)
        _, job_id = describe(data)
        self._context.log.write(
            "job_record_unread",
            "warning",
            topic=self.topic,
            partition=self.number,
            offset=offset,
            job=job_id,
            verdict=verdict.value,
            body_bytes=pieces and pieces.size,
            pieces=pieces and pieces.count,
            reason=error.message,
        )

    async def _insert_body(self, data):
        """
        Return a record with its body, also if that is in other records.

        Raise PartitionTrimmed, PiecesMissing and the errors of the store.
        """
        pieces = find_pieces(data) if self.topic == JOBS_TOPIC else None
        if pieces is None:
            return data
        if is_excess_progress(data, pieces):
            raise PiecesMissing("progress is too long to be read", step="read_pieces")
        return insert_body(data, await read_pieces(self._context, self.number, pieces))

    async def read_record(self, offset):
        """
        Return the bytes of one record with its body.

        Raise PartitionTrimmed if it is deleted, and the errors of the store.
        """
        result = await self._context.job_store.read(
            self.topic, self.number, offset, max_kb=1
        )
        if not result.records:
            raise StoreUnavailable("store has no such record", step="read_record")
        _, data = result.records[0]
        return await self._insert_body(data)

    def _drop_expired(self):
        retention_s = self._context.settings.bounds.job_retention_s + EXTRA_RETENTION_S
        now_ms = self._context.clock.wall_ms()
        self.state.drop_older(now_ms - int(retention_s * 1000))

    def _apply(self, offset, record):
        try:
            self.state.apply(record, offset)
        except DecodeError as error:
            self._log_broken(offset, error.message)

    def _log_broken(self, offset, reason):
        self._context.log.write(
            "job_record_broken",
            "error",
            topic=self.topic,
            partition=self.number,
            offset=offset,
            reason=reason,
        )

    async def prepare(self, kind, job_id, message):
        """
        Return the bytes of a record with a message.

        If it is too large for one record, its body is written to others first,
        and the record says where. Raise the errors of the store.
        """
        body = encode_body(message)
        record = encode(JobRecord(kind=int(kind), job_id=job_id, body=body))
        if len(record) <= record_limit(self._context.settings.store):
            return record
        pieces = await append_bytes(self._context, self.number, body)
        return encode_pointer(kind, job_id, pieces)

    async def append(self, record):
        """Append a record and return its offset; raise the store's errors."""
        return await self.append_all([record])

    async def append_all(self, records):
        """
        Append records atomically and return the offset of the first.

        Raise the errors of the store.
        """
        return await self._context.job_store.append(self.topic, self.number, records)


class Partitions:
    """All partitions of the jobs topic, created on first use."""

    def __init__(self, context, memory=None):
        self._context = context
        self._memory = memory
        self._count = context.settings.store.partitions
        self._by_number = {}

    def for_job(self, job_id):
        """Return the partition of a job."""
        return self.get(shard_of(job_id, self._count))

    def get(self, number):
        """Return a partition by its number."""
        if number not in self._by_number:
            self._by_number[number] = Partition(
                self._context, JOBS_TOPIC, number, PartitionState(self._memory)
            )
        return self._by_number[number]
