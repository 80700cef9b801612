"""One entry host, built from settings, that owns what must be closed."""

import asyncio
import contextlib
import random
import secrets

import aiohttp

from galenascale.batch import BatchWorker, GrantService
from galenascale.batch.capacity import BatchCapacity
from galenascale.batch.reporter import OutcomeReporter
from galenascale.batch.runs import ItemRunner
from galenascale.calls import CallService
from galenascale.clock import Clock
from galenascale.config_follower import ConfigFollower
from galenascale.config_keeper import ConfigPeers
from galenascale.engine_client import EngineClient
from galenascale.files import FileService
from galenascale.generated import messages
from galenascale.http_api import ApiContext, make_app, start_listener
from galenascale.http_api.operator import operator_routes
from galenascale.jobs import JobService
from galenascale.load_poller import LoadPoller
from galenascale.log_client import LogClient
from galenascale.logs import get_logger
from galenascale.metrics import Metrics
from galenascale.online import OnlineService
from galenascale.peering import Peering
from galenascale.shards import Shards
from galenascale.shards.keeper import ShardKeeper
from galenascale.stopping import GracefulStop
from galenascale.tenants import Tenants
from galenascale.tls import ServerTls

log = get_logger("host")

DOMAIN_HEADER = "X-Failure-Domain"
CONFIG_FETCH_TIMEOUT_S = 2.0


