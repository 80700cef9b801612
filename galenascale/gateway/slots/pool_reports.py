"""What a pool reports: its free slots, and requests that wait in it."""

from galenascale.gateway.slots.decisions import FreeSlots, Pressure
from galenascale.gateway.slots.tenant_shares import NO_TENANT, largest_users


def find_pressure(slots, runs, online_queue, batch_queue, beyond_share):
    """
    Return the Pressure while a request waits, else None.

    `runs` is the RunTable of the pool, and `beyond_share` the number of
    waiting requests beyond the shares of their tenants.
    """
    if not (online_queue or batch_queue):
        return None
    held = largest_users(runs.online_by_tenant())
    tenant, tenant_slots = next(iter(held.items()), (NO_TENANT, 0))
    return Pressure(
        slots=slots,
        online=runs.online,
        batch=runs.batch,
        waiting_online=len(online_queue),
        waiting_batch=len(batch_queue),
        beyond_share=beyond_share,
        largest_tenant=tenant,
        largest_tenant_slots=tenant_slots,
    )


def find_free_slots(servers, runs, waiting, reserve):
    """
    Return the FreeSlots to report to other pools.

    `servers` and `runs` are the ServerSlots and the RunTable of the pool,
    `waiting` and `reserve` numbers of slots for its online requests.
    """
    free = max(0, servers.startable_count() - waiting)
    free_for_batch = max(0, free - reserve)
    if servers.has_limits and not (waiting or runs.online):
        # All slots are free for items, also where each server has tokens for
        # one run only.
        idle = servers.free_count() - reserve
        startable = min(idle, servers.startable_count(batch=True))
        free_for_batch = max(free_for_batch, startable)
    preemptible = sum(servers.has_tokens(run.server_key) for run in runs.preemptible())
    return FreeSlots(
        free=free,
        free_for_batch=free_for_batch,
        preemptible=preemptible,
        slots_by_tenant=largest_users(runs.online_by_tenant()),
    )
