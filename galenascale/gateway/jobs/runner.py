"""Runs the items of the jobs that this host owns."""

import asyncio

from galenascale.gateway.dispatch import Dispatcher
from galenascale.gateway.jobs.followers import PartitionFollowers
from galenascale.gateway.jobs.held_output import break_off_excess_runs
from galenascale.gateway.jobs.item_routes import find_item_route
from galenascale.gateway.jobs.item_runs import log_item_start, run_item
from galenascale.gateway.jobs.open_items import (
    FAILED_BACKOFF_S,
    REFUSED_BACKOFF_S,
    open_item,
)
from galenascale.gateway.jobs.outcomes import RunResultHandler
from galenascale.gateway.jobs.own_jobs import OwnJobs, choose_jobs
from galenascale.gateway.jobs.partitions import retry_until
from galenascale.gateway.jobs.progress import record_all
from galenascale.gateway.jobs.scheduler import ItemScheduler
from galenascale.gateway.jobs.service_choice import allows, choose_service
from galenascale.gateway.jobs.takeover import Takeover
from galenascale.gateway.load import hash_key as job_key
from galenascale.gateway.slots.pool_servers import fits_engines
from galenascale.generated.gateway_messages import SlotOutcome
from galenascale.store import STORE_ERRORS

# Seconds between two scheduling rounds while there are open items, and while
# there are none.
BUSY_TICK_S = 0.05
IDLE_TICK_S = 0.5