class Host:
    """An entry host that serves callers from start() until stop()."""

    def __init__(self, settings, clock):
        self.settings = settings
        self.clock = clock
        self.host_id = settings.host_id
        self.incarnation = secrets.token_hex(8)
        self.metrics = Metrics()
        self.peering = Peering(settings, clock, self.incarnation)
        self.membership = self.peering.membership
        self.stopping = GracefulStop(self)
        self._stack = contextlib.AsyncExitStack()

    @classmethod
    def from_config(cls, settings, clock=None):
        """Return a host with HostSettings; it does nothing before start()."""
        return cls(settings, clock or Clock())

    async def start(self):
        """Start all parts and listen for callers."""
        settings = self.settings
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        self._platform_session = await self._stack.enter_async_context(
            aiohttp.ClientSession(headers={DOMAIN_HEADER: settings.failure_domain})
        )
        self.log_client = LogClient(
            self._platform_session,
            settings.platform_url,
            settings.log.request_timeout_s,
        )
        self.engine_client = EngineClient(self.session, self.clock)
        await self.peering.start(self._platform_session, self._stack)
        self.peers = self.peering.peers
        self._start_config()
        self._start_online()
        self._start_outcomes()
        await self._start_listener()
        self._start_gossip()
        log.info("Listening on port %d.", self.port)

    @property
    def ready(self):
        """Whether the host takes requests."""
        return self.is_ready()

    def is_ready(self):
        """Return whether requests are taken: a configuration is in force."""
        return not self.stopping.started and self.config.is_ready()

    def _start_config(self):
        peering, settings = self.peering, self.settings

        async def fetch(host_id, request):
            return await self.peers.call(
                host_id,
                "config_fetch",
                request,
                messages.ConfigFetchReply,
                CONFIG_FETCH_TIMEOUT_S,
            )

        async def handle_fetch(request):
            return self.config.handle_fetch(request)

        self.config = ConfigFollower(
            self.log_client,
            self.clock,
            settings.log.config_poll_s,
            settings=settings.log,
            peers=ConfigPeers(
                self.host_id,
                lambda: peering.live_ids(settings.failure_domain),
                peering.live_ids,
                lambda: peering.membership.min_reads_version(self.clock.monotonic()),
                fetch,
            ),
        )
        self.peering.register(
            "config_fetch",
            messages.ConfigFetchRequest,
            messages.ConfigFetchReply,
            handle_fetch,
        )
        self._run(self.config.run())
        self.tenants = Tenants(settings.operator_key_digests)
        self.config.subscribe(self.tenants.install)

    def _start_online(self):
        self.online = OnlineService(
            lambda: self.config.current,
            self.engine_client,
            self.clock,
            random.Random(),
            self.settings.failure_domain,
            lambda server_id, slots: self.capacity.give_way(server_id, slots),
            self._share_verdict,
        )
        self._stack.push_async_callback(self.online.close)
        self.capacity = BatchCapacity(
            self.host_id, self.config, self.online, self.peering, self.clock
        )
        self.load_poller = LoadPoller(
            self.config,
            self.online,
            self.engine_client,
            self.membership,
            self.clock,
            self.settings,
        )
        self._run(self.load_poller.run())
        self.peering.register(
            "give_way",
            messages.GiveWayRequest,
            messages.GiveWayReply,
            self.capacity.handle_give_way,
        )
        self.peering.register(
            "poison", messages.PoisonReport, messages.Empty, self._handle_poison
        )

    async def _share_verdict(self, verdict):
        report = messages.PoisonReport(self.host_id, [verdict])
        await self.peering.tell_peers("poison", report)

    async def _handle_poison(self, report):
        for verdict in report.verdicts:
            self.online.merge_verdict(verdict)
        return messages.Empty()

    def _start_outcomes(self):
        settings = self.settings
        self.shards = Shards(
            self.log_client,
            self.clock,
            settings.log,
            self.host_id,
            self.peering.shard_owner,
            self.peers,
        )
        self._stack.push_async_callback(self.shards.close)
        keeper = ShardKeeper(
            self.shards,
            self.log_client,
            self.clock,
            settings.log,
            self.peering.clock_agrees,
        )
        self._run(keeper.run())
        self.files = FileService(self.shards, self.log_client, self.clock, settings)
        self.jobs = JobService(
            self.shards, self.log_client, self.files, self.config, self.clock, settings
        )
        self.calls = CallService(self, self.online.choose_plain, self.engine_client)
        self._stack.push_async_callback(self.calls.close)
        self._start_batch()
        for name, request_type, reply_type, handler in (
            (
                "submit",
                messages.SubmitRequest,
                messages.SubmitReply,
                self.shards.handle_submit,
            ),
            ("work", messages.WorkRequest, messages.WorkReply, self.grants.grant),
            (
                "call_status",
                messages.CallStatusRequest,
                messages.CallStatusReply,
                self.calls.handle_status,
            ),
            (
                "job_cancelled",
                messages.JobCancelledNotice,
                messages.Empty,
                self._handle_job_cancelled,
            ),
            (
                "job_accepted",
                messages.JobAcceptedNotice,
                messages.Empty,
                self._handle_job_accepted,
            ),
            (
                "hand_over",
                messages.HandOverRequest,
                messages.HandOverReply,
                self.reporter.handle_hand_over,
            ),
        ):
            self.peering.register(name, request_type, reply_type, handler)

    def _start_batch(self):
        settings = self.settings
        self.grants = GrantService(
            self.shards, self.clock, settings.batch, self.peering.is_gone
        )
        self.reporter = OutcomeReporter(
            self.shards,
            self.clock,
            lambda *args: self.worker.recorded(*args),
        )
        self._run(self.reporter.run())
        runner = ItemRunner(
            self.engine_client,
            self.shards,
            self.clock,
            settings.batch,
            lambda service: self.online.dispatcher(service).poison,
            lambda verdict: self.online.spawn(self._share_verdict(verdict)),
        )
        self.worker = BatchWorker(
            self, self.grants, self.capacity, self.reporter, runner.run
        )
        self.capacity.worker = self.worker
        self._run(self.worker.run())
        self.jobs.on_cancelled = self._tell_job_cancelled
        self.jobs.on_accepted = self._tell_job_accepted

    async def _tell_job_cancelled(self, job_id):
        self.worker.job_cancelled(job_id)
        notice = messages.JobCancelledNotice(job_id)
        await self.peering.tell_peers("job_cancelled", notice)

    async def _handle_job_cancelled(self, notice):
        self.worker.job_cancelled(notice.job_id)
        return messages.Empty()

    def _tell_job_accepted(self, job_id, service_name):
        self.worker.job_accepted(job_id, service_name)
        notice = messages.JobAcceptedNotice(job_id, service_name)
        self.online.spawn(self.peering.tell_peers("job_accepted", notice))

    async def _handle_job_accepted(self, notice):
        self.worker.job_accepted(notice.job_id, notice.service_name)
        return messages.Empty()

    async def _start_listener(self):
        settings = self.settings
        self.context = ApiContext(
            self.online,
            self.config,
            self.tenants,
            self.metrics,
            settings.limits,
            self.clock,
            self.is_ready,
            lambda: self.stopping.started,
            self.files,
            self.jobs,
            self.calls,
        )
        tls_context = None
        if settings.tls.certificate:
            tls = ServerTls(settings.tls, self.clock)
            tls_context = tls.context
            self._run(tls.run())
        app = make_app(self.context, operator_routes(self))
        app.middlewares.insert(0, self.stopping.count_requests)
        self.port = await self._stack.enter_async_context(
            start_listener(
                app,
                settings.listen_address,
                settings.port,
                settings.limits,
                tls_context,
            )
        )
        if not settings.url:
            scheme = "https" if tls_context else "http"
            url = f"{scheme}://{settings.listen_address}:{self.port}"
            self.membership.update_own(url=url)

    def _start_gossip(self):
        exchange = self.peering.exchange
        exchange.config_version = lambda: self.config.current.version
        exchange.config_age_s = self._config_age_s
        exchange.loads = self.online.loads
        exchange.on_message = self._on_gossip
        self._run(self.peering.host_list.run())
        self._run(self.peering.gossip.run())
        self._run(self._watch_readiness())

    def _config_age_s(self):
        """Return the configuration's age for gossip; -1 before any read."""
        age_s = self.config.age_s()
        return -1.0 if age_s is None else age_s

    def _on_gossip(self, now, message):
        sender = message.sender.host_id
        self.online.peer_loads(sender, message.loads)
        for server_id in message.leaving_servers:
            self.online.leaving(server_id)
        if message.config_version >= 0:
            age_s = message.config_age_s
            self.config.notice(sender, message.config_version, age_s)

    async def _watch_readiness(self):
        while True:
            ready = self.is_ready()
            if self.membership.own.ready != ready:
                self.membership.update_own(ready=ready)
            await self.clock.sleep(self.settings.membership.gossip_s)

    def _run(self, coroutine):
        task = asyncio.create_task(coroutine)

        async def cancel():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self._stack.push_async_callback(cancel)

    async def stop(self, graceful=True):
        """Finish what runs, hand over what is left and close everything."""
        if graceful and hasattr(self, "port"):
            await self.stopping.run()
        await self._stack.aclose()
        log.info("Stopped.")
