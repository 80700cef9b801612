"""The tokens of one tenant in one failure domain."""

import attrs

from galenascale.rate_limit import RateBucket

# Part of its tokens that a domain lends when another one asks.
LENT_PART = 0.5


@attrs.define
class DomainShare:
    """
    Bucket of a domain's share, with the waits that were promised.

    Times are monotonic seconds.
    """

    bucket: RateBucket
    # When the last refused request was told to return.
    promised_at: float = float("-inf")
    used_at: float = float("-inf")

    @classmethod
    def start(cls, limit, now):
        """Return the share of an owner that knows of no former one."""
        return cls(RateBucket(limit.start_tokens, now))

    def take(self, limit, now):
        """Take a token; return False if there is none."""
        self.used_at = now
        wait_s = self.bucket.take(limit.domain_rate, now, limit.domain_capacity)
        return wait_s == 0.0

    def available(self, limit, now):
        """Return the tokens that the share has now."""
        self.bucket.refill(limit.domain_rate, now, limit.domain_capacity)
        return self.bucket.tokens

    def missing(self, limit, now):
        """Return the tokens that the share could take in addition."""
        return limit.domain_capacity - self.available(limit, now)

    def add(self, limit, tokens, now):
        """Add tokens that another domain gave up, as far as they fit."""
        self.bucket.tokens += min(tokens, self.missing(limit, now))

    def lend(self, limit, tokens, now):
        """Give up at most `tokens` for another domain; return how many."""
        lent = min(tokens, self.available(limit, now) * LENT_PART)
        self.bucket.tokens -= lent
        return lent

    def promise(self, limit, now):
        """
        Return the seconds after which a refused request should return.

        Each refused request gets the time of a further token, so that they do
        not all return at once.
        """
        self.bucket.refill(limit.domain_rate, now, limit.domain_capacity)
        first_at = now + max(0.0, 1.0 - self.bucket.tokens) / limit.domain_rate
        next_at = self.promised_at + 1.0 / limit.domain_rate
        self.promised_at = max(first_at, next_at)
        return self.promised_at - now

    def restrict(self, limit):
        """Keep no more tokens than an owner that starts."""
        self.bucket.tokens = min(self.bucket.tokens, limit.start_tokens)
