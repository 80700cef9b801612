"""
Ways to keep the rates of tenants over all hosts, compared in simulated time.

    python -m bench.tenant_rates

A few large tenants and many small ones send in steps, at 0.6 of their limits
in the mean; their callers are spread over the failure domains, or are all in
one. One large tenant sends eight times its usual for a while. In the second
case one domain is cut off meanwhile. Prints, for each way: the share of
requests refused that one bucket for all hosts would have let pass, the fullest
window of any tenant as a share of what the operator allows, and messages a
request.
"""

import random

import attrs

from bench.rate_fleet import DOMAINS, WINDOW_S, RateFleet, add_steps, steady
from galenascale.rate_limit import RateBucket

LARGE_TENANTS = 3
LARGE_PER_S = 30.0
SMALL_PER_S = 1.3
SECONDS = 30
HOT_FACTOR = 8
HOT_S = (8.0, 16.0)
CUT_S = (10.0, 16.0)
# Seconds between two reports of demand, and their delay.
REPORT_INTERVAL_S = 0.6
REPORT_DELAY_S = 0.6


class DemandShares(RateFleet):
    """Each domain has the share of a rate that its demand was lately."""

    def __init__(self, tenants, hosts=3, seed=1):
        super().__init__(tenants, hosts, seed)
        self._buckets = {}
        self._counts = {}
        self._shares = {}
        self.at(REPORT_INTERVAL_S, self._report)

    def _report(self):
        """Tell each domain its new shares, unless it is cut off."""
        for tenant, counts in self._counts.items():
            total = sum(counts.values())
            for domain in DOMAINS:
                if not self.cut(f"{domain}0", "a0"):
                    # A part for each domain, so that new callers can begin.
                    share = (counts.get(domain, 0) + 1) / (total + len(DOMAINS))
                    self.at(
                        self.clock.now + REPORT_DELAY_S,
                        self._shares.__setitem__,
                        (tenant, domain),
                        share,
                    )
        self.messages += len(self.hosts)
        self._counts = {}
        self.at(self.clock.now + REPORT_INTERVAL_S, self._report)

    def ask(self, address, tenant):
        """Decide about a request by its domain's share."""
        domain = address[0]
        counts = self._counts.setdefault(tenant, {})
        counts[domain] = counts.get(domain, 0) + 1
        limit = self.tenants[tenant]
        share = self._shares.get((tenant, domain), 1 / len(DOMAINS))
        bucket = self._buckets.setdefault((tenant, domain), RateBucket())
        capacity = max(1.0, limit.burst * share)
        refused = bucket.take(limit.requests_per_s * share, self.clock.now, capacity)
        by_tenant = self.refused if refused else self.granted
        by_tenant.setdefault(tenant, []).append(self.clock.now)


def one_owner(tenants, hosts):
    """Return a fleet in which one host decides for all domains."""
    return RateFleet(tenants, hosts, shared=True)


def equal_shares(tenants, hosts):
    """Return a fleet whose domains keep equal shares to themselves."""
    return RateFleet(tenants, hosts, loans=False)


WAYS = {
    "one owner for all domains": one_owner,
    "shares by demand, told each 0.6 s": DemandShares,
    "equal shares of the domains": equal_shares,
    "equal shares that are lent": RateFleet,
}


@attrs.frozen
class Outcome:
    """What one way did in one case."""

    refused_below_limit: float
    fullest_window: float
    messages_per_request: float


def measure(make_fleet, hosts_per_domain, *, cut, tenants=84, seed=7):
    """Return the Outcome of a way with a number of hosts."""
    rng = random.Random(seed)
    rates = [LARGE_PER_S] * LARGE_TENANTS + [SMALL_PER_S] * (tenants - LARGE_TENANTS)
    fleet = make_fleet(
        [steady(f"t{number}", per_s) for number, per_s in enumerate(rates)],
        hosts_per_domain,
    )
    for number, per_s in enumerate(rates):
        addresses = None
        if number >= LARGE_TENANTS and rng.random() < 0.5:
            domain = rng.choice(DOMAINS)
            addresses = [name for name in sorted(fleet.hosts) if name[0] == domain]
        add_steps(fleet, f"t{number}", per_s, SECONDS, addresses)
    fleet.load("t0", HOT_FACTOR * LARGE_PER_S, HOT_S[1] - HOT_S[0], HOT_S[0])
    if cut:
        fleet.run(CUT_S[0])
        fleet.cut = lambda one, other: (one[0] == "c") != (other[0] == "c")
        fleet.run(CUT_S[1])
        fleet.cut = lambda _one, _other: False
    fleet.run(SECONDS + 1)
    calm = [f"t{number}" for number in range(1, tenants)]
    asked = {name: len(fleet.asked[name]) for name in calm}
    refused = sum(
        max(0, fleet.refused_below_limit(name) * asked[name]) for name in calm
    )
    return Outcome(
        refused / sum(asked.values()),
        max(fleet.largest_window(name) / fleet.limit(name) for name in ("t0", *calm)),
        fleet.messages / sum(map(len, fleet.asked.values())),
    )


def main():
    """Print one line for each way, size and case."""
    print(f"window of {WINDOW_S:g} s; hosts, case: refused, fullest, messages")
    for hosts in (28, 100):
        for cut in (False, True):
            for name, make_fleet in WAYS.items():
                outcome = measure(make_fleet, hosts, cut=cut)
                print(
                    f"{3 * hosts:4} {'cut' if cut else 'whole':6} {name:34} "
                    f"{outcome.refused_below_limit:7.2%} "
                    f"{outcome.fullest_window:6.2f} "
                    f"{outcome.messages_per_request:6.2f}"
                )


if __name__ == "__main__":
    main()
