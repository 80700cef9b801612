"""Summary of a pool in which requests wait."""

from galenascale.gateway.slots.decisions import Pressure
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
