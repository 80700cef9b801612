"""Chunks that this host holds and the items of them that wait.

Keeps the leases of held chunks alive, drops ended jobs and lost claims, and
releases what is left when the host stops.
"""

from galenascale.batch.held import HeldChunk, ReadyItems
from galenascale.batch.runs import doubtful_outcome
from galenascale.batch.suspects import SuspectQueue
from galenascale.errors import GalenascaleError
from galenascale.files import read_chunk
from galenascale.generated.messages import ChunkClaim, ChunkRelease
from galenascale.logs import get_logger
from galenascale.shards import make_record

log = get_logger("batch")

RENEW_AT_SHARE = 0.5
CHECK_INTERVAL_S = 1.0


class Holdings:
    """Held chunks by job and chunk, and their items without a run."""

    def __init__(self, host, reporter, stop_runs):
        self._host_id = host.host_id
        self._incarnation = host.incarnation
        self._shards = host.shards
        self._log_client = host.log_client
        self._clock = host.clock
        self._lease_ms = host.settings.batch.lease_ms
        self._reporter = reporter
        # Called with a HeldChunk whose runs are to be cancelled.
        self._stop_runs = stop_runs
        self.ready = ReadyItems()
        self.suspects = SuspectQueue()
        self._chunks_by_key = {}

    async def hold(self, shard, service, grant, leased_at):
        """Take over a granted chunk; return the number of its items."""
        held = HeldChunk.from_grant(shard, grant, leased_at)
        try:
            content = await read_chunk(self._log_client, grant.ref.position)
        except GalenascaleError as error:
            log.warning("Cannot read a chunk of %s: %s.", grant.job_id, error)
            return 0
        earlier = self._chunks_by_key.get((grant.job_id, grant.chunk))
        if earlier is not None:
            # The lease of this host's own claim had lapsed.
            self.drop(earlier)
        self._chunks_by_key[grant.job_id, grant.chunk] = held
        doubtful = set(grant.doubtful)
        items = held.items(content)
        for item in items:
            if item.number in doubtful:
                self.report(item, doubtful_outcome(item))
        self.ready.add(service, [item for item in items if item.number not in doubtful])
        return len(items)

    def wait_again(self, service, item):
        """Queue an item whose run ended without an outcome."""
        if item.number not in item.chunk.open_items:
            return
        if item.suspect:
            self.suspects.add(service, item)
        else:
            self.ready.add(service, [item])

    def report(self, item, outcome):
        """Hand an outcome to the reporter, the first one of an item only."""
        chunk = item.chunk
        if item.number not in chunk.open_items:
            return
        chunk.open_items.discard(item.number)
        claim = chunk.intent_offsets.get(item.number, chunk.claim_offset)
        grant = chunk.grant
        self._reporter.add(chunk.shard, grant.job_id, grant.chunk, claim, outcome)

    def recorded(self, job_id, chunk, items):
        """Forget a chunk whose items are all recorded."""
        held = self._chunks_by_key.get((job_id, chunk))
        if held is not None and not held.open_items:
            del self._chunks_by_key[job_id, chunk]

    async def run(self):
        """Check the held chunks until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            try:
                await self.check()
            except GalenascaleError as error:
                log.warning("Cannot check the held chunks: %s.", error)

    async def check(self):
        """Drop ended jobs and lost claims, renew leases that run out."""
        for shard in self._used_shards():
            state = await self._shards.view(shard, max_age_s=CHECK_INTERVAL_S)
            for held in self._of_shard(shard):
                job = state.jobs_by_id.get(held.grant.job_id)
                if job is None or job.ended:
                    self.drop(held)
                else:
                    self._adopt_renewal(held, job)
            await self._renew(shard)

    def _adopt_renewal(self, held, job):
        """Take over a renewal whose verdict did not arrive here."""
        claim = job.claims_by_chunk.get(held.grant.chunk)
        if claim is None or claim.offset <= held.claim_offset:
            return
        if (claim.holder, claim.incarnation) == (self._host_id, self._incarnation):
            # The lease still counts from the last known renewal.
            held.claim_offset = claim.offset

    def drop_job(self, job_id):
        """Stop everything of a job at once."""
        for held in list(self._chunks_by_key.values()):
            if held.grant.job_id == job_id:
                self.drop(held)

    def drop(self, held):
        """Forget a chunk and stop its runs."""
        held.open_items.clear()
        held.current = False
        self._chunks_by_key.pop((held.grant.job_id, held.grant.chunk), None)
        self.ready.drop(lambda item: item.chunk is held)
        self.suspects.drop(lambda item: item.chunk is held)
        self._stop_runs(held)

    async def release(self):
        """Release all chunks, so that other hosts need not wait."""
        for shard in self._used_shards():
            await self._release(shard, self._of_shard(shard))

    async def _release(self, shard, chunks):
        records = [
            make_record(
                ChunkRelease(held.grant.job_id, held.grant.chunk, held.claim_offset)
            )
            for held in chunks
        ]
        for held in chunks:
            self.drop(held)
        await self._shards.submit(shard, records, urgent=True)

    def _used_shards(self):
        return {held.shard for held in self._chunks_by_key.values()}

    def _of_shard(self, shard):
        return [held for held in self._chunks_by_key.values() if held.shard == shard]

    async def _renew(self, shard):
        now = self._clock.monotonic()
        least_s = self._lease_ms / 1000 * RENEW_AT_SHARE
        short = [
            held
            for held in self._of_shard(shard)
            # Chunks stay held until their outcomes are recorded.
            if held.lease_left_s(now) < least_s
        ]
        # This host cannot run them, for example because its servers died;
        # another host may have a server that can.
        stuck = [held for held in short if held.may_release()]
        short = [held for held in short if held not in stuck]
        if stuck:
            await self._release(shard, stuck)
        if not short:
            return
        records = [make_record(self._renewal(held)) for held in short]
        verdicts = await self._shards.submit(shard, records)
        for held, verdict in zip(short, verdicts, strict=True):
            if verdict.valid:
                held.renewed(now, verdict.offset)
            else:
                log.info("Lost a chunk of %s: %s.", held.grant.job_id, verdict.reason)
                self.drop(held)

    def _renewal(self, held):
        return ChunkClaim(
            held.grant.job_id,
            held.grant.chunk,
            self._host_id,
            self._incarnation,
            self._lease_ms,
            supersedes=held.claim_offset,
        )
