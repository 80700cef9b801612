"""Queue, choice of server and retries of one service's online requests.

Joins the decision core of admission, routing and poison and wakes the requests
that wait for a server.
"""

import asyncio
from collections import deque

import attrs

from galenascale.admission import Admission
from galenascale.errors import BackendError, Execution, GalenascaleError, Refused
from galenascale.logs import get_logger
from galenascale.poison import PoisonTracker, Standing
from galenascale.rate_limit import TenantLimits
from galenascale.routing import RetryBudget, Router

log = get_logger("dispatch")

# Interval at which waiting and running requests are looked at.
TICK_S = 0.02
# A suspect waits this long for requests of other hosts to leave its server.
ISOLATION_WAIT_S = 2.0
# One server in this many may be kept for suspects.
SERVERS_PER_SUSPECT = 4


@attrs.define(eq=False)
class Waiter:
    """One online request that needs a server now or again."""

    ticket: object
    route: object
    content: str
    attempt_id: str = ""
    future: asyncio.Future | None = None
    reserved: str | None = None
    reserved_at: float = 0.0

    def settle(self, result):
        """Wake the request with a Choice or an error."""
        if self.future.done():
            return
        if isinstance(result, Exception):
            self.future.set_exception(result)
        else:
            self.future.set_result(result)


# Result of `fits` for a request that leaves the queue to wait for a
# particular server, so that it does not hold up the rest of its group.
DIVERTED = "diverted"


