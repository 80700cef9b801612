"""What an entry host says to its peers and answers them."""

from galenascale.generated import messages

CONFIG_FETCH_TIMEOUT_S = 2.0


def register_methods(host):
    """Serve the peers' methods with the parts of the host."""
    register = host.peering.register

    async def config_fetch(request):
        return host.config.handle_fetch(request)

    async def poison(report):
        for verdict in report.verdicts:
            host.online.merge_verdict(verdict)
        return messages.Empty()

    async def job_cancelled(notice):
        host.worker.job_cancelled(notice.job_id)
        return messages.Empty()

    async def job_accepted(notice):
        host.worker.job_accepted(notice.job_id, notice.service_name)
        return messages.Empty()

    async def hand_over(request):
        reply = await host.reporter.handle_hand_over(request)
        reply.accepted += host.calls.recorder.take_over(request.calls)
        return reply

    for name, request_type, reply_type, handler in (
        (
            "config_fetch",
            messages.ConfigFetchRequest,
            messages.ConfigFetchReply,
            config_fetch,
        ),
        (
            "give_way",
            messages.GiveWayRequest,
            messages.GiveWayReply,
            host.capacity.handle_give_way,
        ),
        ("poison", messages.PoisonReport, messages.Empty, poison),
        (
            "submit",
            messages.SubmitRequest,
            messages.SubmitReply,
            host.shards.handle_submit,
        ),
        ("work", messages.WorkRequest, messages.WorkReply, host.grants.grant),
        (
            "call_status",
            messages.CallStatusRequest,
            messages.CallStatusReply,
            host.calls.handle_status,
        ),
        ("job_cancelled", messages.JobCancelledNotice, messages.Empty, job_cancelled),
        ("job_accepted", messages.JobAcceptedNotice, messages.Empty, job_accepted),
        (
            "hand_over",
            messages.HandOverRequest,
            messages.HandOverReply,
            hand_over,
        ),
    ):
        register(name, request_type, reply_type, handler)


async def fetch_config(host, host_id, request):
    """Return the ConfigFetchReply of a peer."""
    return await host.peers.call(
        host_id,
        "config_fetch",
        request,
        messages.ConfigFetchReply,
        CONFIG_FETCH_TIMEOUT_S,
    )


async def share_verdict(host, verdict):
    """Tell the peers a PoisonVerdict."""
    report = messages.PoisonReport(host.host_id, [verdict])
    await host.peering.tell_peers("poison", report)
    host.fleet_verdicts.add(verdict)


async def tell_job_cancelled(host, job_id):
    """Stop the items of a cancelled job here and at the peers."""
    host.worker.job_cancelled(job_id)
    notice = messages.JobCancelledNotice(job_id)
    await host.peering.tell_peers("job_cancelled", notice)


def tell_job_accepted(host, job_id, service_name):
    """Let this host and the peers ask for work of a new job."""
    host.worker.job_accepted(job_id, service_name)
    notice = messages.JobAcceptedNotice(job_id, service_name)
    host.online.spawn(host.peering.tell_peers("job_accepted", notice))


def note_sign(host, server_id, code, started_at):
    """
    Pass on what a request that began at `started_at` says about its server.

    `code` is that of its BackendError, empty for an answer. Peers hear of a
    leaving server by gossip.
    """
    now, signs = host.clock.monotonic(), host.membership.servers
    if code == "leaving":
        signs.leaving(now, server_id)
        host.online.leaving(server_id)
    elif code == "connect_failed":
        signs.failed(now, server_id)
    elif not code:
        signs.answered(now, server_id, started_at)


def connect_gossip(host):
    """Let gossip carry the configuration's version and the servers' loads."""
    exchange = host.peering.exchange
    exchange.config_version = lambda: host.config.current.version
    exchange.config_age_s = lambda: _config_age_s(host)
    exchange.loads = host.online.loads
    exchange.on_message = lambda now, message: _on_gossip(host, message)
    # A refusal is told to all at once, not only in the turn of its load.
    host.online.on_leaving = lambda server_id: host.membership.servers.leaving(
        host.clock.monotonic(), server_id
    )


def _config_age_s(host):
    """Return the configuration's age for gossip; -1 before any read."""
    age_s = host.config.age_s()
    return -1.0 if age_s is None else age_s


def _on_gossip(host, message):
    sender = message.sender.host_id
    host.online.peer_loads(sender, message.loads)
    told = [load.server_id for load in message.loads if load.leaving]
    for server_id in {*told, *message.leaving_servers}:
        # The word of a peer may be older than the server's return.
        if host.membership.servers.is_leaving(server_id):
            host.online.leaving(server_id)
    if message.config_version >= 0:
        host.config.notice(sender, message.config_version, message.config_age_s)
