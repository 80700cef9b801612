"""Reading of one shard stream into its state.

A follower starts from the newest whole snapshot and applies the records
behind it. When the log was trimmed beyond what it has, it starts again from a
snapshot.
"""

import asyncio
import contextlib

from galenascale import codec, ledger
from galenascale.errors import DecodeError
from galenascale.generated.messages import (
    LogBatch,
    RecordKind,
    ShardSnapshot,
    SnapshotPart,
)
from galenascale.logs import get_logger
from galenascale.shards.ids import work_stream
from galenascale.shards.snapshots import SnapshotAssembler
from galenascale.store import StoreUnavailable

log = get_logger("shard")

# Records read at a time, forwards and in the backward search of a snapshot.
READ_LIMIT = 500

CLAIM_KINDS = frozenset({RecordKind.CHUNK_CLAIM, RecordKind.SERVER_CLAIM})


class ShardFollower:
    """State of one shard as far as it was read."""

    def __init__(self, log_client, shard, clock):
        self.shard = shard
        self.stream = work_stream(shard)
        self.state = ledger.ShardState()
        self.skipped_bodies = 0
        # Monotonic time at which the end of the stream was last reached.
        self.current_at = None
        # Monotonic time at which each current claim was first seen.
        self.seen_at_by_offset = {}
        self.snapshot_through = -1
        self._log_client = log_client
        self._clock = clock
        self._lock = asyncio.Lock()
        self._restored = False

    async def refresh(self, max_age_s=0.0):
        """
        Apply all records up to the end of the stream and return the state.

        A state that reached the end within `max_age_s` is returned as it is.
        Raise StoreUnavailable if the log cannot be read or holds neither all
        records nor a snapshot.
        """
        asked_at = self._clock.monotonic()
        async with self._lock:
            if self._is_current(asked_at, max_age_s):
                return self.state
            if not self._restored:
                await self._restore()
            await self._read_to_end()
        return self.state

    def _is_current(self, asked_at, max_age_s):
        if self.current_at is None:
            return False
        # A read that began after the call serves all callers that waited.
        if self.current_at > asked_at:
            return True
        return max_age_s > 0 and asked_at - self.current_at <= max_age_s

    async def _read_to_end(self):
        while True:
            started_at = self._clock.monotonic()
            offset = self.state.through_offset + 1
            result = await self._log_client.read(self.stream, offset, READ_LIMIT)
            if result.first_offset > offset:
                await self._restore()
                continue
            for position, body in result.records:
                self._apply_body(position, body)
            if self.state.through_offset + 1 >= result.next_offset:
                self.current_at = started_at
                return

    def _apply_body(self, offset, body):
        try:
            batch = codec.decode(LogBatch, body)
        except DecodeError as error:
            self.skipped_bodies += 1
            log.warning("Skipped offset %d of %s: %s.", offset, self.stream, error)
            self.state.through_offset = offset
            return
        for index, record in enumerate(batch.records):
            verdict = ledger.apply(self.state, self.stream, offset, index, record)
            if verdict.valid and record.kind in CLAIM_KINDS:
                self.seen_at_by_offset[offset] = self._clock.monotonic()
            if record.kind == RecordKind.SNAPSHOT_PART:
                self._note_snapshot(record)
        self.state.through_offset = offset

    def _note_snapshot(self, record):
        with contextlib.suppress(DecodeError):
            part = codec.decode(SnapshotPart, record.body)
            if part.part + 1 == part.part_count:
                self.snapshot_through = max(self.snapshot_through, part.through_offset)

    async def _restore(self):
        bounds = await self._log_client.bounds(self.stream)
        content = await self._find_snapshot(bounds)
        if content is not None:
            self.state = ledger.from_snapshot(codec.decode(ShardSnapshot, content))
            self.snapshot_through = self.state.through_offset
            self._note_restored_claims()
        elif bounds.first_offset > self.state.through_offset + 1:
            raise StoreUnavailable(
                f"{self.stream} was trimmed and holds no whole snapshot",
                step="restore",
            )
        self._restored = True

    def _note_restored_claims(self):
        now = self._clock.monotonic()
        for job in self.state.jobs_by_id.values():
            for claim in job.claims_by_chunk.values():
                self.seen_at_by_offset.setdefault(claim.offset, now)
        for claim in self.state.leases_by_server.values():
            self.seen_at_by_offset.setdefault(claim.offset, now)

    async def _find_snapshot(self, bounds):
        """Return the newest whole snapshot that is of use, searching back."""
        assembler = SnapshotAssembler()
        end = bounds.next_offset
        wanted = max(bounds.first_offset - 1, self.state.through_offset + 1)
        while end > bounds.first_offset:
            start = max(bounds.first_offset, end - READ_LIMIT)
            bodies = await self._read_range(start, end)
            for body in reversed(bodies):
                content = assembler.add(body, wanted)
                if content is not None:
                    return content
            end = start
        return None

    async def _read_range(self, start, end):
        bodies = []
        while start < end:
            result = await self._log_client.read(self.stream, start, end - start)
            if not result.records:
                break
            bodies.extend(body for offset, body in result.records if offset < end)
            start = result.records[-1][0] + 1
        return bodies

    def lease_lapsed(self, claim, margin_ms):
        """
        Return True if the lease of a claim has lapsed on this host's clock.

        The time counts from when this host first saw the claim. The holder
        counts from before its append, so on its clock the lease ends first.
        """
        seen_at = self.seen_at_by_offset.get(claim.offset)
        if seen_at is None:
            self.seen_at_by_offset[claim.offset] = self._clock.monotonic()
            return False
        elapsed_ms = (self._clock.monotonic() - seen_at) * 1000
        return elapsed_ms > claim.lease_ms + margin_ms

    def forget_claims(self):
        """Drop the times of claims that are not current any more."""
        current = {claim.offset for claim in self.state.leases_by_server.values()}
        for job in self.state.jobs_by_id.values():
            current.update(claim.offset for claim in job.claims_by_chunk.values())
        for offset in self.seen_at_by_offset.keys() - current:
            del self.seen_at_by_offset[offset]
