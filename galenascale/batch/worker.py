"""Runs batch items of this host in the slots that online work leaves.

The worker asks shard owners for chunks, runs their items on the servers whose
batch slots this host owns and hands the outcomes to the reporter.
"""

import asyncio

from galenascale.batch.held import HeldChunk, ReadyItems
from galenascale.batch.runs import doubtful_outcome
from galenascale.errors import GalenascaleError, PeerError
from galenascale.files import read_chunk
from galenascale.generated.messages import (
    ChunkClaim,
    ChunkRelease,
    WorkReply,
    WorkRequest,
)
from galenascale.logs import get_logger
from galenascale.shards import make_record

log = get_logger("batch")

ASK_TIMEOUT_S = 5.0
# Items fetched ahead, as a multiple of the slots in use.
PREFETCH = 2
RENEW_AT_SHARE = 0.5
CHECK_INTERVAL_S = 1.0


class BatchWorker:
    """State of the chunks and items that this host works on."""

    def __init__(self, host, grants, capacity, reporter, run_item):
        self._host_id = host.host_id
        self._incarnation = host.incarnation
        self._shards = host.shards
        self._log_client = host.log_client
        self._clock = host.clock
        self._peers = host.peers
        self._settings = host.settings.batch
        self._grants = grants
        # free_slots(service) -> list of (server, free slots); services()
        self._capacity = capacity
        self._reporter = reporter
        self._run_item = run_item
        self._ready = ReadyItems()
        self._chunks_by_key = {}
        # Tasks by item, by server id.
        self._runs_by_server = {}
        self._asking = set()
        self._tasks = set()
        self._wake = asyncio.Event()
        self._next_shard = 0
        self.taking = True

    def wake(self):
        """Look for free slots and waiting items soon."""
        self._wake.set()

    def running(self, server_id):
        """Return the number of batch streams on a server."""
        return len(self._runs_by_server.get(server_id, ()))

    def running_items(self, server_id):
        """Return the items that run on a server."""
        return list(self._runs_by_server.get(server_id, ()))

    async def run(self):
        """Fill free slots until cancelled."""
        check = asyncio.create_task(self._check_loop())
        try:
            while True:
                self._wake.clear()
                self._fill()
                await self._clock.wait_any(
                    [self._wake.wait()], self._settings.idle_poll_s
                )
        finally:
            tasks = [check, *self._tasks]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _fill(self):
        for service in self._capacity.services():
            slots = self._capacity.free_slots(service)
            free = sum(count for _, count in slots)
            for server, count in slots:
                for _ in range(count):
                    if not self._start_next(service, server):
                        break
            self._ask_if_short(service, free)

    def _may_take(self):
        return (
            self.taking
            and self._reporter.unrecorded < self._settings.max_unrecorded_outcomes
        )

    def _start_next(self, service, server):
        if not self._may_take():
            return False
        item = self._ready.take(service)
        if item is None:
            return False
        runs = self._runs_by_server.setdefault(server.name, {})
        task = self._spawn(self._run(service, server, item))
        runs[item] = task
        return True

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run(self, service, server, item):
        try:
            outcome = await self._run_item(server, item)
        except asyncio.CancelledError:
            if item.number in item.chunk.open_items and self.taking:
                self._ready.put_back(service, item)
            raise
        except GalenascaleError as error:
            log.info("Item %d of %s waits: %s.", *reversed(item.key), error)
            outcome = None
        finally:
            self._runs_by_server[server.name].pop(item, None)
            self._wake.set()
        if outcome is None:
            self._ready.add(service, [item])
        else:
            self._report(item, outcome)

    def _report(self, item, outcome):
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

    # Asking for work

    def _ask_if_short(self, service, free):
        wanted = PREFETCH * max(free, 1) - self._ready.count(service)
        busy = any(self._runs_by_server.values())
        if free <= 0 and not busy:
            return
        if wanted <= 0 or not self._may_take() or service in self._asking:
            return
        self._asking.add(service)
        self._spawn(self._ask(service, wanted))

    async def _ask(self, service, wanted):
        got = 0
        try:
            for _ in range(self._shards.count):
                shard = self._next_shard % self._shards.count
                self._next_shard += 1
                got += await self._ask_shard(shard, service, wanted - got)
                if got >= wanted:
                    break
        finally:
            if not got:
                await self._clock.sleep(self._settings.idle_poll_s)
            self._asking.discard(service)
            self._wake.set()

    async def _ask_shard(self, shard, service, wanted):
        request = WorkRequest(self._host_id, self._incarnation, service, wanted, shard)
        leased_at = self._clock.monotonic()
        reply = await self._request_work(request)
        count = 0
        for grant in reply.grants:
            count += await self._hold(shard, service, grant, leased_at)
        return count

    async def _request_work(self, request):
        owner = self._shards.owner(request.shard)
        if owner == self._host_id or self._peers is None:
            return await self._grants.grant(request)
        try:
            return await self._peers.call(
                owner, "work", request, WorkReply, ASK_TIMEOUT_S
            )
        except PeerError as error:
            log.warning("Owner %s gives no work: %s.", owner, error)
            return await self._grants.grant(request)

    async def _hold(self, shard, service, grant, leased_at):
        held = HeldChunk.from_grant(shard, grant, leased_at)
        try:
            content = await read_chunk(self._log_client, grant.ref.position)
        except GalenascaleError as error:
            log.warning("Cannot read a chunk of %s: %s.", grant.job_id, error)
            return 0
        self._chunks_by_key[grant.job_id, grant.chunk] = held
        doubtful = set(grant.doubtful)
        items = held.items(content)
        for item in items:
            if item.number in doubtful:
                self._report(item, doubtful_outcome(item))
        self._ready.add(
            service, [item for item in items if item.number not in doubtful]
        )
        self._wake.set()
        return len(items)

    # Leases, cancelled jobs

    async def _check_loop(self):
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            try:
                await self.check()
            except GalenascaleError as error:
                log.warning("Cannot check the held chunks: %s.", error)

    async def check(self):
        """Drop ended jobs and lost claims, renew leases that run out."""
        for shard in {held.shard for held in self._chunks_by_key.values()}:
            state = await self._shards.view(shard, max_age_s=CHECK_INTERVAL_S)
            for held in self._held(shard):
                job = state.jobs_by_id.get(held.grant.job_id)
                if job is None or job.ended:
                    self._drop(held)
            await self._renew(shard)

    def _held(self, shard):
        return [held for held in self._chunks_by_key.values() if held.shard == shard]

    def _drop(self, held):
        held.open_items.clear()
        held.current = False
        self._chunks_by_key.pop((held.grant.job_id, held.grant.chunk), None)
        self._ready.drop(lambda item: item.chunk is held)
        for runs in self._runs_by_server.values():
            for item, task in list(runs.items()):
                if item.chunk is held:
                    task.cancel()

    def job_cancelled(self, job_id):
        """Stop everything of a job at once."""
        for held in list(self._chunks_by_key.values()):
            if held.grant.job_id == job_id:
                self._drop(held)

    async def _renew(self, shard):
        now = self._clock.monotonic()
        lease_s = self._settings.lease_ms / 1000
        short = [
            held
            for held in self._held(shard)
            if held.open_items and held.lease_left_s(now) < lease_s * RENEW_AT_SHARE
        ]
        if not short:
            return
        records = [make_record(self._renewal(held)) for held in short]
        verdicts = await self._shards.submit(shard, records)
        for held, verdict in zip(short, verdicts, strict=True):
            if verdict.valid:
                held.leased_at, held.claim_offset = now, verdict.offset
            else:
                log.info("Lost a chunk of %s: %s.", held.grant.job_id, verdict.reason)
                self._drop(held)

    def _renewal(self, held):
        return ChunkClaim(
            held.grant.job_id,
            held.grant.chunk,
            self._host_id,
            self._incarnation,
            self._settings.lease_ms,
            supersedes=held.claim_offset,
        )

    # Giving way and stopping

    def give_way(self, server_id, items):
        """Interrupt items on a server; they wait with the tokens they have."""
        runs = self._runs_by_server.get(server_id, {})
        count = 0
        for item in items:
            if item in runs and item.chunk.grant.idempotent:
                runs[item].cancel()
                count += 1
        return count

    async def interrupt(self):
        """Interrupt idempotent items, let the others end; take no more."""
        self.taking = False
        tasks = []
        for runs in self._runs_by_server.values():
            for item, task in runs.items():
                # A non-idempotent item cannot be run again: let it finish.
                if item.chunk.grant.idempotent:
                    task.cancel()
                tasks.append(task)
        await asyncio.gather(*tasks, return_exceptions=True)

    async def release(self):
        """Record what is done and release the chunks that are held."""
        # Claims that are on their way must be released too.
        while self._asking:
            await self._clock.wait_any(list(self._tasks), CHECK_INTERVAL_S)
        await self._reporter.drain()
        for shard in {held.shard for held in self._chunks_by_key.values()}:
            records = [
                make_record(
                    ChunkRelease(held.grant.job_id, held.grant.chunk, held.claim_offset)
                )
                for held in self._held(shard)
            ]
            await self._shards.submit(shard, records, urgent=True)
        self._chunks_by_key.clear()