class Dispatcher:
    """Online requests of one service on one host."""

    def __init__(self, service_name, failure_domain, clock, random, give_way):
        self.service_name = service_name
        self.clock = clock
        self.admission = Admission()
        self.router = Router(failure_domain, random)
        self.poison = PoisonTracker(service_name)
        self.budget = RetryBudget()
        self.max_attempts = 1
        # Called at each tick with the time; the runs watch their deadlines.
        self.watchers = set()
        # Called with the tenant and the seconds in the queue of each request.
        self.on_started = lambda tenant, seconds: None
        self._give_way = give_way
        self._waiters_by_ticket = {}
        self._retrying = deque()
        self._server_count = 0
        self._ticker = None

    def configure(self, config):
        """Put a Configuration in force."""
        service = config.services_by_name[self.service_name]
        servers = [
            server
            for server in config.servers_by_id.values()
            if server.service_name == self.service_name
        ]
        self._server_count = len(servers)
        self.max_attempts = max(1, service.max_attempts)
        self.budget.retry_ratio = service.retry_budget
        limits = {
            name: TenantLimits.from_declaration(tenant)
            for name, tenant in config.tenants_by_id.items()
        }
        self.admission.configure(service.max_queue, limits)
        self.router.batch_reserve = service.batch_reserve
        self.router.set_servers(servers, self.clock.monotonic())
        self.pump()

    async def admit(self, waiter):
        """Return the Choice for a new request; raise Refused and the like."""
        now = self.clock.monotonic()
        if not self.router.has_usable_servers():
            raise _no_server()
        if self.poison_contained(waiter):
            raise contained_error(Execution.NOT_RUN)
        waiter.future = asyncio.get_running_loop().create_future()
        displaced = self.admission.offer(waiter.ticket, now)
        self._waiters_by_ticket[waiter.ticket] = waiter
        self.budget.deposit()
        if displaced is not None:
            refusal = self.admission.refusal_for(displaced, "queue_full", 429)
            self._waiters_by_ticket.pop(displaced).settle(refusal)
        return await self._wait(waiter)

    async def place_again(self, waiter):
        """Return the Choice for a retry of an admitted request."""
        waiter.future = asyncio.get_running_loop().create_future()
        self._retrying.append(waiter)
        return await self._wait(waiter)

    def attempt_ended(self, waiter, server_id):
        """Return the capacity of an attempt."""
        now = self.clock.monotonic()
        self.router.note_ended(server_id, now)
        self._tell_owner(server_id)
        self._release(waiter)
        self.pump()

    def cancelled(self, server_id, reserved):
        """Return the capacity of an attempt that was cancelled."""
        now = self.clock.monotonic()
        self.router.note_ended(server_id, now)
        self._tell_owner(server_id)
        if reserved is not None:
            self.router.release(reserved, now)
        self.pump()

    def finish(self, waiter):
        """End a request, whether it waits or ran."""
        self._waiters_by_ticket.pop(waiter.ticket, None)
        if waiter in self._retrying:
            self._retrying.remove(waiter)
        self.admission.withdraw(waiter.ticket)
        self.admission.finish(waiter.ticket)
        self._release(waiter)
        self.pump()

    def pump(self):
        """Start the requests for which there is capacity, retries first."""
        now = self.clock.monotonic()
        if not self.router.has_usable_servers():
            self._refuse_all()
        for ticket in self.admission.expire(now):
            refusal = self.admission.refusal_for(ticket, "deadline_exceeded")
            self._waiters_by_ticket.pop(ticket).settle(refusal)
        for waiter in list(self._retrying):
            result = self._place(waiter, now)
            if result is not None:
                self._retrying.remove(waiter)
                self._dispatch(waiter, result, now)
        while taken := self.admission.start_next(
            now, lambda item: self._fits(item, now)
        ):
            ticket, result = taken
            waiter = self._waiters_by_ticket.pop(ticket)
            if result is DIVERTED:
                self._retrying.append(waiter)
            else:
                self.on_started(ticket.tenant, now - ticket.queued_at)
                self._dispatch(waiter, result, now)
        self._keep_ticking()

    async def close(self):
        """Stop the ticker."""
        if self._ticker is not None:
            self._ticker.cancel()
            await asyncio.gather(self._ticker, return_exceptions=True)

    async def _wait(self, waiter):
        self.pump()
        return await waiter.future

    def _fits(self, ticket, now):
        waiter = self._waiters_by_ticket[ticket]
        result = self._place(waiter, now)
        if result is not None:
            return result
        rule = self.poison.rule(waiter.content, self.clock.wall_ms())
        if not rule.isolated and rule.only is None:
            return None
        if len(self._retrying) >= self.admission.max_queue:
            return self.admission.refusal_for(ticket, "queue_full")
        return DIVERTED

    def _place(self, waiter, now):
        """Return a Choice, an error that ends the request, or None."""
        if now >= waiter.ticket.deadline:
            return self.admission.refusal_for(waiter.ticket, "deadline_exceeded")
        if self.poison_contained(waiter):
            return contained_error(Execution.NOT_RUN)
        rule = self.poison.rule(waiter.content, self.clock.wall_ms())
        if rule.isolated:
            return self._place_alone(waiter, now) if rule.allowed else None
        self._release(waiter)
        return self.router.choose(attrs.evolve(waiter.route, only=rule.only), now)

    def _place_alone(self, waiter, now):
        if waiter.reserved is not None:
            choice = self.router.reservation(waiter.reserved)
            if choice is None:
                self._release(waiter)
                return None
            own = self.router.own_online(waiter.reserved)
            waited = now - waiter.reserved_at >= ISOLATION_WAIT_S
            if self.router.is_idle(waiter.reserved) or (waited and not own):
                return choice
            return None
        limit = max(1, self._server_count // SERVERS_PER_SUSPECT)
        if self.router.reserved_count() >= limit or any(
            item.reserved is not None and item.content == waiter.content
            for item in self._retrying
        ):
            return None
        waiter.reserved = self.router.reserve(waiter.route, now)
        waiter.reserved_at = now
        if waiter.reserved is None:
            return None
        choice = self.router.reservation(waiter.reserved)
        if choice.batch_slots_to_free:
            self._give_way(choice.server.name, choice.batch_slots_to_free)
        return self._place_alone(waiter, now)

    def _dispatch(self, waiter, result, now):
        if not isinstance(result, Exception):
            if waiter.future.done():
                return
            server_id = result.server.name
            self.router.note_started(server_id, now)
            self.poison.started(waiter.content, waiter.attempt_id, server_id)
            self._tell_owner(server_id, result.batch_slots_to_free)
        waiter.settle(result)

    def _tell_owner(self, server_id, count=0):
        """Tell the owner of the batch slots; digests would be too late."""
        if count or self.router.may_have_batch(server_id, self.clock.monotonic()):
            self._give_way(server_id, count)

    def poison_contained(self, waiter):
        """Return True when the content of a request is not to be run."""
        standing = self.poison.standing(waiter.content, self.clock.wall_ms())
        return standing == Standing.CONTAINED

    def _release(self, waiter):
        if waiter.reserved is not None:
            self.router.release(waiter.reserved, self.clock.monotonic())
            waiter.reserved = None

    def _refuse_all(self):
        for ticket in self.admission.clear():
            self._waiters_by_ticket.pop(ticket).settle(_no_server())
        while self._retrying:
            self._retrying.popleft().settle(_no_server())

    def _keep_ticking(self):
        busy = self._retrying or self._waiters_by_ticket or self.watchers
        if busy and (self._ticker is None or self._ticker.done()):
            self._ticker = asyncio.get_running_loop().create_task(self._tick())

    async def _tick(self):
        while self._retrying or self._waiters_by_ticket or self.watchers:
            await self.clock.sleep(TICK_S)
            now = self.clock.monotonic()
            for watcher in list(self.watchers):
                watcher(now)
            try:
                self.pump()
            except GalenascaleError as error:
                log.error("Could not start waiting requests: %s.", error)


def contained_error(execution):
    """Return the error for a request that crashed `MAX_CRASHES` servers."""
    return failed_error(
        "this request crashes backend servers and is not run again",
        422,
        code="request_crashes_servers",
        execution=execution,
        step="dispatch",
    )


def failed_error(message, http_status, **details):
    """Return a BackendError with another HTTP status than its class has."""
    error = BackendError(message, **details)
    error.http_status = http_status
    return error


def _no_server():
    return Refused("no usable backend server", code="no_backend_server")
