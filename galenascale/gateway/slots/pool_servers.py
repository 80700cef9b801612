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
    memory_tokens = engine_memory(context.configuration, pool.service)
    return [
        PoolServer(
            key=hash_key(entry.server_id),
            slots=entry.slots,
            quality=health.quality(entry.incarnation, now),
            reported_runs=context.load.total_at(entry.server_id).total
            if learning
            else 0,
            pace=_pace(context.limits, entry, part),
            memory_tokens=memory_tokens,
        )
        for entry in context.servers.usable(pool.service, now)
        if pool.contains(entry) and not health.is_unreachable(entry.incarnation)
    ]


def engine_memory(configuration, service_name):
    """Return the tokens that an engine of a service holds, 0 if unknown."""
    current = configuration.current
    service = current and current.services_by_name.get(service_name)
    if service is None or service.engine is None:
        return 0
    return service.engine.kv_tokens


def fits_engines(configuration, services, tokens):
    """Return True if engines of one of the services hold that many tokens."""
    capacities = [engine_memory(configuration, service) for service in services]
    return not capacities or any(
        not capacity or tokens <= capacity for capacity in capacities
    )


def size_reason(configuration, services, tokens):
    """Return why no engine of the services can serve a request, or None."""
    if fits_engines(configuration, services, tokens):
        return None
    return f"request may need {tokens} tokens, more than the engines hold"


def _pace(limits, entry, part):
    rate = limits.rate_of(entry) if limits else None
    return None if rate is None else Pace.from_limit(rate, part)
