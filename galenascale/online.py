"""Online requests of one entry host."""

import asyncio

from galenascale.dispatch import Dispatcher
from galenascale.errors import UserError
from galenascale.online_run import OnlineRun, logged
from galenascale.routing import RouteRequest
from galenascale.stream_moves import StreamMover


class OnlineService:
    """
    Online requests of one entry host.

    `config` returns the Configuration in force, `engine` is an engine client,
    `give_way(server_id, slots)` and `share(verdict)` are coroutine functions
    that ask the owner of a server's batch slots for some of them and pass a
    PoisonVerdict on to the peers. `share` is awaited before the request goes
    on, so that a caller who resends meets the verdict on every host.
    """

    def __init__(self, config, engine, clock, random, failure_domain, give_way, share):
        self._config_source = config
        self._config = None
        self.engine = engine
        self.clock = clock
        self.share = share
        self._random = random
        self._failure_domain = failure_domain
        self._give_way = give_way
        # Called with the tenant and the seconds in the queue of each request.
        self.on_started = lambda tenant, seconds: None
        self._dispatchers_by_service = {}
        # Called with a server's id, the code of an error or "", and the start
        # of the attempt.
        self.note_sign = lambda server_id, code, started_at: None
        self._tasks = set()
        self.mover = StreamMover(engine, clock)
        # Called with the model and the time of each request.
        self.on_request = lambda model, now: None
        # Called with the id of a server that refused a request as leaving.
        self.on_leaving = lambda server_id: None

    def complete(self, request):
        """
        Return an async iterator of the Chunks that answer an OnlineRequest.

        Raise Refused when the request was not run, UserError for a fault of
        the request and BackendError otherwise. Close the iterator to cancel.
        """
        run = OnlineRun(self, request)
        self.on_request(request.model, self.clock.monotonic())
        # The iterator itself, since one more layer costs time for each token.
        return run.chunks()

    def dispatcher(self, service_name):
        """Return the Dispatcher of a service, with the newest settings."""
        self.refresh_config()
        dispatcher = self._dispatchers_by_service.get(service_name)
        if dispatcher is None:
            if service_name not in self._config.services_by_name:
                raise UserError(
                    f"service {service_name!r} does not exist",
                    code="service_not_found",
                    http_status=404,
                )
            dispatcher = Dispatcher(
                service_name,
                self._failure_domain,
                self.clock,
                self._random,
                lambda server_id, slots: self.spawn(self._give_way(server_id, slots)),
            )
            dispatcher.on_started = lambda *args: self.on_started(*args)
            self._dispatchers_by_service[service_name] = dispatcher
            dispatcher.configure(self._config)
        return dispatcher

    def refresh_config(self):
        """Put the newest configuration in force."""
        config = self._config_source()
        if config is self._config:
            return config
        self._config = config
        for name, dispatcher in self._dispatchers_by_service.items():
            if name in config.services_by_name:
                dispatcher.configure(config)
        return config

    def report(self, report):
        """Take over a ServerReport received now."""
        server = self.refresh_config().servers_by_id.get(report.server_id)
        if server is None or server.service_name not in self._config.services_by_name:
            return
        dispatcher = self.dispatcher(server.service_name)
        now, wall_ms = self.clock.monotonic(), self.clock.wall_ms()
        dispatcher.router.note_load_report(report, now, wall_ms)
        dispatcher.pump()

    def peer_loads(self, peer_id, loads):
        """Take over the ServerLoads of a peer's digest."""
        for dispatcher in list(self._dispatchers_by_service.values()):
            dispatcher.router.note_peer_loads(peer_id, loads, self.clock.monotonic())
            dispatcher.pump()

    def leaving(self, server_id):
        """Note that a server is leaving."""
        for dispatcher in list(self._dispatchers_by_service.values()):
            dispatcher.router.note_leaving(server_id, self.clock.monotonic())
            dispatcher.pump()

    def loads(self):
        """Return the ServerLoads that this host tells its peers."""
        return [
            load
            for dispatcher in self._dispatchers_by_service.values()
            for load in dispatcher.router.digest()
        ]

    def online_load(self, service_name, server_id):
        """Return the online requests on a server, own and of peers."""
        return self.dispatcher(service_name).router.online_load(server_id)

    def choose_plain(self, service_name, excluded):
        """Return a server of a plain service, or None if none is usable."""
        router = self.dispatcher(service_name).router
        route = RouteRequest(avoid=frozenset(excluded))
        choice = router.choose(route, self.clock.monotonic())
        if choice is None or choice.server.name in excluded:
            return None
        return choice.server

    def merge_verdict(self, verdict):
        """
        Apply a PoisonVerdict of a peer or of the log.

        Return False for a service that is not declared.
        """
        if verdict.service_name not in self.refresh_config().services_by_name:
            return False
        dispatcher = self.dispatcher(verdict.service_name)
        dispatcher.poison.merge(verdict, self.clock.wall_ms())
        dispatcher.pump()
        return True

    def spawn(self, awaitable):
        """Run an awaitable in the background; its failure is logged."""
        task = asyncio.ensure_future(logged(awaitable))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self):
        """Wait for background work and stop the dispatchers."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)
        for dispatcher in self._dispatchers_by_service.values():
            await dispatcher.close()
