"""Recording of the limits that servers name, and their log and metrics."""


def record_answer(context, attempt, head):
    """Record the limit in the ResponseHead of an attempt, or its end."""
    limits = context.limits
    server = attempt.server
    now = context.clock.monotonic()
    if head.limit is not None and head.limit.requests_per_s is None:
        context.metrics.limit_changes.labels("malformed").inc()
        context.log.write(
            "server_limit_malformed",
            "warning",
            server=server.server_id,
            text=head.limit.text,
        )
    if head.limit is None and head.not_run:
        # Only a server that runs requests says that its need is over.
        return
    change = limits.observe(server, head.limit, attempt.sent_at, now)
    if change is not None:
        _log_change(context, server, change, peer=None, age_s=0.0)


def _log_change(context, server, change, *, peer, age_s):
    context.metrics.limit_changes.labels(change.kind).inc()
    context.log.write(
        f"server_limit_{change.kind}",
        "warning",
        server=server.server_id,
        service=server.service,
        before=change.before,
        requests_per_s=change.after,
        peer=peer,
        age_s=round(age_s, 3),
    )
