"""Construction of the parts of an entry host, in the order of their needs."""

import random

from galenascale.batch import BatchWorker, GrantService
from galenascale.batch.capacity import BatchCapacity
from galenascale.batch.reporter import OutcomeReporter
from galenascale.batch.runs import ItemRunner
from galenascale.calls import CallService
from galenascale.config_follower import ConfigFollower
from galenascale.config_keeper import ConfigPeers
from galenascale.files import FileService
from galenascale.fleet import FleetVerdicts
from galenascale.generated.messages import PlacementSettings
from galenascale.host_methods import (
    fetch_config,
    note_sign,
    share_verdict,
    tell_job_accepted,
    tell_job_cancelled,
)
from galenascale.http_api import ApiContext, listener, make_app
from galenascale.http_api.operator import operator_routes
from galenascale.jobs import JobService
from galenascale.load_poller import LoadPoller
from galenascale.online import OnlineService
from galenascale.placement import Leases, PlacementService
from galenascale.scheduling_metrics import SchedulingMetrics
from galenascale.shards import Shards
from galenascale.shards.keeper import ShardKeeper
from galenascale.stream_moves import StreamMover
from galenascale.tenants import Tenants
from galenascale.tls import ServerTls
from galenascale.weight_store import WeightStore


def start_config(host):
    """Follow the configuration; tenants' keys come from it."""
    peering, settings = host.peering, host.settings
    host.config = ConfigFollower(
        host.log_client,
        host.clock,
        settings.log.config_poll_s,
        settings=settings.log,
        peers=ConfigPeers(
            host.host_id,
            lambda: peering.live_ids(settings.failure_domain),
            peering.live_ids,
            lambda: peering.membership.min_reads_version(host.clock.monotonic()),
            lambda host_id, request: fetch_config(host, host_id, request),
        ),
    )
    host.run(host.config.run())
    host.tenants = Tenants(settings.operator_key_digests)
    host.config.subscribe(host.tenants.install)


def start_online(host):
    """Build the online service and what feeds its view of the servers."""
    host.online = OnlineService(
        lambda: host.config.current,
        host.engine_client,
        host.clock,
        random.Random(),
        host.settings.failure_domain,
        lambda server_id, slots: host.capacity.give_way(server_id, slots),
        lambda verdict: share_verdict(host, verdict),
    )
    host.stack.push_async_callback(host.online.close)
    host.online.note_sign = lambda *sign: note_sign(host, *sign)
    host.capacity = BatchCapacity(
        host.host_id, host.config, host.online, host.peering, host.clock
    )
    host.load_poller = LoadPoller(
        host.config,
        host.online,
        host.engine_client,
        host.membership,
        host.clock,
        host.settings,
    )
    host.run(host.load_poller.run())


def start_outcomes(host):
    """Build shards, files, jobs and calls, whose outcomes are in the log."""
    settings = host.settings
    host.shards = Shards(
        host.log_client,
        host.clock,
        settings.log,
        host.host_id,
        host.peering.shard_owner,
        host.peers,
    )
    host.stack.push_async_callback(host.shards.close)
    keeper = ShardKeeper(
        host.shards,
        host.log_client,
        host.clock,
        settings.log,
        host.peering.clock_agrees,
        lambda shard: host.peering.next_shard_owner(shard) == host.host_id,
    )
    host.run(keeper.run())
    host.files = FileService(host.shards, host.log_client, host.clock, settings)
    host.jobs = JobService(
        host.shards, host.log_client, host.files, host.config, host.clock, settings
    )
    host.calls = CallService(host, host.online.choose_plain, host.engine_client)
    host.calls.note_sign = host.online.note_sign
    host.stack.push_async_callback(host.calls.recorder.close)


def start_batch(host):
    """Build what claims, runs and reports batch items."""
    settings = host.settings
    host.grants = GrantService(
        host.shards, host.clock, settings.batch, host.peering.is_gone
    )
    host.reporter = OutcomeReporter(
        host.shards,
        host.clock,
        lambda *args: host.worker.recorded(*args),
    )
    host.run(host.reporter.run())
    runner = ItemRunner(
        host.engine_client,
        host.shards,
        host.clock,
        settings.batch,
        lambda service: host.online.dispatcher(service).poison,
        lambda verdict: host.online.spawn(share_verdict(host, verdict)),
    )
    host.worker = BatchWorker(
        host, host.grants, host.capacity, host.reporter, runner.run
    )
    host.capacity.worker = host.worker
    SchedulingMetrics(host.metrics, host.online, host.capacity, host.worker)
    host.run(host.worker.run())
    host.jobs.on_cancelled = lambda job_id: tell_job_cancelled(host, job_id)
    host.jobs.on_accepted = lambda *args: tell_job_accepted(host, *args)


def start_placement(host):
    """Follow the fleet stream and give orders to backend servers."""
    settings = host.settings.placement or PlacementSettings()
    host.fleet_verdicts = FleetVerdicts(
        host.shards, host.clock, settings.fleet_poll_s, host.online.merge_verdict
    )
    host.run(host.fleet_verdicts.run())
    host.stack.push_async_callback(host.fleet_verdicts.close)
    host.placement = PlacementService(
        host.host_id,
        host.config,
        Leases(host.shards, host.clock, settings, host.host_id, host.incarnation),
        host.engine_client,
        WeightStore(host.platform_session, host.settings.platform_url, host.clock),
        host.clock,
        settings,
        host.peering.placing_host,
        host.online.online_load,
        host.membership.servers.is_leaving,
    )
    host.load_poller.on_report = host.placement.observe
    host.online.mover = StreamMover(host.engine_client, host.clock, settings)
    host.online.on_request = host.placement.note_request
    host.run(host.placement.run())
    host.stack.push_async_callback(host.placement.close)


async def start_listener(host):
    """Listen for callers and operators; `port` is set from then on."""
    settings = host.settings
    host.context = ApiContext(
        host.online,
        host.config,
        host.tenants,
        host.metrics,
        settings.limits,
        host.clock,
        host.is_ready,
        lambda: host.stopping.started,
        host.files,
        host.jobs,
        host.calls,
    )
    tls_context = None
    if settings.tls.certificate:
        tls = ServerTls(settings.tls, host.clock)
        tls_context = tls.context
        host.run(tls.run())
    app = make_app(host.context, operator_routes(host))
    app.middlewares.insert(0, host.stopping.count_requests)
    host.port = await host.stack.enter_async_context(
        listener.start_listener(
            app,
            settings.listen_address,
            settings.port,
            settings.limits,
            tls_context,
            lambda server: setattr(host, "stop_accepting", server.close),
        )
    )
    if not settings.url:
        scheme = "https" if tls_context else "http"
        url = f"{scheme}://{settings.listen_address}:{host.port}"
        host.membership.update_own(url=url)
