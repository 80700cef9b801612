"""Runs batch items of this host in the slots that online work leaves."""

import asyncio

from galenascale.batch.asking import WorkAsker
from galenascale.batch.holdings import Holdings
from galenascale.logs import get_logger
from galenascale.shards import shard_from_id

log = get_logger("batch")

# Free slots are looked at this often even if nothing tells of a change, since
# digests and load reports change what online work leaves.
FILL_INTERVAL_S = 0.1


class BatchWorker:
    """Items that run on the servers whose batch slots this host owns."""

    def __init__(self, host, grants, capacity, reporter, run_item):
        self._shards = host.shards
        self._clock = host.clock
        self._settings = host.settings.batch
        # free_slots(service) -> list of (server, free slots); services()
        self._capacity = capacity
        self._reporter = reporter
        self._run_item = run_item
        # Tasks by item, by server id.
        self._runs_by_server = {}
        # Items that gave way and whose engine has not confirmed it yet.
        self._stopping = set()
        self._tasks = set()
        self._wake = asyncio.Event()
        self.holdings = Holdings(host, reporter, self._stop_runs)
        self._asker = WorkAsker(host, grants, self.holdings)
        self.recorded = self.holdings.recorded
        self.job_cancelled = self.holdings.drop_job
        self.check = self.holdings.check
        # Called with a service and the tokens of a dropped answer.
        self.on_discarded = lambda service, tokens: None
        self.taking = True

    def wake(self):
        """Look for free slots and waiting items soon."""
        self._wake.set()

    def job_accepted(self, job_id, service):
        """Ask for the items of a new job without waiting for the next poll."""
        self._asker.notice(service, shard_from_id(job_id, self._shards.count))
        self._wake.set()

    def running(self, server_id):
        """Return the number of batch streams on a server."""
        return len(self.running_items(server_id))

    def running_items(self, server_id):
        """Return the items that run on a server and were not told to stop."""
        runs = self._runs_by_server.get(server_id, ())
        return [item for item in runs if item not in self._stopping]

    async def run(self):
        """Fill free slots until cancelled."""
        check = asyncio.create_task(self.holdings.run())
        try:
            while True:
                self._wake.clear()
                self._fill()
                await self._clock.wait_any([self._wake.wait()], FILL_INTERVAL_S)
        finally:
            tasks = [check, *self._tasks]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _fill(self):
        for service in self._capacity.services():
            left = 0
            slots = self._capacity.free_slots(service)
            self.holdings.suspects.offer(service, [server.name for server, _ in slots])
            for server, count in slots:
                started = 0
                while started < count and self._start_next(service, server):
                    started += 1
                left += count - started
            self._ask_if_short(service, left)

    def _may_take(self):
        return (
            self.taking
            and self._reporter.unrecorded < self._settings.max_unrecorded_outcomes
        )

    def _start_next(self, service, server):
        if not self._may_take():
            return False
        if self.holdings.suspects.keeps(service, server.name):
            running = len(self._runs_by_server.get(server.name, ()))
            item = self.holdings.suspects.take(service, server.name, running)
        else:
            now = self._clock.monotonic()
            item = self.holdings.ready.take(service, server.name, now)
        if item is None:
            return False
        runs = self._runs_by_server.setdefault(server.name, {})
        self._capacity.started(service, server.name)
        item.chunk.started(item, self._clock.monotonic())
        task = runs[item] = self._spawn(self._run_item(server, item))
        # A task that is cancelled before its first step runs no code of its
        # own, so the end is handled outside of it.
        task.add_done_callback(lambda task: self._ended(service, server, item, task))
        return True

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _ended(self, service, server, item, task):
        """Take over what a run left; it may have been interrupted."""
        now = self._clock.monotonic()
        self._runs_by_server[server.name].pop(item, None)
        self._stopping.discard(item)
        self._capacity.ended(service, server.name)
        item.chunk.ended(item)
        self.holdings.suspects.ended(service, item)
        self._wake.set()
        if task.cancelled():
            if item.number in item.chunk.open_items and self.taking:
                self.holdings.ready.put_back(service, item, server.name, now)
            else:
                self.on_discarded(service, item.tokens)
            return
        error = task.exception()
        if error is not None:
            log.info("Item %d of %s waits: %r.", *reversed(item.key), error)
            self.holdings.wait_again(service, item)
        elif task.result() is None:
            self.holdings.wait_again(service, item)
        else:
            self.holdings.report(item, task.result())

    def _ask_if_short(self, service, free):
        """Ask for the free slots and for one more round of the running."""
        running = self._capacity.running(service)
        ready = self.holdings.ready.count(service)
        # Half a round in reserve covers the time of a request for work.
        if not free and ready * 2 >= running:
            return
        if not self._may_take() or self._asker.is_asking(service):
            return
        self._spawn(self._ask(service, free + running - ready))

    async def _ask(self, service, wanted):
        try:
            await self._asker.ask(service, wanted)
        finally:
            self._wake.set()

    def _stop_runs(self, held):
        for runs in self._runs_by_server.values():
            for item, task in list(runs.items()):
                if item.chunk is held:
                    self._stop(item, task)

    def _stop(self, item, task):
        # A second cancel would break off the one under way.
        if item not in self._stopping:
            self._stopping.add(item)
            task.cancel()

    def give_way(self, server_id, items):
        """Interrupt items on a server; they wait with the tokens they have."""
        runs = self._runs_by_server.get(server_id, {})
        count = 0
        for item in items:
            stoppable = item.chunk.grant.idempotent and item not in self._stopping
            if item in runs and stoppable:
                self._stop(item, runs[item])
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
                    self._stop(item, task)
                tasks.append(task)
        await asyncio.gather(*tasks, return_exceptions=True)

    async def release(self):
        """Record what is done and release the chunks that are held."""
        # Claims that requests for work still bring must be released too.
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._reporter.drain()
        await self.holdings.release()
