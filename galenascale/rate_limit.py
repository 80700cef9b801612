"""Limits on what a tenant may send."""

import math

import attrs


@attrs.define
class RateBucket:
    """Bucket of tokens; by default it holds those of one second."""

    tokens: float = 0.0
    at: float = -math.inf

    def refill(self, rate, now, capacity=None):
        """Add the tokens since the last call, at `rate` per second."""
        if capacity is None:
            capacity = max(1.0, rate)
        elapsed = max(0.0, now - self.at)
        self.tokens = min(capacity, self.tokens + elapsed * rate)
        self.at = max(self.at, now)

    def take(self, rate, now, capacity=None):
        """Take one token; return the seconds until there is one, or 0.0."""
        self.refill(rate, now, capacity)
        # A bucket refilled in small steps may stay a rounding error below 1.
        if self.tokens < 1.0 - 1e-9:
            return (1.0 - self.tokens) / rate
        self.tokens -= 1.0
        return 0.0


@attrs.define(eq=False)
class TenantLimits:
    """Limits of one tenant; 0 means no limit."""

    share: float = 1.0
    max_concurrency: int = 0
    requests_per_s: float = 0.0

    @classmethod
    def from_declaration(cls, declaration):
        """Return the limits that a TenantDeclaration sets."""
        return cls(
            max(declaration.share, 0.001),
            declaration.max_concurrency,
            declaration.requests_per_s,
        )


DEFAULT_LIMITS = TenantLimits()
