"""The servers of a pool as its owner sees them."""

from galenascale.gateway.load import hash_key
from galenascale.gateway.slots.decisions import PoolServer
from galenascale.gateway.slots.pace import Pace


def grantable_servers(context, pool, part, now, *, learning):
    """
    Return the PoolServers of a pool that may be granted.

    `part` is the LimitPart of servers that this host may grant. While it
    is `learning` which runs there are, the load that hosts report counts too.
    """
    health = context.health
    return [
        PoolServer(
            key=hash_key(entry.server_id),
            slots=entry.slots,
            quality=health.quality(entry.incarnation, now),
            reported_runs=context.load.total_at(entry.server_id).total
            if learning
            else 0,
            pace=_pace(context.limits, entry, part),
        )
        for entry in context.servers.usable(pool.service, now)
        if pool.contains(entry) and not health.is_unreachable(entry.incarnation)
    ]


def _pace(limits, entry, part):
    rate = limits.rate_of(entry) if limits else None
    return None if rate is None else Pace.from_limit(rate, part)
