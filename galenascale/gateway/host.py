"""A gateway host: construction, listeners, background tasks and stop."""

import asyncio
import contextlib
import random
import time

import aiohttp
import attrs

from galenascale.clock import Clock
from galenascale.gateway import suspect_exchange
from galenascale.gateway.admission import Admission
from galenascale.gateway.announcer import Announcer, DelayedCall
from galenascale.gateway.authentication import Authenticator
from galenascale.gateway.backend_pool import BackendPool
from galenascale.gateway.background import BackgroundTasks
from galenascale.gateway.block_records import BlockRecords
from galenascale.gateway.configuration import ConfigurationState
from galenascale.gateway.configuration_proof import ConfigurationProof
from galenascale.gateway.context import GatewayContext
from galenascale.gateway.crashes import CrashHistory
from galenascale.gateway.discovery import HostDiscovery
from galenascale.gateway.forwarding import Forwarder
from galenascale.gateway.health import ServerHealth
from galenascale.gateway.host_listeners import InternalHandlers, open_listeners
from galenascale.gateway.jobs.acceptance import JobAcceptor
from galenascale.gateway.jobs.api import JobsApi
from galenascale.gateway.jobs.bodies import BodyReader
from galenascale.gateway.jobs.group_membership import GroupMembership
from galenascale.gateway.jobs.job_loader import JobLoader
from galenascale.gateway.jobs.job_memory import JobMemory
from galenascale.gateway.jobs.partitions import Partitions
from galenascale.gateway.jobs.quotas import Quotas
from galenascale.gateway.jobs.recorder import OutcomeRecorder
from galenascale.gateway.jobs.relaying_store import RelayingStore
from galenascale.gateway.jobs.runner import JobRunner
from galenascale.gateway.json_log import JsonLog
from galenascale.gateway.load import FleetLoad
from galenascale.gateway.metrics import GatewayMetrics
from galenascale.gateway.ownership import OwnerCandidate, Ownership
from galenascale.gateway.peer_state import PeerStateFetcher
from galenascale.gateway.peers import PeerProtocol
from galenascale.gateway.rates.service import RateService
from galenascale.gateway.reachability import Reachability
from galenascale.gateway.request_handler import RequestHandler
from galenascale.gateway.server_limits import ServerLimits
from galenascale.gateway.servers import ServerList
from galenascale.gateway.slot_shares import SlotShares
from galenascale.gateway.slots.service import SlotService
from galenascale.gateway.sockets import split_address
from galenascale.gateway.stopping import GracefulStop
from galenascale.gateway.store_followers import StoreFollowers
from galenascale.gateway.store_status import StoreStatus
from galenascale.gateway.suspect_parts import SuspectParts
from galenascale.gateway.unanswered_runs import UnansweredRuns

# Seconds between two checks for idle backend connections to close.
IDLE_CHECK_INTERVAL_S = 1.0


