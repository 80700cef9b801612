"""Choice of the batch items whose slots online requests need."""

from galenascale.gateway.slots.decisions import Preempted

# Seconds after which the preemption of an item that still runs is repeated.
PREEMPT_RETRY_S = 0.1


def preempt(run, now):
    """Return the decision that an item has to free its slot."""
    run.preempted_at = now
    return Preempted(run.host, run.number)


def repeat_preemptions(runs, now):
    """Return the preemptions of items that still run after a while."""
    return [
        preempt(run, now)
        for run in runs
        if run.preempted_at is not None and now - run.preempted_at > PREEMPT_RETRY_S
    ]


def item_to_preempt(runs, servers, request):
    """Return an item at a server that a request may use, or None."""
    for run in runs.preemptible():
        key = run.server_key
        if servers.get(key) is None or key in request.avoid:
            continue
        if not servers.has_memory(key, request, freed_tokens=run.memory_tokens):
            continue
        if servers.has_tokens(key):
            return run
    return None


def preempt_excess_items(runs, servers, server_key, now):
    """Preempt items at a server that has more runs than slots."""
    server = servers.get(server_key)
    count = runs.counts_at(server_key)
    if server is None or not count.batch or count.total <= server.slots:
        return []
    excess = count.total - server.slots - runs.preempted_count(server_key)
    items = [run for run in runs.preemptible() if run.server_key == server_key]
    return [preempt(run, now) for run in items[: max(0, excess)]]
