"""What the owner of a pool records of its decisions and of the runs."""

from galenascale.gateway.servers import find_by_key
from galenascale.gateway.slots.decisions import (
    Forwarded,
    beyond_share_effect,
    limit_effect,
)
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
