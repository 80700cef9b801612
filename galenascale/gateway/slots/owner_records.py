"""What the owner of a pool records of its decisions and of the runs."""

import attrs

from galenascale.gateway.servers import find_by_key
from galenascale.gateway.slots.decisions import (
    Forwarded,
    beyond_share_effect,
    limit_effect,
)
from galenascale.gateway.slots.tenant_shares import tenant_name
from galenascale.generated.gateway_messages import SlotOutcome


def record_outcome(context, message, now):
    """Record the outcome of another host's run in the server's health."""
    entry = find_by_key(context.servers.all_entries(), message.server)
    if entry is None:
        return
    health = context.health
    if message.outcome == SlotOutcome.SERVED:
        health.record_success(entry.incarnation, now)
    elif message.outcome == SlotOutcome.FAILED:
        health.record_failure(entry.incarnation, now)
    elif message.outcome == SlotOutcome.UNREACHABLE:
        health.mark_suspected(entry.incarnation, now)
    elif message.outcome == SlotOutcome.GONE:
        health.mark_gone(entry.incarnation, now)


def log_pressure(context, pool, pressure):
    """Log the Pressure of a pool in which requests wait."""
    fields = attrs.asdict(pressure)
    key = fields.pop("largest_tenant")
    fields["largest_tenant"] = tenant_name(context.configuration, key)
    context.log.write(
        "pool_full",
        service=pool.service,
        failure_domain=pool.failure_domain,
        **fields,
    )


def log_speeds(context, pool, slowness_by_key):
    """Log how much longer runs take at the slowest servers, if any do."""
    if not slowness_by_key:
        return
    entries = context.servers.all_entries()
    slowness_by_id = {
        entry.server_id: round(slowness, 2)
        for key, slowness in slowness_by_key.items()
        if (entry := find_by_key(entries, key)) is not None
    }
    context.log.write(
        "servers_differ",
        service=pool.service,
        failure_domain=pool.failure_domain,
        slowness=slowness_by_id,
    )


def count_effects(context, decision):
    """Count requests by what limits, shares and other domains do to them."""
    effect = limit_effect(decision) if context.limits else None
    if effect is not None:
        context.metrics.limited_requests.labels(effect).inc()
    if isinstance(decision, Forwarded):
        context.metrics.left_domain.labels(decision.reason).inc()
    effect = beyond_share_effect(decision)
    if effect is not None:
        context.metrics.beyond_share.labels(effect).inc()