class BoottimeClock(Clock):
    """Clock whose monotonic time includes time in suspend."""

    def monotonic(self):
        """Return monotonic seconds, including time in suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class GatewayHost:
    """Serves callers and runs batch jobs until it is stopped."""

    context: GatewayContext
    store_status: StoreStatus
    followers: StoreFollowers
    authenticator: Authenticator
    request_handler: RequestHandler
    runner: JobRunner
    recorder: OutcomeRecorder
    group_membership: GroupMembership
    session: aiohttp.ClientSession
    stack: contextlib.AsyncExitStack
    discovery: HostDiscovery
    started_ms: int
    background: BackgroundTasks
    _caller_server: object = None
    _caller_listener: object = None

    @classmethod
    async def from_config(cls, settings, adapter):
        """Return a host; `adapter` holds all that depends on the platform."""
        clock = BoottimeClock()
        stack = contextlib.AsyncExitStack()
        log = JsonLog(settings.host_id, settings.log_level)
        stack.callback(log.flush)
        session = await stack.enter_async_context(adapter.make_session())
        started_ms = clock.wall_ms()
        metrics = GatewayMetrics()
        store_status = StoreStatus(log, clock, metrics)
        rng = random.Random()
        pool = BackendPool(adapter.dialect.parse_response_head)
        stack.callback(pool.close)
        context = GatewayContext(
            settings=settings,
            dialect=adapter.dialect,
            clock=clock,
            rng=rng,
            log=log,
            metrics=metrics,
            configuration=ConfigurationState(),
            configuration_proof=ConfigurationProof(),
            servers=ServerList(),
            load=FleetLoad(settings.host_id),
            slot_shares=SlotShares(settings.host_id),
            health=ServerHealth(),
            pool=pool,
            admission=Admission(rng),
            crashes=CrashHistory(),
            suspects=SuspectParts(),
            unanswered=UnansweredRuns(),
            limits=ServerLimits(),
            store=adapter.make_store(settings.store, session),
            ownership=Ownership(
                OwnerCandidate(
                    settings.host_id,
                    settings.failure_domain,
                    split_address(settings.peer_listen)[0],
                )
            ),
        )
        context.reachability = Reachability(context)
        stack.callback(context.reachability.close)
        peer_protocol = PeerProtocol(context, started_ms, store_status)
        _share_suspicions(context, peer_protocol, stack)
        context.slots = SlotService(context, started_ms, peer_protocol.send_slots)
        context.rates = RateService(context, started_ms, peer_protocol.send_rates)
        context.peers = peer_protocol.table
        context.job_store = RelayingStore(context, store_status, session)
        context.job_memory = JobMemory.from_config(settings, started_ms)
        partitions = Partitions(context, context.job_memory)
        loader = JobLoader(partitions, context.job_memory)
        bodies = BodyReader(context, partitions, loader)
        recorder = OutcomeRecorder(context, partitions)
        group_membership = GroupMembership(context, store_status)
        context.quotas = Quotas(context, partitions, group_membership)
        runner = JobRunner(
            context,
            partitions,
            loader,
            bodies,
            recorder,
            group_membership,
            started_ms,
        )
        acceptor = JobAcceptor(context, partitions, started_ms)
        jobs = JobsApi(context, partitions, loader, acceptor, bodies, runner)
        authenticator = Authenticator(context)
        host = cls(
            context=context,
            store_status=store_status,
            followers=StoreFollowers(context, store_status, adapter.names),
            authenticator=authenticator,
            request_handler=RequestHandler(
                context, Forwarder(context), jobs, authenticator
            ),
            runner=runner,
            recorder=recorder,
            group_membership=group_membership,
            session=session,
            stack=stack,
            discovery=HostDiscovery(context, store_status, peer_protocol),
            started_ms=started_ms,
            background=BackgroundTasks(log),
        )
        context.servers.on_change(host._on_server_change)
        return host

    def _on_server_change(self, change, entry):
        if change in ("removed", "leaving"):
            self.context.pool.close_server(entry.incarnation)
        if change == "removed":
            self.context.health.remove(entry.incarnation)
            self.context.versions.remove(entry.incarnation)
            self.context.reachability.forget(entry.incarnation)
            self.context.limits.remove(entry)
        self.context.log.write(
            f"server_{change}",
            server=entry.server_id,
            service=entry.service,
            address=entry.address,
            sequence=entry.sequence,
            position=self.context.servers.position,
        )

    async def start(self):
        """Listen and start the tasks; raise OSError if listening fails."""
        settings = self.context.settings
        self.context.log.write(
            "start", started_ms=self.started_ms, failure_domain=settings.failure_domain
        )
        await self._listen(settings)
        self.background.spawn("log", self.context.log.run)
        self.background.spawn("configuration", self.followers.follow_configuration)
        self.background.spawn("servers", self.followers.follow_servers)
        self.background.spawn("block_reader", self.context.block_records.follow)
        self.background.spawn("block_writer", self.context.block_records.write)
        self.background.spawn("peers", self.discovery.peer_protocol.run)
        self.background.spawn("presence", self.discovery.run)
        peer_state = PeerStateFetcher(
            self.context, self.store_status, self.followers, self.session
        )
        self.background.spawn("relay", peer_state.run)
        self.background.spawn("stewardship", self.group_membership.run)
        self.background.spawn("recorder", self.recorder.run)
        self.background.spawn("quotas", self.context.quotas.run)
        self.background.spawn("reachability", self.context.reachability.run)
        self.background.spawn("slots", self.context.slots.run)
        self.background.spawn("rates", self.context.rates.run)
        self.background.spawn("jobs", self.runner.run)
        self.background.spawn("idle_connections", self._close_idle)

    async def _listen(self, settings):
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self.discovery.peer_protocol,
            local_addr=(
                split_address(settings.peer_listen)[0],
                settings.peer_datagram_port,
            ),
        )
        self.stack.callback(transport.close)
        self._caller_server, self._caller_listener = await open_listeners(
            self.stack,
            self.context,
            self.request_handler.handle,
            InternalHandlers(self.context, self.followers, lambda: self.ready),
        )

    @property
    def ready(self):
        """Return True if the host is ready for new callers."""
        return (
            not self.request_handler.stopping
            and self.context.configuration.current is not None
            and self.context.servers.loaded
            and self.authenticator.is_proven()
        )

    async def _close_idle(self):
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
            self.context.pool.close_idle()

    async def stop(self):
        """Stop gracefully within the operator's grace period."""
        stop = GracefulStop(
            self.context,
            self.request_handler,
            self.runner,
            self.group_membership,
            self.discovery,
            self._caller_server,
            self._caller_listener,
        )
        await stop.run()
        await self.kill()

    async def kill(self):
        """Stop immediately, without handing jobs over."""
        await self.background.cancel()
        await self.stack.aclose()


def _share_suspicions(context, peer_protocol, stack):
    """Connect the suspicions about prompt parts with the other hosts."""
    context.block_records = BlockRecords(context)
    context.announcer = Announcer(context.clock, peer_protocol.broadcast_status)
    stack.callback(context.announcer.close)
    context.decision = DelayedCall(lambda: suspect_exchange.decide(context))
    stack.callback(context.decision.cancel)
