"""
Simulation of tenants that compete for the slots of a service.

Some tenants send many times their usual while the others go on as before.
Prints, for tenants as the pools know them and for requests without tenants,
how many requests of the ordinary and of the hot tenants start in time.
"""

import collections
import random

import attrs

from bench.slot_pools import LoadPattern, Simulation, Task
from galenascale.gateway.slots.tenant_shares import NO_TENANT

SEED = 5
# Seconds after which callers send a refused request again.
RETURN_S = (1.0, 1.6)


@attrs.define(eq=False)
class TenantTask(Task):
    """A stream of a tenant."""

    tenant: int = NO_TENANT
    returned: bool = False


@attrs.frozen
class TenantLoad:
    """Tenants and how many times their usual some of them send."""

    tenants: int = 73
    # Each tenant's usual share of the requests is by its rank to this power.
    exponent: float = 0.6
    # Multiples of the usual rate, by tenant; tenants count from 1.
    times_by_tenant: dict = attrs.field(factory=dict)
    # Whether requests name their tenants.
    named: bool = True


@attrs.define
class TenantTotals:
    """Requests of one tenant by their outcome."""

    sent: int = 0
    in_time: int = 0
    refused: int = 0
    # Seconds for which the tenant held slots.
    slot_s: float = 0.0


class TenantSimulation(Simulation):
    """A Simulation in which requests belong to tenants and may be refused."""

    def __init__(self, pattern, load, seed=SEED):
        super().__init__(pattern, seed)
        self.load = load
        self.totals_by_tenant = collections.defaultdict(TenantTotals)
        self._rng_by_tenant = {
            tenant: random.Random(seed * 1000 + tenant)
            for tenant in range(1, load.tenants + 1)
        }
        weights = [rank**-load.exponent for rank in self._rng_by_tenant]
        self._part_by_tenant = {
            tenant: weight / sum(weights)
            for tenant, weight in zip(self._rng_by_tenant, weights, strict=True)
        }

    def _arrive(self):
        for tenant in self._rng_by_tenant:
            self._schedule_next(tenant)

    def _schedule_next(self, tenant):
        times = self.load.times_by_tenant.get(tenant, 1.0)
        per_s = self._rate() * self._part_by_tenant[tenant] * times
        wait_s = self._rng_by_tenant[tenant].expovariate(per_s)
        self.schedule(wait_s, self._arrive_of, tenant)

    def _arrive_of(self, tenant):
        if self.now > self.pattern.length_s:
            return
        self._schedule_next(tenant)
        rng = self._rng_by_tenant[tenant]
        run_s = self.pattern.run_s * rng.uniform(0.6, 1.4)
        host = rng.randrange(self.pattern.hosts)
        self.totals_by_tenant[tenant].sent += 1
        self._add_task(
            TenantTask(
                next(self.event_numbers), host, False, self.now, run_s, tenant=tenant
            )
        )

    def _make_request(self, task):
        request = super()._make_request(task)
        request.refusable = not task.returned
        request.returned = task.returned
        if self.load.named:
            request.tenant = task.tenant
        return request

    def _on_refused(self, request_number):
        number, attempt = divmod(request_number, 1000)
        task = self.tasks.get(number)
        if task is None or task.attempt != attempt or task.started_at is not None:
            return
        del self.tasks[number]
        # Keeps a timer of the host from placing it.
        task.attempt += 1
        self.totals_by_tenant[task.tenant].refused += 1
        self.schedule(self.rng.uniform(*RETURN_S), self._return, task)

    def _return(self, task):
        self._add_task(
            TenantTask(
                next(self.event_numbers),
                self._random_host(),
                False,
                self.now,
                task.remaining_s,
                tenant=task.tenant,
                returned=True,
            )
        )

    def _start(self, task):
        super()._start(task)
        totals = self.totals_by_tenant[task.tenant]
        totals.slot_s += task.remaining_s
        if self.now - task.submitted_at <= self.pattern.max_wait_s:
            totals.in_time += not task.returned


def run_tenants(pattern, load, seed=SEED):
    """Return the TenantTotals by tenant after one simulation."""
    simulation = TenantSimulation(pattern, load, seed)
    simulation.run()
    return dict(simulation.totals_by_tenant)


def in_time_shares(totals_by_tenant, tenants):
    """Return the share of each tenant's requests that start in time."""
    return {
        tenant: totals_by_tenant[tenant].in_time / max(1, totals_by_tenant[tenant].sent)
        for tenant in tenants
    }


# Hosts, failure domains, servers, slots of a server, streams a second, run and
# longest wait in seconds.
NINE_HOSTS = LoadPattern("9 hosts", 9, 3, 9, 8, 60, 60, 1.0, 5.0, 0.7, 0.2)
SIXTY_ONE_HOSTS = LoadPattern("61 hosts", 61, 3, 45, 8, 300, 300, 1.0, 5.0, 0.7, 0.2)
THREE_HUNDRED_HOSTS = attrs.evolve(
    SIXTY_ONE_HOSTS,
    name="300 hosts",
    hosts=300,
    domains=5,
    servers=60,
    base_per_s=400,
    burst_per_s=400,
)
FLEETS = (NINE_HOSTS, SIXTY_ONE_HOSTS, THREE_HUNDRED_HOSTS)
# One tenant sends 5 times its usual and three send 7 times.
HOT_TENANTS = {2: 5.0, 4: 7.0, 5: 7.0, 6: 7.0}


def main():
    """Simulate all fleets and print the shares in time."""
    for fleet in FLEETS:
        for named in (False, True):
            load = TenantLoad(times_by_tenant=HOT_TENANTS, named=named)
            totals = run_tenants(fleet, load)
            others = [tenant for tenant in totals if tenant not in HOT_TENANTS]
            lines = []
            for tenants in (others, HOT_TENANTS):
                sent = sum(totals[tenant].sent for tenant in tenants)
                in_time = sum(totals[tenant].in_time for tenant in tenants)
                lines.append(f"{in_time / sent:.3f}")
            worst = min(in_time_shares(totals, others).values())
            slot_s = sum(tenant.slot_s for tenant in totals.values())
            print(
                f"{fleet.name:10} tenants {'named' if named else 'unknown':8}"
                f" others {lines[0]} worst {worst:.3f} hot {lines[1]}"
                f" slots used {slot_s / fleet.length_s:.1f}"
            )


if __name__ == "__main__":
    main()
