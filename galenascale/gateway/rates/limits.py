"""How a tenant's limit is divided among failure domains and faults."""

import attrs

# Parts of the requests by which a window may exceed its limit: for larger
# bursts in each domain, for owners that start without knowing what the former
# ones let pass, and for hosts that no owner answers.
BURST_PART = 0.25
START_PART = 0.25
UNOWNED_PART = 0.5


@attrs.frozen
class RateLimit:
    """A tenant's limit and the bounds within which the operator checks it."""

    requests_per_s: float
    burst: float
    # Seconds of the sliding window in which requests are counted.
    window_s: float
    # Share and number by which a window may exceed the limit.
    overshoot: float
    slack: float
    # Failure domains that share the limit.
    domains: int

    @classmethod
    def from_config(cls, tenant, settings):
        """Return the limit of a Tenant on a fleet with these settings."""
        bounds = settings.bounds
        return cls(
            tenant.requests_per_s,
            tenant.burst,
            bounds.quota_window_s,
            bounds.quota_overshoot,
            bounds.quota_slack,
            max(1, len(settings.failure_domains)),
        )

    @property
    def excess(self):
        """Return the requests by which a window may exceed the limit."""
        window_limit = self.requests_per_s * self.window_s + self.burst
        return window_limit * self.overshoot + self.slack

    @property
    def domain_rate(self):
        """Return the requests per second of one failure domain."""
        return self.requests_per_s / self.domains

    @property
    def domain_capacity(self):
        """Return the most tokens that one failure domain collects."""
        capacity = (self.burst + self.excess * BURST_PART) / self.domains
        # A smaller bucket would never let a request pass.
        return max(1.0, capacity)

    @property
    def start_tokens(self):
        """Return the tokens of an owner that starts."""
        return min(self.domain_capacity, self.excess * START_PART / self.domains)

    def unowned_capacity(self, hosts):
        """Return the tokens of each of the hosts that no owner answers."""
        return max(1.0, self.excess * UNOWNED_PART / max(1, hosts))
