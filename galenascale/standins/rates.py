"""Rate limiters of the platform stand-in; callers pass the time in."""


class TokenBucket:
    """
    Token bucket of `rate` tokens per second.

    Its capacity is one second's worth of tokens, but at least one.
    """

    def __init__(self, rate, now):
        self._rate = float(rate)
        self._tokens = float(rate)
        self._refilled_at = now

    def try_acquire(self, now):
        """Take one token at time `now`; return False if none is left."""
        gained = (now - self._refilled_at) * self._rate
        self._tokens = min(max(1.0, self._rate), self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class SharedBandwidth:
    """Link whose transfers run one after another at a fixed rate."""

    def __init__(self, bytes_per_s):
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    def reserve(self, now, size):
        """Return the seconds until a transfer of `size` bytes is complete."""
        self._free_at = max(self._free_at, now) + size / self._bytes_per_s
        return self._free_at - now
