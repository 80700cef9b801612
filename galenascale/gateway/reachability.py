"""Active connection checks of backend servers, independent of requests.

A machine that lost power or whose network link is cut sends nothing, not even
a TCP reset. If a server is silent for longer than usual, the host opens a new
connection to it. If that fails, requests that are safe to repeat move to other
servers, and the server gets none until a later check succeeds.
"""

import asyncio

from galenascale.errors import BackendError
from galenascale.gateway.crash_evidence import SuspectRun
from galenascale.gateway.suspect_exchange import record_crash

# Seconds without a byte from a server that has requests, after which it is
# checked. Streams send an event every 20 to 60 ms. A queued request may take
# longer, but a check only costs one connection.
SILENCE_BEFORE_CHECK_S = 0.3
# Seconds between two checks of a silent server that accepts connections.
RECHECK_INTERVAL_S = 1.0
POLL_INTERVAL_S = 0.1


class Reachability:
    """Checks silent servers, and unreachable ones until they recover."""

    def __init__(self, context):
        self._context = context
        self._attempts_by_incarnation = {}
        self._checked_at = {}
        self._checking = set()
        # Checks of servers that closed a connection before the answer ended.
        self._crash_checks = set()

    def add(self, attempt):
        """Watch the connection of a request that was sent to a server."""
        attempts = self._attempts_by_incarnation.setdefault(
            attempt.server.incarnation, set()
        )
        attempts.add(attempt)

    def remove(self, attempt):
        """Stop watching a request."""
        incarnation = attempt.server.incarnation
        attempts = self._attempts_by_incarnation.get(incarnation, set())
        attempts.discard(attempt)
        if not attempts:
            self._attempts_by_incarnation.pop(incarnation, None)

    async def run(self):
        """Check servers until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                for server in self._servers_due():
                    self._checking.add(server.incarnation)
                    group.create_task(self._run_check(server))
                await asyncio.sleep(POLL_INTERVAL_S)

    def _servers_due(self):
        """Yield the servers that are due for a check."""
        now = self._context.clock.monotonic()
        silent_since = asyncio.get_running_loop().time() - SILENCE_BEFORE_CHECK_S
        for incarnation, attempts in self._attempts_by_incarnation.items():
            if incarnation in self._checking:
                continue
            recent = (
                now - self._checked_at.get(incarnation, float("-inf"))
                < RECHECK_INTERVAL_S
            )
            if not recent and all(
                attempt.connection.active_at < silent_since for attempt in attempts
            ):
                yield next(iter(attempts)).server
        for incarnation in self._context.health.due_checks(now):
            entry = self._context.servers.find(incarnation)
            if entry is None:
                self._context.health.remove(incarnation)
            elif incarnation not in self._checking:
                yield entry

    async def _run_check(self, server):
        try:
            await self.check(server)
        except BackendError:
            # check() has recorded and logged the failure.
            return
        except Exception as error:
            # An unexpected error in one check must not stop the others.
            context = self._context
            context.health.mark_unreachable(
                server.incarnation, context.clock.monotonic()
            )
            context.log.write(
                "check_fault", "error", server=server.server_id, reason=repr(error)
            )
        finally:
            self._checking.discard(server.incarnation)

    def suspect(self, server):
        """
        Schedule checks of an unreachable server and its failure domain.

        If the server is in another failure domain, the link to that domain
        may be cut, so all its servers are checked. Until the checks succeed,
        requests go to other servers.
        """
        context = self._context
        now = context.clock.monotonic()
        for entry in context.servers.all_entries():
            same_domain = entry.failure_domain == server.failure_domain
            remote = entry.failure_domain != context.settings.failure_domain
            if entry.incarnation == server.incarnation or (same_domain and remote):
                context.health.mark_suspected(entry.incarnation, now)

    async def check(self, server):
        """Open a connection to a server; raise BackendError if it fails."""
        context = self._context
        incarnation = server.incarnation
        self._checked_at[incarnation] = context.clock.monotonic()
        try:
            await context.pool.preconnect(server)
        except BackendError as error:
            self.record_unreachable(server, error)
            if error.code == "connect_timeout":
                self.suspect(server)
            raise
        if context.health.is_unreachable(incarnation):
            context.log.write("server_regained", server=server.server_id)
        context.health.mark_reachable(incarnation)

    def check_for_crash(self, server, run):
        """Check in the background if an InterruptedRun's server crashed."""
        # At once, as another such request may crash the next server.
        task = asyncio.create_task(self._check_disconnected(server, run))
        self._crash_checks.add(task)
        task.add_done_callback(self._crash_checks.discard)

    def close(self):
        """Cancel the checks in the background."""
        for task in self._crash_checks:
            task.cancel()

    async def _check_disconnected(self, server, run):
        try:
            await self.check(server)
        except BackendError as error:
            if error.code == "connect_timeout":
                # The network link is down; the server may still run.
                return
            context = self._context
            self._record_crash(server, run)
            context.metrics.crashed_runs.labels("yes" if run.begun else "no").inc()
            context.log.write(
                "server_crashed",
                "warning",
                server=server.server_id,
                request=run.request_id,
                content=run.content_key,
                parts=run.shared_parts,
                part_keys=run.part_keys,
                begun=run.begun,
                reason=error.message,
            )

    def _record_crash(self, server, run):
        if not run.is_suspect:
            return
        context = self._context
        context.crashes.add(run.content_key, context.clock.monotonic())
        record_crash(
            context,
            SuspectRun(server.run_key, run.content_key, run.part_keys, run.at),
        )
        context.load.mark_changed()

    def record_unreachable(self, server, error):
        """Record a failed connection; give up on silent connections."""
        context = self._context
        incarnation = server.incarnation
        if not context.health.is_unreachable(incarnation):
            context.log.write(
                "server_lost",
                "warning",
                server=server.server_id,
                address=server.address,
                reason=error.message,
            )
        context.health.mark_unreachable(incarnation, context.clock.monotonic())
        if error.code != "connect_timeout":
            # The machine responds, so its open connections end by themselves.
            return
        for attempt in list(self._attempts_by_incarnation.get(incarnation, ())):
            if attempt.repeatable:
                attempt.connection.fail("server is unreachable")

    def forget(self, incarnation):
        """Discard the check time of a server run that ended."""
        self._checked_at.pop(incarnation, None)
