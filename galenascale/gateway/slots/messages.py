"""Messages about slots between hosts."""

from galenascale.gateway.slots.decisions import Grant, Refused
from galenascale.generated.gateway_messages import SlotMessage, SlotMessageKind

# Times beyond this are as good as endless.
MAX_MS = 1e9


def to_milliseconds(seconds):
    """Return whole milliseconds that a message can hold."""
    return int(max(-MAX_MS, min(MAX_MS, seconds * 1000)))


def make_ask(pool, request, now, *, host=""):
    """Return the message of an Ask; `host` has the run if not the sender."""
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
    )


def make_hold(lease, now):
    """Return the message that names a held slot."""
    return SlotMessage(
        kind=SlotMessageKind.HOLD,
        pool=lease.pool.key,
        run=lease.number,
        server=lease.server_key,
        batch=lease.batch,
        wait_ms=to_milliseconds(lease.start_by - now),
    )


def make_hold_ack(hold):
    """Return the answer to the message that names a held slot."""
    return SlotMessage(
        kind=SlotMessageKind.GRANT, pool=hold.pool, run=hold.run, server=hold.server
    )


def make_ended(pool, number, server_key=0, outcome=0):
    """Return the message that a run or an ask is over."""
    return SlotMessage(
        kind=SlotMessageKind.ENDED,
        pool=pool.key,
        run=number,
        server=server_key,
        outcome=int(outcome),
    )


def make_answer(pool, decision):
    """Return the message of a Grant, Queued or Refused."""
    run = decision.request.number
    if isinstance(decision, Grant):
        return SlotMessage(
            kind=SlotMessageKind.GRANT,
            pool=pool.key,
            run=run,
            server=decision.server_key,
        )
    refused = isinstance(decision, Refused)
    return SlotMessage(
        kind=SlotMessageKind.REFUSED if refused else SlotMessageKind.QUEUED,
        pool=pool.key,
        run=run,
        wait_ms=to_milliseconds(decision.wait_s),
    )


def make_free_slots(receiver, pool, free_slots):
    """Return the message of a pool's free slots to another pool's owner."""
    return SlotMessage(
        kind=SlotMessageKind.SPARE,
        pool=receiver.key,
        from_pool=pool.key,
        free=free_slots.free,
        free_for_batch=free_slots.free_for_batch,
        batch_runs=free_slots.preemptible,
    )
