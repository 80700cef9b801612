"""Running of the items of this host's jobs."""

import asyncio

from galenascale.gateway.dispatch import Dispatcher
from galenascale.gateway.jobs.followers import Followers
from galenascale.gateway.jobs.item_runs import (
    FAILED_PAUSE_S,
    REFUSED_PAUSE_S,
    OpenItem,
    run_item,
)
from galenascale.gateway.jobs.outcomes import ItemOutcomes
from galenascale.gateway.jobs.partitions import try_until
from galenascale.gateway.jobs.progress import record_all
from galenascale.gateway.jobs.scheduler import ItemScheduler
from galenascale.gateway.jobs.takeover import Takeover
from galenascale.gateway.load import hash_key as job_key
from galenascale.generated.gateway_messages import SlotOutcome
from galenascale.store import STORE_ERRORS

# Seconds between two decisions while there are items, and while there are
# none.
BUSY_TICK_S = 0.05
IDLE_TICK_S = 0.5
# What the end of a run says of its server; an item may fail by itself.
SLOT_OUTCOMES = {
    "refused": SlotOutcome.REFUSED,
    "broken": SlotOutcome.FAILED,
    "silent": SlotOutcome.FAILED,
}


class JobRunner:
    """Runs items where and when the load of the servers allows it."""

    def __init__(self, parts, partitions, bodies, recorder, stewardship, started_ms):
        self._parts = parts
        self._partitions = partitions
        self._bodies = bodies
        self._outcomes = ItemOutcomes(parts, recorder)
        self._stewardship = stewardship
        self._started_ms = started_ms
        self._dispatcher = Dispatcher(parts, batch=True)
        self._items_by_key = {}
        self._followers = Followers(parts, partitions, self.wake)
        self._wake = asyncio.Event()
        self._scheduler = ItemScheduler(parts, self._start)
        self._recorder = recorder
        # Of the tasks that run items; None while there must be none.
        self._group = None
        self._takeover = Takeover(
            parts, partitions, stewardship, started_ms, self.watch
        )
        self.stopping = False

    def watch(self, job_id, offset):
        """Read the partition of a job up to a record that was written here."""
        self._followers.watch(self._partitions.of(job_id).number, offset)
        self.wake()

    def wake(self):
        """Decide again at once."""
        self._wake.set()

    async def run(self):
        """Follow partitions and run items until cancelled."""
        # An earlier call may have ended by a fault, with all its tasks.
        self._followers.reset()
        for item in self._items_by_key.values():
            item.reset()
        async with asyncio.TaskGroup() as group:
            self._group = group
            try:
                while True:
                    self._step(group)
                    await self._sleep()
            finally:
                self._group = None

    def _step(self, group):
        needed = set() if self.stopping else self._needed_partitions()
        self._followers.follow(group, needed)
        self._sync()
        self._followers.forget_read()
        if not self.stopping:
            self._takeover.look(group)
        self._pace()

    async def _sleep(self):
        seconds = BUSY_TICK_S if self._items_by_key else IDLE_TICK_S
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    def _needed_partitions(self):
        needed = set(self._stewardship.partitions)
        needed.update(
            self._partitions.of(job_id).number for job_id, _ in self._items_by_key
        )
        return needed

    def _sync(self):
        """Bring the open items in line with what the partitions say."""
        wanted = set()
        host_id = self._parts.settings.host_id
        for number in self._followers.numbers():
            jobs_by_id = self._partitions.get(number).state.jobs_by_id
            for state in jobs_by_id.values():
                mine = state.is_run_by(host_id, self._started_ms)
                if mine and not state.ended and not state.finished:
                    wanted.update((state.job_id, i) for i in state.open_indexes())
        for key in self._items_by_key.keys() - wanted:
            self._drop(key)
        self._parts.load.active_jobs = {job_key(job_id) for job_id, _ in wanted}
        for job_id, index in wanted - self._items_by_key.keys():
            state = self._partitions.of(job_id).state.jobs_by_id[job_id]
            if not self.stopping:
                self._items_by_key[job_id, index] = OpenItem.from_state(state, index)

    def _drop(self, key):
        item = self._items_by_key.pop(key)
        if item.task is not None:
            item.task.cancel()
        job_id = item.state.job_id
        if not any(other == job_id for other, _ in self._items_by_key):
            self._bodies.forget(job_id, item.state.total)

    # Starting and interrupting of runs.

    def _pace(self):
        if self.stopping:
            return
        now = self._parts.clock.monotonic()
        routes_by_service = {}
        waiting_by_service = {}
        for item in self._items_by_key.values():
            if item.finished:
                continue
            route = self._route_of(item)
            if self._outcomes.give_up_if_over(item, route) or route is None:
                continue
            service = max(route.splits, key=lambda split: split.weight).service
            routes_by_service[service] = route
            if self._scheduler.may_start(item, now):
                waiting_by_service.setdefault(service, []).append(item)
        self._scheduler.update(waiting_by_service, routes_by_service)

    def _route_of(self, item):
        table = self._parts.configuration.table
        path = item.state.job.items[item.index].path.partition("?")[0]
        return table.find(item.state.job.host, path)

    def _log_start(self, item, server):
        in_flight = self._parts.load.at(server.server_id)
        self._parts.log.write(
            "item_started",
            job=item.state.job_id,
            index=item.index,
            request=item.state.job.items[item.index].item_id,
            server=server.server_id,
            online=in_flight.online,
            batch=in_flight.batch,
            resume_after=item.last_event_id,
            due_in_s=(item.due_at_ms - self._parts.clock.wall_ms()) / 1000,
        )

    def _start(self, item, server, route, lease):
        if self._group is None or self.stopping:
            self._parts.slots.client.release(lease, SlotOutcome.UNUSED)
            return
        item.server = server
        item.lease = lease
        lease.on_preempt = lambda _: self._make_room(item)
        self._log_start(item, server)
        item.task = self._group.create_task(self._run(item, server, route))
        # A task that is cancelled before its first step runs none of its code.
        item.task.add_done_callback(lambda task: self._end_run(item, lease, task))

    def _end_run(self, item, lease, task):
        outcome = SlotOutcome.UNUSED
        if not task.cancelled() and task.exception() is None:
            outcome = task.result()
        self._parts.slots.client.release(lease, outcome)
        item.reset()
        self.wake()

    def _make_room(self, item):
        """Interrupt an item whose slot a request needs."""
        lease = item.lease
        if item.task is None or lease is None:
            return
        # Once only, although the owner says it again until the slot is back.
        lease.on_preempt = None
        item.task.cancel()
        item.pause(self._parts.clock.monotonic(), REFUSED_PAUSE_S, 1)
        self._parts.log.write(
            "item_interrupted",
            job=item.state.job_id,
            index=item.index,
            server=item.server.server_id,
            events=item.events,
        )

    async def _run(self, item, server, route):
        """Run an item once; return the SlotOutcome."""
        began_at = self._parts.clock.monotonic()
        resumed = item.last_event_id is not None
        try:
            body = await self._bodies.read(item.state, item.index)
            end = await run_item(
                self._parts, self._dispatcher, item, server, route, body
            )
        except (ValueError, *STORE_ERRORS) as error:
            self._parts.log.write(
                "item_body_missing", "error", job=item.state.job_id, reason=str(error)
            )
            item.pause(self._parts.clock.monotonic(), FAILED_PAUSE_S, 3)
        except Exception as error:
            # A fault in one run must not stop the others.
            self._parts.log.write(
                "item_run_fault", "error", job=item.state.job_id, reason=repr(error)
            )
            item.pause(self._parts.clock.monotonic(), FAILED_PAUSE_S, 3)
        else:
            if end.outcome == "completed" and not resumed:
                run_s = self._parts.clock.monotonic() - began_at
                self._scheduler.estimate.completed(run_s * 1000, item.events)
            self._outcomes.apply(item, server, route, end)
            return SLOT_OUTCOMES.get(end.outcome, SlotOutcome.SERVED)
        return SlotOutcome.UNUSED

    async def hand_over(self, give_up_at):
        """
        Interrupt all runs once it is recorded how far they are.

        While the store is away no other host can take the jobs over, so the
        runs go on, until `give_up_at` in monotonic seconds. Return the number
        of jobs.
        """
        await self._record_until(give_up_at)
        self.stopping = True
        self._scheduler.cancel()
        # The items are dropped once this host no longer follows their jobs.
        items = list(self._items_by_key.values())
        jobs = {item.state.job_id for item in items}
        for item in items:
            if item.task is not None:
                item.task.cancel()
        self.wake()
        await asyncio.sleep(0)
        try:
            await record_all(self._recorder, items)
        except STORE_ERRORS as error:
            # The next host runs these items from their last record.
            self._parts.log.write(
                "hand_over_failed", "warning", jobs=len(jobs), reason=str(error)
            )
        return len(jobs)

    async def _record_until(self, give_up_at):
        """Try to record all items until the store takes them."""
        clock = self._parts.clock

        async def record():
            await record_all(self._recorder, list(self._items_by_key.values()))

        try:
            await try_until(clock, give_up_at, record)
        except STORE_ERRORS as error:
            self._parts.log.write("hand_over_late", "warning", reason=str(error))
