"""The log line and metric of an attempt of an online request."""


def log_attempt(context, request, plan, selected, outcome, response):
    """Log how an attempt at a SelectedServer ended; count its outcome."""
    candidate = selected.candidate
    now = context.clock.monotonic()
    context.metrics.sends.labels(outcome).inc()
    context.log.write(
        "send",
        request=request.request_id,
        server=candidate.server.server_id,
        online=candidate.online,
        batch=candidate.batch,
        slots=candidate.server.slots,
        quality=round(candidate.quality, 3),
        granted=selected.granted,
        waited_s=round(selected.waited_s, 4),
        elapsed_s=round(now - selected.selected_at, 4),
        first_event_s=selected.first_event_s,
        limit=context.limits.rate_of(candidate.server),
        servers_age_s=round(now - (context.servers.read_at or now), 3),
        config=context.configuration.version,
        run=plan.runs,
        remaining_s=round(plan.remaining_s(now), 3),
        outcome=outcome,
        status=response.head.status if response else None,
    )


def attempt_outcome(response, served):
    """Return how an attempt that got a whole response ended, for the log."""
    if served:
        return "answered"
    return "refused" if response.head.not_run else "failed"
