"""The other pools of a service, and requests that are passed on to them."""

from galenascale.gateway.slots.decisions import Forwarded, Queued

# Seconds of waiting that passing a request on to another queue must save.
MIN_WAIT_SAVED_S = 0.05
# Seconds after which another pool's report of its free slots is dropped.
FREE_SLOTS_MAX_AGE_S = 0.7


class SiblingPools:
    """The FreeSlots that the other pools of a service reported, by pool."""

    def __init__(self):
        self._free_slots_by_pool = {}

    def update(self, pool_key, free_slots, now):
        """Store a report of a pool."""
        free_slots.received_at = now
        self._free_slots_by_pool[pool_key] = free_slots

    def add_slots_by_tenant(self, held_by_tenant):
        """Add the reported slots of tenants; return the number of these."""
        added = 0
        for free_slots in self._free_slots_by_pool.values():
            for tenant, slots in free_slots.slots_by_tenant.items():
                held_by_tenant[tenant] = held_by_tenant.get(tenant, 0) + slots
                added += slots
        return added

    def expire(self, now):
        """Drop old reports."""
        for pool_key, free_slots in list(self._free_slots_by_pool.items()):
            if now - free_slots.received_at > FREE_SLOTS_MAX_AGE_S:
                del self._free_slots_by_pool[pool_key]

    def forward(self, request, count_of):
        """Forward a request to the pool with the largest `count_of` slots."""
        free_slots_by_pool = self._free_slots_by_pool
        if request.forwarded or not free_slots_by_pool:
            return []
        key = max(free_slots_by_pool, key=lambda key: count_of(free_slots_by_pool[key]))
        free_slots = free_slots_by_pool[key]
        if count_of(free_slots) <= 0:
            return []
        if free_slots.free > 0:
            free_slots.free -= 1
            free_slots.free_for_batch -= 1
        else:
            free_slots.preemptible -= 1
        return [Queued(request, 0.0), Forwarded(request, key, "free_slot")]

    def forward_if_sooner(self, request, own_wait_s, now):
        """
        Forward a request to a pool in which it starts much sooner.

        Until the next report its place there counts once for each other pool
        of the service: their owners may decide alike at the same moment.
        """
        forecasts = {
            key: free_slots
            for key, free_slots in self._free_slots_by_pool.items()
            if free_slots.starts_per_s
        }
        if request.forwarded or not forecasts:
            return []
        key = min(forecasts, key=lambda key: forecasts[key].total_wait_s)
        forecast = forecasts[key]
        if own_wait_s - forecast.total_wait_s < MIN_WAIT_SAVED_S:
            return []
        if request.should_return(now + forecast.total_wait_s):
            return []
        decisions = [
            Queued(request, forecast.wait_s),
            Forwarded(request, key, "shorter_wait"),
        ]
        forecast.wait_s += len(self._free_slots_by_pool) / forecast.starts_per_s
        return decisions

    def forward_waiting(self, queue, forecast, now):
        """Forward the requests of a WaitQueue that start sooner elsewhere."""
        decisions = []
        ahead = 1
        requests, excess = queue.ranked(now)
        # Those beyond their tenants' shares would come last there as well.
        for request in requests[: len(requests) - len(excess)]:
            wait_s = forecast.wait_s(ahead)
            new_decisions = self.forward_if_sooner(request, wait_s, now)
            if new_decisions:
                queue.remove(request.run_id)
                decisions += new_decisions
            else:
                ahead += 1
        return decisions
