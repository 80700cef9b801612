"""Polls load reports of backend servers for the router."""

import asyncio

from galenascale.errors import BackendError
from galenascale.logs import get_logger

log = get_logger("load")

# Polls of one host in a second, over all servers that it polls.
MAX_POLLS_PER_S = 100
# Servers of other failure domains are polled once in so many rounds.
FOREIGN_ROUNDS = 4


class LoadPoller:
    """Reads reports in rounds and passes on what they say."""

    def __init__(self, config, online, engine_client, membership, clock, settings):
        self._config = config
        self._online = online
        self._engine_client = engine_client
        self._membership = membership
        self._clock = clock
        self._domain = settings.failure_domain
        self._interval_s = settings.membership.load_poll_s
        self._round = 0
        # Called with each ServerReport.
        self.on_report = lambda report: None

    async def run(self):
        """Poll until cancelled."""
        while True:
            servers = self._servers()
            await asyncio.gather(*(self._poll(server) for server in servers))
            self._round += 1
            pause_s = max(self._interval_s, len(servers) / MAX_POLLS_PER_S)
            self._membership.servers.prune(
                self._clock.monotonic(), self._config.current.servers_by_id
            )
            await self._clock.sleep(pause_s)

    def _servers(self):
        own, foreign = [], []
        for server in self._config.current.servers_by_id.values():
            group = own if server.failure_domain == self._domain else foreign
            group.append(server)
        return own + (foreign if self._round % FOREIGN_ROUNDS == 0 else [])

    async def _poll(self, server):
        signs = self._membership.servers
        started_at = self._clock.monotonic()
        try:
            report = await self._engine_client.load_report(server)
        except BackendError as error:
            now = self._clock.monotonic()
            if error.code == "leaving":
                self._note_leaving(server.name, now)
            elif error.code == "connect_failed":
                signs.failed(now, server.name)
            return
        now = self._clock.monotonic()
        if report.leaving:
            self._note_leaving(server.name, now)
        else:
            signs.answered(now, server.name, started_at)
            age_s = (self._clock.wall_ms() - report.at_ms) / 1000
            signs.reported(now, server.name, now - max(0.0, age_s))
        self._online.report(report)
        self.on_report(report)

    def _note_leaving(self, server_id, now):
        self._membership.servers.leaving(now, server_id)
        self._online.leaving(server_id)
