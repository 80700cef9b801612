"""Token bucket for limits on request rates."""

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
