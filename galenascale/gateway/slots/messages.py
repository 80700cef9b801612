"""Construction of the messages about slots between hosts."""

import math

from galenascale.gateway.slots.decisions import FreeSlots, Grant, Refused
from galenascale.generated.gateway_messages import (
    SlotMessage,
    SlotMessageKind,
    TenantSlots,
)

# Longest time in a message, in milliseconds; 11 days stand for no limit and
# fit a 32-bit integer.
MAX_MS = 1e9
# Most tokens in a message; any 32-bit number would do.
MAX_TOKENS = 1 << 30


def to_milliseconds(seconds):
    """Return whole milliseconds, limited to what a message can hold."""
    return int(max(-MAX_MS, min(MAX_MS, seconds * 1000)))


def make_ask(pool, request, now, *, host=""):
    """Return the message of a SlotRequest; `host` is empty for the sender."""
    return SlotMessage(
        kind=SlotMessageKind.ASK,
        pool=pool.key,
        host=host,
        run=request.number,
        batch=request.batch,
        wait_ms=to_milliseconds(request.start_by - now),
        avoid=list(request.avoid),
        returned=request.returned,
        refusable=request.refusable,
        forwarded=request.forwarded,
        give_up_ms=_give_up_ms(request, now),
        tenant=request.tenant,
        tokens=min(request.tokens, MAX_TOKENS),
        memory_tokens=min(request.memory_tokens, MAX_TOKENS),
    )


def _give_up_ms(request, now):
    if math.isinf(request.give_up_at):
        return 0
    return max(1, to_milliseconds(request.give_up_at - now))


def make_hold(lease, now):
    """Return the message that renews a held slot."""
    return SlotMessage(
        kind=SlotMessageKind.HOLD,
        pool=lease.pool.key,
        run=lease.number,
        server=lease.server_key,
        batch=lease.batch,
        wait_ms=to_milliseconds(lease.start_by - now),
        tenant=lease.tenant,
        memory_tokens=min(lease.memory_tokens, MAX_TOKENS),
    )


def make_hold_ack(hold):
    """Return the confirmation of a held slot."""
    return SlotMessage(
        kind=SlotMessageKind.GRANT, pool=hold.pool, run=hold.run, server=hold.server
    )


def make_ended(pool, number, server_key=0, outcome=0):
    """Return the message that ends a run or withdraws a request."""
    return SlotMessage(
        kind=SlotMessageKind.ENDED,
        pool=pool.key,
        run=number,
        server=server_key,
        outcome=int(outcome),
    )


def make_answer(pool, decision):
    """Return the message of a Grant, Queued or Refused decision."""
    run = decision.request.number
    if isinstance(decision, Grant):
        return SlotMessage(
            kind=SlotMessageKind.GRANT,
            pool=pool.key,
            run=run,
            server=decision.server_key,
            paced=decision.paced,
        )
    refused = isinstance(decision, Refused)
    return SlotMessage(
        kind=SlotMessageKind.REFUSED if refused else SlotMessageKind.QUEUED,
        pool=pool.key,
        run=run,
        wait_ms=to_milliseconds(decision.wait_s),
        paced=refused and decision.limited,
        beyond_share=refused and decision.beyond_share,
    )


def make_free_slots(receiver, pool, free_slots, stamp_us, echo_us):
    """
    Return the message that reports a pool's free slots to another pool.

    The stamps are those of CrossingTimes.
    """
    return SlotMessage(
        kind=SlotMessageKind.SPARE,
        pool=receiver.key,
        from_pool=pool.key,
        free=free_slots.free,
        free_for_batch=free_slots.free_for_batch,
        batch_runs=free_slots.preemptible,
        wait_ms=to_milliseconds(free_slots.wait_s),
        millistarts_per_s=to_milliseconds(free_slots.starts_per_s),
        stamp_us=stamp_us,
        echo_us=echo_us,
        tenants=[
            TenantSlots(tenant, slots)
            for tenant, slots in free_slots.slots_by_tenant.items()
        ],
    )


def read_free_slots(message, crossing_s):
    """Return the FreeSlots that another pool reports in a message."""
    return FreeSlots(
        message.free,
        message.free_for_batch,
        message.batch_runs,
        message.wait_ms / 1000,
        message.millistarts_per_s / 1000,
        crossing_s,
        slots_by_tenant={item.tenant: item.slots for item in message.tenants},
    )
