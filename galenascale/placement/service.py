"""Placement on the servers that this host is responsible for."""

import asyncio

from galenascale.errors import GalenascaleError
from galenascale.logs import get_logger
from galenascale.placement.observations import (
    DemandMix,
    Observations,
    demand_by_key,
    needs_from,
)
from galenascale.placement.orders import OrderRun
from galenascale.placement.planner import Planner
from galenascale.placement.replicas import ReplicaCounts

log = get_logger("placement")

# Share of the host's processor time that plans may take.
PLAN_TIME_SHARE = 0.01
# Servers that a host orders at a time. After a change of the configuration
# every host claims at once, before any sees the claims of the others.
MAX_RUNS = 4
# Time for orders in progress at a planned stop.
STOP_WAIT_S = 5.0


class PlacementService:
    """
    Plans for all services and orders on the own servers.

    `owner(server)` returns the id of the host that places for a server,
    `online_load(service_name, server_id)` the online requests on a server,
    `is_leaving(server_id)` tells of signs that a server is leaving.
    """

    def __init__(
        self,
        host_id,
        config,
        leases,
        engine,
        weights,
        clock,
        settings,
        owner,
        online_load,
        is_leaving,
    ):
        self.host_id = host_id
        self.mix = DemandMix()
        self.observations = Observations(settings.lost_after_s)
        self.plan_time_s = 0.0
        self._config = config
        self._leases = leases
        self._engine = engine
        self._weights = weights
        self._clock = clock
        self._settings = settings
        self._owner = owner
        self._online_load = online_load
        self._is_leaving = is_leaving
        self._planners_by_service = {}
        self._counts_by_service = {}
        self._tasks_by_server = {}
        self._runs_by_server = {}
        self._retry_at_by_server = {}
        self._stopping = False

    def observe(self, report):
        """Take over a ServerReport received now."""
        self.observations.note(report, self._clock.monotonic())

    def note_request(self, model, now):
        """Count a request that this host took."""
        self.mix.note(model, now)

    async def run(self):
        """Plan and order until cancelled."""
        while self._settings.enabled:
            await self.round()
            pause_s = self.plan_time_s / PLAN_TIME_SHARE
            await self._clock.sleep(max(self._settings.plan_s, pause_s))

    async def round(self):
        """Plan for each service and start the orders that are due."""
        config = self._config.current
        self.observations.keep(config.servers_by_id.keys())
        servers_by_service = _by_service(config.servers_by_id)
        models_by_service = _by_service(config.models_by_name)
        names = [
            name
            for name, service in config.services_by_name.items()
            if service.type == "engine" and name in models_by_service
        ]
        self._forget(names, config)
        self.plan_time_s = 0.0
        for name in names:
            started = self._clock.monotonic()
            self._plan(name, models_by_service[name], servers_by_service.get(name, []))
            self.plan_time_s += self._clock.monotonic() - started
            # Requests go on between the plans of two services.
            await asyncio.sleep(0)

    def _plan(self, name, models, servers):
        now = self._clock.monotonic()
        planner = self._planners_by_service.setdefault(name, Planner(self._settings))
        facts = [
            self.observations.facts(server, now, self._is_leaving(server.name))
            for server in servers
        ]
        counts = self._replicas(name, models, servers, now)
        owned = {
            server.name: server
            for server in servers
            if self._owner(server) == self.host_id
        }
        planner.plan(now, needs_from(models, counts), facts, owned)
        for server_id in planner.due_ids(now):
            self._start(owned[server_id], planner, now)

    def _replicas(self, name, models, servers, now):
        counts = self._counts_by_service.setdefault(name, ReplicaCounts())
        load = sum(self._online_load(name, server.name) for server in servers)
        shares = self.mix.shares([model.name for model in models])
        demand = demand_by_key(models, shares, load)
        slots = sum(server.slots for server in servers) / max(1, len(servers))
        declared = {model.name: model.replicas for model in models}
        counts.keep(demand.keys())
        return {
            key: counts.count(now, key, declared[key.model], value, slots, len(servers))
            for key, value in demand.items()
        }

    def _start(self, server, planner, now):
        server_id = server.name
        if (
            self._stopping
            or server_id in self._tasks_by_server
            or len(self._tasks_by_server) >= MAX_RUNS
            or now < self._retry_at_by_server.get(server_id, now)
        ):
            return
        run = OrderRun(
            server,
            lambda at, facts: None if self._stopping else planner.next_order(at, facts),
            self._leases,
            self._engine,
            self._weights,
            self._clock,
            self._settings,
        )
        self._runs_by_server[server_id] = run
        self._tasks_by_server[server_id] = asyncio.ensure_future(self._order(run))

    async def _order(self, run):
        server_id = run.server.name
        try:
            done = await run.run()
            if done:
                self.observe((await self._engine.state(run.server)).report)
        except GalenascaleError as error:
            log.warning("Orders to %s failed: %s.", server_id, error)
            done = False
        finally:
            self._tasks_by_server.pop(server_id, None)
            self._runs_by_server.pop(server_id, None)
        if not done:
            pause_s = self._settings.retry_s
            self._retry_at_by_server[server_id] = self._clock.monotonic() + pause_s

    def _forget(self, names, config):
        for by_service in (self._planners_by_service, self._counts_by_service):
            for name in by_service.keys() - set(names):
                del by_service[name]
        for server_id in self._retry_at_by_server.keys() - config.servers_by_id.keys():
            del self._retry_at_by_server[server_id]

    async def close(self):
        """Give no new order, wait a little for those out, release leases."""
        self._stopping = True
        tasks = list(self._tasks_by_server.values())
        if tasks:
            done = asyncio.gather(*tasks, return_exceptions=True)
            await self._clock.wait_any([done], STOP_WAIT_S)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


def _by_service(declarations_by_name):
    found = {}
    for declaration in declarations_by_name.values():
        found.setdefault(declaration.service_name, []).append(declaration)
    return found
