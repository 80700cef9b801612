"""Shares of the slots of a service that tenants are entitled to."""

import heapq
import math

from galenascale.gateway.authentication import ANONYMOUS
from galenascale.gateway.load import hash_key

# Key of the requests of hosts that name no tenant; they have no share.
NO_TENANT = 0
# Tenants that a pool reports to the other pools of its service; the report
# stays within one datagram however many tenants there are.
MAX_REPORTED_TENANTS = 8
# Smallest and largest weight of a tenant.
WEIGHT_RANGE = (0.01, 100.0)
DEFAULT_WEIGHT = 1.0


def tenant_key(name):
    """Return the key of a tenant; NO_TENANT for None, if there are none."""
    if name is None:
        return NO_TENANT
    # The tenant whose name has the hash 0 would be exempt.
    return hash_key(name) or 1


def tenant_name(configuration, key):
    """Return the name of the tenant with a key, or None."""
    if key == NO_TENANT or configuration.tenants is None:
        return None
    names = (ANONYMOUS, *configuration.current.tenants_by_name)
    return next((name for name in names if tenant_key(name) == key), None)


def weights_by_key(weights_by_name):
    """Return the weights of tenants by key, limited to WEIGHT_RANGE."""
    lowest, highest = WEIGHT_RANGE
    return {
        tenant_key(name): min(max(weight, lowest), highest)
        for name, weight in weights_by_name.items()
    }


def fair_level(wanted_by_tenant, weight_of, slots):
    """
    Return the slots for each unit of weight in a max-min fair division.

    A tenant that wants less than its weight times this level gets what it
    wants; what it leaves is in the level of the others. Infinite if there are
    enough slots for all.
    """
    remaining = slots
    weight_left = sum(weight_of(tenant) for tenant in wanted_by_tenant)
    by_need = sorted(
        (wanted / weight_of(tenant), weight_of(tenant), wanted)
        for tenant, wanted in wanted_by_tenant.items()
    )
    for need, weight, wanted in by_need:
        if need * weight_left > remaining:
            return max(0.0, remaining) / weight_left
        remaining -= wanted
        weight_left -= weight
    return math.inf


class TenantShares:
    """Tells which waiting requests exceed the shares of their tenants."""

    def __init__(self):
        self._weights_by_key = {}

    def set_weights(self, weights):
        """Set the weights of tenants by key; others have DEFAULT_WEIGHT."""
        self._weights_by_key = weights

    def weight_of(self, tenant):
        """Return the weight of a tenant."""
        return self._weights_by_key.get(tenant, DEFAULT_WEIGHT)

    def excess_by_run(self, waiting, held_by_tenant, slots):
        """
        Return how far waiting requests exceed their tenants' shares.

        `waiting` are SlotRequests in the order in which each tenant's own are
        served, `held_by_tenant` the slots that tenants hold now, and `slots`
        the number of all slots that these share. The result has the slots
        per weight that the tenant would hold before the request, by run id;
        requests within the share are left out.
        """
        wanted = dict(held_by_tenant)
        for request in waiting:
            wanted[request.tenant] = wanted.get(request.tenant, 0) + 1
        wanted.pop(NO_TENANT, None)
        level = fair_level(wanted, self.weight_of, slots)
        if level == math.inf:
            return {}
        excess = {}
        before = dict(held_by_tenant)
        for request in waiting:
            tenant = request.tenant
            if tenant == NO_TENANT:
                continue
            held = before.get(tenant, 0)
            before[tenant] = held + 1
            used = held / self.weight_of(tenant)
            # A tenant without a slot is within, however small its share is.
            if held and used >= level:
                excess[request.run_id] = used
        return excess


def largest_users(held_by_tenant):
    """Return the MAX_REPORTED_TENANTS tenants that hold most slots."""
    named = (item for item in held_by_tenant.items() if item[0] != NO_TENANT)
    largest = heapq.nlargest(
        MAX_REPORTED_TENANTS, named, key=lambda item: (item[1], item[0])
    )
    return dict(largest)