class JobRunner:
    """Schedules and runs items in free slots of the backend servers."""

    def __init__(
        self,
        context,
        partitions,
        loader,
        bodies,
        recorder,
        group_membership,
        started_ms,
    ):
        self._context = context
        self._partitions = partitions
        self._own_jobs = OwnJobs(context, partitions, loader, started_ms, self.wake)
        self._bodies = bodies
        self._result_handler = RunResultHandler(context, recorder)
        self._group_membership = group_membership
        self._started_ms = started_ms
        self._dispatcher = Dispatcher(context, batch=True)
        self._items_by_key = {}
        self._followers = PartitionFollowers(context, partitions, self.wake)
        self._wake = asyncio.Event()
        self._scheduler = ItemScheduler(context, self._start)
        self._recorder = recorder
        # Task group of the runs; None while `run` is not active.
        self._group = None
        self._takeover = Takeover(
            context,
            partitions,
            loader,
            group_membership,
            started_ms,
            self.follow_until,
        )
        self.stopping = False

    def follow_until(self, job_id, offset):
        """Follow the partition of a job until a record in it has been read."""
        self._followers.follow_until(self._partitions.for_job(job_id).number, offset)
        self.wake()

    def wake(self):
        """Start the next scheduling round at once."""
        self._wake.set()

    async def run(self):
        """Follow partitions and run items until cancelled."""
        # An earlier call may have ended with an exception, which cancels all
        # its tasks.
        self._followers.clear()
        self._own_jobs.clear()
        for item in self._items_by_key.values():
            item.clear_run()
        async with asyncio.TaskGroup() as group:
            self._group = group
            try:
                while True:
                    self._tick(group)
                    await self._wait_for_next_round()
            finally:
                self._group = None

    def _tick(self, group):
        needed = set() if self.stopping else self._needed_partitions()
        self._followers.follow(group, needed)
        self._sync_items(group)
        break_off_excess_runs(self._context, self._items_by_key.values())
        self._followers.drop_read_offsets()
        if not self.stopping:
            self._takeover.claim_abandoned(group)
        self._schedule()

    async def _wait_for_next_round(self):
        seconds = BUSY_TICK_S if self._items_by_key else IDLE_TICK_S
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    def _needed_partitions(self):
        needed = set(self._group_membership.partitions)
        needed.update(
            self._partitions.for_job(job_id).number for job_id in self._own_jobs.ids
        )
        return needed

    def _sync_items(self, group):
        """Update the open items to the state of the followed partitions."""
        own_jobs = self._own_jobs.find(self._followers.followed_numbers())
        opened_ids = {job_id for job_id, _ in self._items_by_key}
        wanted = set()
        for state in choose_jobs(own_jobs, opened_ids):
            if state.items is None:
                self._own_jobs.load(group, state)
            else:
                wanted.update((state.job_id, i) for i in state.open_indexes())
        for key in self._items_by_key.keys() - wanted:
            self._drop_item(key)
        self._context.load.active_jobs = set(map(job_key, self._own_jobs.ids))
        for job_id, index in wanted - self._items_by_key.keys():
            state = self._partitions.for_job(job_id).state.jobs_by_id[job_id]
            if not self.stopping:
                self._items_by_key[job_id, index] = open_item(
                    self._context.dialect, state, index
                )

    def _drop_item(self, key):
        item = self._items_by_key.pop(key)
        if item.task is not None:
            item.task.cancel()
        job_id = item.state.job_id
        if not any(other == job_id for other, _ in self._items_by_key):
            self._bodies.discard(job_id, item.state.total)

    # Starting and interrupting runs.

    def _schedule(self):
        if self.stopping:
            return
        now = self._context.clock.monotonic()
        waiting_by_service = {}
        for item in self._items_by_key.values():
            if item.finished:
                continue
            item.route = self._route_of(item)
            if self._result_handler.give_up_if_expired(item, item.route):
                continue
            service = item.route and choose_service(
                item.route, item.key, lambda name: self._has_servers(name, now)
            )
            if service is None or not self._scheduler.may_start(item, now):
                continue
            if not self._scheduler.suits_a_server(item, service, now):
                continue
            if fits_engines(
                self._context.configuration, (service,), item.memory_tokens
            ):
                waiting_by_service.setdefault(service, []).append(item)
        self._scheduler.update(waiting_by_service)

    def _has_servers(self, service, now):
        return bool(self._context.servers.usable(service, now))

    def _route_of(self, item):
        state = item.state
        return find_item_route(
            self._context.configuration, state.job.host, state.items[item.index].path
        )

    def _start(self, item, server, lease):
        """Start an item in a granted slot, if its route still allows it."""
        # The configuration may be newer than the request for the slot.
        route = self._route_of(item)
        if self._group is None or self.stopping or not allows(route, server.service):
            self._context.slots.client.release(lease, SlotOutcome.UNUSED)
            return
        item.server = server
        item.lease = lease
        lease.on_preempt = lambda _: self._preempt(item)
        log_item_start(self._context, item, server)
        item.task = self._group.create_task(self._run(item, server, route))
        # A callback, not `finally`: a task that is cancelled before its first
        # step runs none of its code.
        item.task.add_done_callback(lambda task: self._end_run(item, lease, task))

    def _end_run(self, item, lease, task):
        outcome = SlotOutcome.UNUSED
        if not task.cancelled() and task.exception() is None:
            outcome = task.result()
        self._context.slots.client.release(lease, outcome)
        item.clear_run()
        self.wake()

    def _preempt(self, item):
        """Interrupt a run whose slot is needed by an online request."""
        lease = item.lease
        if item.task is None or lease is None:
            return
        # The owner repeats the message until the slot is released; only the
        # first one is handled.
        lease.on_preempt = None
        item.task.cancel()
        item.back_off(self._context.clock.monotonic(), REFUSED_BACKOFF_S, 1)
        self._context.log.write(
            "item_interrupted",
            job=item.state.job_id,
            index=item.index,
            server=item.server.server_id,
            events=item.events,
        )

    async def _run(self, item, server, route):
        """Run an item once and return the SlotOutcome for its server."""
        resumed = item.last_event_id is not None
        try:
            body = await self._bodies.read(item.state, item.index)
            result = await run_item(
                self._context, self._dispatcher, item, server, route, body
            )
        except (ValueError, *STORE_ERRORS) as error:
            self._context.log.write(
                "item_body_missing", "error", job=item.state.job_id, reason=str(error)
            )
            item.back_off(self._context.clock.monotonic(), FAILED_BACKOFF_S, 3)
        except Exception as error:
            # An unexpected error in one run must not stop the others.
            self._context.log.write(
                "item_run_fault", "error", job=item.state.job_id, reason=repr(error)
            )
            item.back_off(self._context.clock.monotonic(), FAILED_BACKOFF_S, 3)
        else:
            if result.outcome == "completed" and not resumed:
                estimate = self._scheduler.estimates.of_route(route.name)
                estimate.add_run(result.events_s * 1000, item.events)
            self._result_handler.handle(item, server, route, result)
            return result.server_outcome
        return SlotOutcome.UNUSED

    async def hand_over(self, deadline):
        """
        Record the progress of all runs, then interrupt them.

        While the store is unavailable, no other host can take the jobs over,
        so the runs continue until the store is available again or until
        `deadline`, a monotonic time in seconds. Return the number of jobs.
        """
        await self._record_before(deadline)
        self.stopping = True
        self._scheduler.cancel_all()
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
            # The next host resumes these items from their last recorded event.
            self._context.log.write(
                "hand_over_failed", "warning", jobs=len(jobs), reason=str(error)
            )
        return len(jobs)

    async def _record_before(self, deadline):
        """Record all items; retry until `deadline` if the store fails."""
        clock = self._context.clock

        async def record():
            await record_all(self._recorder, list(self._items_by_key.values()))

        try:
            await retry_until(clock, deadline, record)
        except STORE_ERRORS as error:
            self._context.log.write("hand_over_late", "warning", reason=str(error))
