"""Tenants of the soak test, their keys, and checks of what they may do."""

import asyncio
import itertools
import math

import attrs

from galenascale.gateway.configuration import Tenant
from galenascale.gateway.rates.limits import RateLimit
from test.gateway.fleet import make_tenant

# Bounds in the hosts' settings.
REVOKE_MS = 3000
WINDOW_S = 2.0
OVERSHOOT = 0.1
SLACK = 4.0
# Tenant of the checks after the load; it keeps its key and has no limit.
CHECKS = "checks"
# Requests per second and burst of the tenant that sends more than it may.
LIMITED = "limited"
LIMITED_RATE = 4.0
LIMITED_BURST = 4.0
TENANT_NAMES = ("one", "two", LIMITED, CHECKS)


@attrs.frozen
class RemovedKey:
    """A key that was taken away, with the loop time of the acknowledgement."""

    key: str
    removed_at: float


class SoakTenants:
    """The tenants with their present keys, and the keys taken away."""

    def __init__(self):
        self._numbers = itertools.count(1)
        self.key_by_tenant = {name: self._new_key(name) for name in TENANT_NAMES}
        self.tenant_by_key = {key: name for name, key in self.key_by_tenant.items()}
        self.removed = []

    def _new_key(self, name):
        return f"key-{name}-{next(self._numbers)}"

    def declarations(self):
        """Return the tenants in the operator's configuration format."""
        limit = {"RatePerS": LIMITED_RATE, "Burst": LIMITED_BURST}
        return [
            make_tenant(name, key, **(limit if name == LIMITED else {}))
            for name, key in self.key_by_tenant.items()
        ]

    def replace_key(self, name, write_config):
        """Take a tenant's key away and give it another one."""
        removed = self.key_by_tenant[name]
        key = self.key_by_tenant[name] = self._new_key(name)
        self.tenant_by_key[key] = name
        write_config()
        now = asyncio.get_running_loop().time()
        self.removed.append(RemovedKey(removed, now))


def check_tenants(fleet, requests):
    """Yield one line for each violation of the rules for tenants."""
    sent_by_id = {sent.request_id: sent for sent in requests}
    removed_at_by_key = {item.key: item.removed_at for item in fleet.keys.removed}
    arrived_at_by_id = {}
    for runner in fleet.runners:
        for request in runner.requests:
            sent = sent_by_id.get(request.request_id)
            if request.header("Authorization") is not None:
                yield f"{request.request_id}: a server was shown a key"
            if sent is None:
                continue
            tenant = fleet.keys.tenant_by_key[sent.key]
            shown = request.header("X-Galenascale-Tenant")
            if shown != tenant:
                yield f"{request.request_id} of {tenant} ran as {shown}"
            removed_at = removed_at_by_key.get(sent.key)
            if removed_at is not None and (
                sent.sent_at > removed_at + REVOKE_MS / 1000
            ):
                yield f"{request.request_id} ran with a key taken away"
            if tenant == LIMITED:
                arrived_at = arrived_at_by_id.get(sent.request_id, math.inf)
                arrived_at_by_id[sent.request_id] = min(arrived_at, request.received_at)
    yield from check_rate(
        (sent_by_id[request_id].sent_at, arrived_at)
        for request_id, arrived_at in arrived_at_by_id.items()
    )


def check_rate(requests):
    """
    Yield a line if too many requests are sent and reach servers in a window.

    `requests` holds for each request when its caller sent it and when it first
    reached a server. One that a slow link delays counts in no window that
    begins after it was sent, and one that runs again counts once.
    """
    tenant = Tenant(LIMITED, requests_per_s=LIMITED_RATE, burst=LIMITED_BURST)
    limit = RateLimit(
        tenant.requests_per_s, tenant.burst, WINDOW_S, OVERSHOOT, SLACK, domains=1
    )
    most = LIMITED_RATE * WINDOW_S + LIMITED_BURST + limit.excess
    requests = sorted(requests)
    for index, (start, _) in enumerate(requests):
        end = start + WINDOW_S
        count = sum(arrived_at < end for _, arrived_at in requests[index:])
        if count > most:
            yield f"{count} requests of a tenant ran in {WINDOW_S} s, limit {most:.1f}"
            return
