"""Upkeep of the shards that a host owns.

Writes snapshots, copies bodies forward before the log trims them, and writes
time marks when a due time or an expiry has passed. A second owner at the same
time costs appends only.
"""

import attrs

from galenascale import codec, ledger
from galenascale.errors import GalenascaleError
from galenascale.generated.messages import (
    Carried,
    LogBatch,
    LogRecord,
    Position,
    RecordKind,
    TimeMark,
)
from galenascale.ledger.expiry import MAX_TIME_MARK_STEP_MS
from galenascale.logs import get_logger
from galenascale.shards.bodies import BodyLost, read_body
from galenascale.shards.ids import FLEET, data_stream, work_stream
from galenascale.shards.records import make_record
from galenascale.shards.snapshots import split_snapshot

log = get_logger("keeper")

# Share of the retention after which a body is copied forward.
CARRY_AFTER = 0.5
MAX_CARRIED_IN_ROUND = 64


@attrs.frozen
class _Body:
    """A body in use: what it is, whose it is and where it is."""

    kind: int
    entity_id: str
    position: Position


class ShardKeeper:
    """Does the upkeep round of one host."""

    def __init__(
        self, shards, log_client, clock, settings, clock_agrees=None, is_next=None
    ):
        self._shards = shards
        self._log_client = log_client
        self._clock = clock
        self._settings = settings
        # Coroutine function: may this host's time be trusted?
        self._clock_agrees = clock_agrees
        # is_next(shard) -> True if this host owns it once its owner is gone
        self._is_next = is_next or (lambda shard: False)
        # Positions of bodies that the log does not hold any more.
        self._lost = set()

    async def run(self, interval_s=1.0):
        """Do a round over the owned shards until cancelled."""
        while True:
            await self._clock.sleep(interval_s)
            for shard in (*range(self._shards.count), FLEET):
                try:
                    await self._visit(shard)
                except GalenascaleError as error:
                    log.warning("Upkeep of shard %d failed: %s.", shard, error)

    async def _visit(self, shard):
        if shard in self._shards.kept():
            await self.keep(shard)
        elif self._is_next(shard):
            # A lease counts from when its claim was first seen, so a host that
            # takes a shard over must have seen the claims before.
            await self._shards.view(shard)

    async def keep(self, shard):
        """Do what is due for one shard."""
        follower = self._shards.follower(shard)
        state = await follower.refresh()
        follower.forget_claims()
        await self._mark_time(shard, state)
        try:
            await self._carry(shard, state)
        except GalenascaleError as error:
            # A snapshot is due all the same: without one a trimmed log cannot
            # be read at all.
            log.warning("Cannot carry bodies of shard %d: %s.", shard, error)
        if state.through_offset - follower.snapshot_through >= (
            self._settings.snapshot_records
        ):
            await self._write_snapshot(follower)

    async def _write_snapshot(self, follower):
        state = follower.state
        content = codec.encode(ledger.to_snapshot(state))
        records = split_snapshot(content, state.through_offset)
        for record in records:
            body = codec.encode(LogBatch(records=[record]))
            await self._log_client.append(follower.stream, body)
        log.info(
            "Wrote a snapshot of %s through %d in %d parts.",
            follower.stream,
            state.through_offset,
            len(records),
        )

    async def _mark_time(self, shard, state):
        now_ms = self._clock.wall_ms()
        due_ms = next_effect_ms(state)
        if due_ms is None or due_ms > now_ms:
            return
        at_ms = now_ms
        if state.time_ms:
            at_ms = min(now_ms, state.time_ms + MAX_TIME_MARK_STEP_MS)
        if at_ms <= state.time_ms:
            return
        if self._clock_agrees is not None and not await self._clock_agrees():
            # A clock ahead would end jobs and drop results before their time.
            log.warning("No peer confirms the time; shard %d gets no mark.", shard)
            return
        await self._shards.submit(shard, [make_record(TimeMark(at_ms))])

    async def _carry(self, shard, state):
        margin = int(self._settings.retention_records * CARRY_AFTER)
        horizons = {work_stream(shard): state.through_offset + 1 - margin}
        for stream in {body.position.stream for body in bodies_in_use(state)}:
            if stream not in horizons:
                bounds = await self._log_client.bounds(stream)
                horizons[stream] = bounds.next_offset - margin
        old = [
            body
            for body in bodies_in_use(state)
            if body.position.offset < horizons[body.position.stream]
        ]
        records = []
        for body in old:
            if len(records) == MAX_CARRIED_IN_ROUND:
                break
            if _key(body.position) in self._lost:
                continue
            try:
                records.append(await self._copy(shard, body))
            except BodyLost as error:
                # One lost body must not keep the others from being carried.
                self._lost.add(_key(body.position))
                log.error("Body of %s is lost: %s.", body.entity_id, error)
        if records:
            await self._shards.submit(shard, records)
            log.info("Carried %d bodies of shard %d forward.", len(records), shard)

    async def _copy(self, shard, body):
        version, content = await read_body(self._log_client, body.position)
        carried = Carried(body.position, body.kind, version, entity_id=body.entity_id)
        if body.kind == RecordKind.DATA_CHUNK:
            record = LogRecord("", RecordKind.DATA_CHUNK, version, content)
            stream = data_stream(shard)
            batch = codec.encode(LogBatch(records=[record]))
            offset = await self._log_client.append(stream, batch)
            carried.current = Position(stream, offset, 0)
        else:
            carried.body = content
        return make_record(carried)


def _key(position):
    return (position.stream, position.offset, position.index)


def bodies_in_use(state):
    """Yield each body that a reader of the shard may still need."""
    for job_id, job in state.jobs_by_id.items():
        for chunk, position in enumerate(job.chunk_positions):
            # Error lines of items without outcome name their custom_id.
            if job.open_by_chunk[chunk]:
                yield _Body(RecordKind.DATA_CHUNK, job_id, position)
        for position in job.outcome_positions:
            yield _Body(RecordKind.OUTCOMES, job_id, position)
    for file_id, entry in state.files_by_id.items():
        for position in entry.chunk_positions:
            yield _Body(RecordKind.DATA_CHUNK, file_id, position)
    for call_id, entry in state.calls_by_id.items():
        if entry.outcome_position is not None:
            yield _Body(RecordKind.CALL_OUTCOME, call_id, entry.outcome_position)


def next_effect_ms(state):
    """Return the wall time of the next due time or expiry, None for none."""
    times = [
        job.created.due_ms
        for job in state.jobs_by_id.values()
        if job.created.due_ms and not job.ended
    ]
    entities = [
        *(job.created for job in state.jobs_by_id.values()),
        *(entry.created for entry in state.files_by_id.values()),
        *(entry.intent for entry in state.calls_by_id.values()),
        *(verdict for _, verdict in state.poison_by_fingerprint.values()),
    ]
    times.extend(entity.expires_ms for entity in entities if entity.expires_ms)
    return min(times, default=None)
