"""
Hosts that share the rates of tenants, in simulated time.

The owners are those of the product; the network, the clock and the questions
of hosts are simulated, so that every window of every tenant can be checked.
"""

import bisect
import heapq
import itertools
import random

import attrs

from galenascale.gateway.configuration import Configuration, ConfigurationState, Tenant
from galenascale.gateway.ownership import OwnerCandidate, Ownership
from galenascale.gateway.rates.limits import RateLimit
from galenascale.gateway.rates.owner import RateOwner, rate_name
from galenascale.generated.gateway_messages import (
    LimitsInTime,
    RateMessage,
    RateMessageKind,
)
from galenascale.rate_limit import RateBucket

DOMAINS = ("a", "b", "c")
WINDOW_S = 5.0
# One way, in seconds: inside a failure domain and between two.
DELAY_S = 0.0002
FAR_DELAY_S = 0.0014


@attrs.define
class Settings:
    """The settings that rates read."""

    failure_domains: tuple
    bounds: LimitsInTime


@attrs.define
class Clock:
    """Simulated time in seconds."""

    now: float = 0.0

    def monotonic(self):
        """Return the simulated time."""
        return self.now


@attrs.define(eq=False)
class Host:
    """The members of GatewayContext that an owner uses."""

    address: str
    settings: Settings
    configuration: ConfigurationState
    ownership: Ownership
    clock: Clock
    owner: RateOwner = None


