"""Limits on what a tenant may send."""

import math

import attrs


@attrs.define
class RateBucket:
    """Bucket of one second's requests, but of at least one."""

    tokens: float = 0.0
    at: float = -math.inf

    def take(self, rate, now):
        """Take one token; return the seconds until there is one, or 0.0."""
        elapsed = max(0.0, now - self.at)
        self.tokens = min(max(1.0, rate), self.tokens + elapsed * rate)
        self.at = now
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
