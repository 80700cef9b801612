"""Cost of computing the free batch slots of a whole configuration."""

import random
import types

from bench.timing import mean_us
from galenascale.batch.capacity import OWNED_REFRESH_S, BatchCapacity
from galenascale.configuration import Configuration
from galenascale.generated import messages
from galenascale.membership import Membership
from galenascale.routing import Router

DOMAINS = 25
SERVICES = 16
HOSTS_PER_DOMAIN = 38


class Clock:
    """A clock that the measurement sets."""

    now = 1000.0

    def monotonic(self):
        """Return the time in seconds."""
        return self.now


def make_membership():
    """Return the Membership of a host that knows all hosts of its domain."""
    infos = [
        messages.HostInfo(
            f"host-{n:02}", f"i{n}", "domain-00", heartbeat=1, generation=1
        )
        for n in range(HOSTS_PER_DOMAIN)
    ]
    membership = Membership(infos[0], 2.0)
    for info in infos[1:]:
        membership.see_host(1000.0, info)
    return membership


def slot_pass(servers_per_domain):
    """Measure a pass over all services; each end of an item causes one."""
    servers = {}
    for number in range(servers_per_domain * DOMAINS):
        name = f"runner-{number:05}"
        servers[name] = messages.BackendServerDeclaration(
            name=name,
            service_name=f"service-{number % SERVICES}",
            failure_domain=f"domain-{number % DOMAINS:02}",
        )
    services = {
        f"service-{n}": messages.ServiceDeclaration(name=f"service-{n}")
        for n in range(SERVICES)
    }
    routers = {name: Router("domain-00", random.Random(1)) for name in services}
    for name, router in routers.items():
        declared = [s for s in servers.values() if s.service_name == name]
        router.set_servers(declared, 1000.0)
    membership = make_membership()
    clock = Clock()
    capacity = BatchCapacity(
        "host-00",
        types.SimpleNamespace(
            current=Configuration(servers_by_id=servers, services_by_name=services)
        ),
        types.SimpleNamespace(
            dispatcher=lambda name: types.SimpleNamespace(router=routers[name])
        ),
        types.SimpleNamespace(
            membership=membership,
            slot_owner=lambda server: membership.slot_owner(
                clock.monotonic(), server.name, server.failure_domain
            ),
        ),
        clock,
    )
    capacity.worker = types.SimpleNamespace(running=lambda server_id: 0)

    def one_pass():
        for name in capacity.services():
            capacity.free_slots(name)

    def later_pass():
        clock.now += OWNED_REFRESH_S
        one_pass()

    first_us = mean_us(one_pass, 1)
    return {
        "servers": len(servers),
        "first_pass_us": first_us,
        "pass_us": mean_us(one_pass, 5),
        # So few repeats that the peers of this host don't count as dead.
        "refreshing_pass_us": mean_us(later_pass, 3),
        "all_loads_us": mean_us(
            lambda: [load for router in routers.values() for load in router.digest()], 5
        ),
        "hosts_known": len(membership.live_hosts(clock.now, "domain-00")),
    }
