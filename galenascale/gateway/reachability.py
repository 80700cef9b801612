"""Which backend servers can be reached, found out apart from requests.

A link that is cut or a machine without power does not answer, not even with a
reset. A server that is silent for longer than usual is checked by a new
connection. If that is not accepted, requests that may be repeated go on
elsewhere, and the server gets none until a later check succeeds.
"""

import asyncio

from galenascale.errors import BackendError

# Seconds without a byte from a server, while a request is there, after which
# it is checked. Events come every 20 to 60 ms; a queue may take longer, but a
# check costs one connection only.
SILENCE_S = 0.3
# Seconds between two checks of a silent server that accepts connections.
RECHECK_S = 1.0
TICK_S = 0.1


class Reachability:
    """Checks silent servers, and those that were out of reach."""

    def __init__(self, parts):
        self._parts = parts
        self._sends_by_incarnation = {}
        self._checked_at = {}
        self._checking = set()
        # Servers that broke off, with the content that they ran.
        self._broken = []

    def add(self, send):
        """Watch a request at its server."""
        sends = self._sends_by_incarnation.setdefault(send.server.incarnation, set())
        sends.add(send)

    def remove(self, send):
        """Stop watching a request."""
        incarnation = send.server.incarnation
        sends = self._sends_by_incarnation.get(incarnation, set())
        sends.discard(send)
        if not sends:
            self._sends_by_incarnation.pop(incarnation, None)

    async def run(self):
        """Check servers until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                while self._broken:
                    group.create_task(self._check_broken(*self._broken.pop()))
                for server in self._due():
                    self._checking.add(server.incarnation)
                    group.create_task(self._check(server))
                await asyncio.sleep(TICK_S)

    def _due(self):
        """Yield the servers to check now."""
        now = self._parts.clock.monotonic()
        silent_since = asyncio.get_running_loop().time() - SILENCE_S
        for incarnation, sends in self._sends_by_incarnation.items():
            if incarnation in self._checking:
                continue
            recent = now - self._checked_at.get(incarnation, float("-inf")) < RECHECK_S
            if not recent and all(
                send.connection.active_at < silent_since for send in sends
            ):
                yield next(iter(sends)).server
        for entry in self._parts.servers.all_entries():
            due = self._parts.health.is_check_due(entry.incarnation, now)
            if due and entry.incarnation not in self._checking:
                yield entry

    async def _check(self, server):
        try:
            await self.check(server)
        except BackendError:
            # The check has noted and logged it.
            return
        finally:
            self._checking.discard(server.incarnation)

    def suspect(self, server):
        """
        Check a server that did not accept a connection, and those beside it.

        Links between failure domains fail for all servers behind them. Until
        the checks end, requests go elsewhere.
        """
        parts = self._parts
        now = parts.clock.monotonic()
        for entry in parts.servers.all_entries():
            beside = entry.failure_domain == server.failure_domain
            foreign = entry.failure_domain != parts.settings.failure_domain
            if entry.incarnation == server.incarnation or (beside and foreign):
                parts.health.mark_suspected(entry.incarnation, now)

    async def check(self, server):
        """Open a connection to a server; raise BackendError if it fails."""
        parts = self._parts
        incarnation = server.incarnation
        self._checked_at[incarnation] = parts.clock.monotonic()
        try:
            await parts.pool.preconnect(server)
        except BackendError as error:
            self.note_unreachable(server, error)
            if error.code == "connect_timeout":
                self.suspect(server)
            raise
        if parts.health.is_unreachable(incarnation):
            parts.log.write("server_regained", server=server.server_id)
        parts.health.mark_reachable(incarnation)

    def check_for_crash(self, server, content_key):
        """See in the background whether a server that broke off crashed."""
        self._broken.append((server, content_key))

    async def _check_broken(self, server, content_key):
        try:
            await self.check(server)
        except BackendError as error:
            if error.code == "connect_timeout":
                # The link is cut; the server may be well.
                return
            parts = self._parts
            parts.crashes.add(content_key, parts.clock.monotonic())
            parts.load.mark_changed()
            parts.log.write(
                "server_crashed",
                "warning",
                server=server.server_id,
                content=content_key,
                reason=error.message,
            )

    def note_unreachable(self, server, error):
        """Note that a connection to a server was not accepted."""
        parts = self._parts
        incarnation = server.incarnation
        if not parts.health.is_unreachable(incarnation):
            parts.log.write(
                "server_lost",
                "warning",
                server=server.server_id,
                address=server.address,
                reason=error.message,
            )
        parts.health.mark_unreachable(incarnation, parts.clock.monotonic())
        if error.code != "connect_timeout":
            # Open connections to it end by themselves.
            return
        for send in list(self._sends_by_incarnation.get(incarnation, ())):
            if send.repeatable:
                send.connection.fail("server is out of reach")

    def forget(self, incarnation):
        """Drop what is known of a run that ended."""
        self._checked_at.pop(incarnation, None)