class RateFleet:
    """Owners of rates on several hosts, in simulated time."""

    def __init__(self, tenants, hosts=3, seed=1, *, shared=False, loans=True):
        # Whether all hosts form one domain, and whether domains lend tokens.
        self._shared = shared
        self._loans = loans
        self.domains = ("a",) if shared else DOMAINS
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.bounds = LimitsInTime(
            quota_window_s=WINDOW_S, quota_overshoot=0.1, quota_slack=20.0
        )
        self.configuration = ConfigurationState()
        self.tenants = {}
        self.set_tenants(tenants)
        self._events = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        # Pairs of hosts that cannot reach each other.
        self.cut = lambda _one, _other: False
        self.messages = 0
        # Times of granted requests by tenant; refused ones likewise.
        self.granted = {}
        self.refused = {}
        self.asked = {}
        self._open = {}
        self.hosts = {}
        for domain in DOMAINS:
            for number in range(hosts):
                self.start(f"{domain}{number}")
        self.meet(self.hosts)

    def set_tenants(self, tenants):
        """Install the next version of the configuration."""
        self.tenants = {tenant.name: tenant for tenant in tenants}
        self.configuration.install(
            Configuration(
                self.configuration.version + 1, (), {}, tenants_by_name=self.tenants
            )
        )

    def _candidate(self, address):
        domain = self.domains[0] if self._shared else address[0]
        return OwnerCandidate(address, domain, address)

    def start(self, address):
        """Start a host, which knows nothing of an earlier one."""
        host = Host(
            address,
            Settings(self.domains, self.bounds),
            self.configuration,
            Ownership(self._candidate(address)),
            self.clock,
        )
        host.owner = RateOwner(
            host,
            lambda to, message: self.send(address, to, message),
            lambda delay_s, *call: self.at(self.clock.now + delay_s, *call),
        )
        self.hosts[address] = host

    def meet(self, addresses):
        """Let these hosts know just each other."""
        for address in addresses:
            others = [self._candidate(other) for other in addresses if other != address]
            host = self.hosts[address]
            if host.ownership.set_hosts(others):
                host.owner.hand_over(self.clock.now)

    def at(self, time, call, *arguments):
        """Call a function at a simulated time."""
        heapq.heappush(self._events, (time, next(self._order), call, arguments))

    def send(self, sender, to, message):
        """Deliver a message after a delay, unless there is a cut."""
        if message.kind == RateMessageKind.BORROW and not self._loans:
            return
        self.messages += 1
        if self.cut(sender, to):
            return
        delay_s = DELAY_S if sender[0] == to[0] else FAR_DELAY_S
        copy = attrs.evolve(message)
        self.at(self.clock.now + delay_s, self._deliver, sender, to, copy)

    def _deliver(self, sender, to, message):
        host = self.hosts.get(to)
        if host is None:
            return
        if message.kind == RateMessageKind.ANSWER:
            tenant = self._open.pop((to, message.number), None)
            if tenant is not None:
                by_tenant = self.refused if message.wait_ms else self.granted
                by_tenant.setdefault(tenant, []).append(self.clock.now)
            return
        host.owner.receive(message, sender, self.clock.now)

    def ask(self, address, tenant):
        """Send the question of a host about a request."""
        ownership = self.hosts[address].ownership
        name, domain = rate_name(tenant), ownership.own_domain
        number = next(self._numbers)
        self._open[address, number] = tenant
        owner = ownership.owner(name, domain, self.clock.now)
        for _ in range(len(self.hosts)):
            if not self.cut(address, owner):
                break
            # It gave no answer, so the next one is asked in its place.
            ownership.suspect(owner, self.clock.now)
            owner = ownership.owner(name, domain, self.clock.now)
        message = RateMessage(
            kind=RateMessageKind.ASK,
            tenant=tenant,
            number=number,
            stand_in=ownership.is_substitute(name, domain, owner, self.clock.now),
        )
        self.send(address, owner, message)

    def load(self, tenant, per_s, seconds, start=0.0, addresses=None):
        """Schedule Poisson arrivals of a tenant at random hosts."""
        time = start + self.rng.expovariate(per_s)
        while time < start + seconds:
            hosts = addresses or sorted(self.hosts)
            self.at(time, self._arrive, tenant, hosts)
            time += self.rng.expovariate(per_s)

    def _arrive(self, tenant, addresses):
        alive = [address for address in addresses if address in self.hosts]
        if alive:
            self.asked.setdefault(tenant, []).append(self.clock.now)
            self.ask(self.rng.choice(alive), tenant)

    def run(self, until):
        """Run all events up to a time, with the ticks of all hosts."""
        next_tick = self.clock.now
        while self.clock.now < until:
            if self._events and self._events[0][0] <= next_tick:
                self.clock.now, _, call, arguments = heapq.heappop(self._events)
                call(*arguments)
                continue
            self.clock.now = next_tick
            for host in self.hosts.values():
                host.owner.tick(self.clock.now)
            next_tick += 0.25

    def limit(self, tenant):
        """Return the most requests that may run in one window."""
        limit = RateLimit.from_config(
            self.tenants[tenant], Settings(self.domains, self.bounds)
        )
        return limit.requests_per_s * WINDOW_S + limit.burst + limit.excess

    def largest_window(self, tenant):
        """Return the most requests that ran in one window."""
        times = self.granted.get(tenant, [])
        return max(
            (
                bisect.bisect_left(times, time + WINDOW_S) - index
                for index, time in enumerate(times)
            ),
            default=0,
        )

    def refused_below_limit(self, tenant):
        """Return the share of requests refused beyond those of one bucket."""
        limit = self.tenants[tenant]
        bucket = RateBucket(limit.burst, 0.0)
        due = sum(
            bucket.take(limit.requests_per_s, time, limit.burst) > 0.0
            for time in self.asked[tenant]
        )
        refused = len(self.refused.get(tenant, []))
        return (refused - due) / len(self.asked[tenant])


def steady(name, per_s):
    """Return a tenant whose limit is 1.6 times its usual rate."""
    return Tenant(name, requests_per_s=1.6 * per_s, burst=1.6 * per_s)


def add_steps(fleet, tenant, per_s, seconds, addresses=None):
    """Add load in steps: 2.4 s at 1.91 times the mean, then 3.6 s at 0.39."""
    for start in range(0, int(seconds), 6):
        fleet.load(tenant, 0.391 * per_s, 3.6, start, addresses)
        fleet.load(tenant, 1.91 * per_s, 2.4, start + 3.6, addresses)
