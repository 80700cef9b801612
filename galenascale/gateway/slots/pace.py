"""
The pace at which a pool's owner grants a server that named a limit.

A server counts the requests of all hosts together. The owner of its pool
keeps the limit as a bucket of tokens. Several hosts may believe that they own
a pool, each for some of the others. Their parts of the limit are therefore
chosen so that the sum stays within what a server in need bears.
"""

import math

import attrs

from galenascale.rate_limit import RateBucket

# Tokens that collect: a number, and those of some seconds, so that a step of
# the load finds what was left before. An item leaves one for the next request.
BURST_REQUESTS = 2.0
BURST_S = 1.25
ONLINE_TOKENS = 1.0
BATCH_TOKENS = 2.0
# Most tokens that runs which no owner granted may take in advance.
MAX_DEBT = 2.0
# Requests per second that a server gets whatever it names, as only an answer
# shows that its need is over.
MIN_REQUESTS_PER_S = 0.25
# Part of a limit for the first substitute of an owner that is heard; each
# further one has half of it.
SUBSTITUTE_PART = 0.0625
# Two owners that do not hear each other have parts by the hosts that they
# reach; the sum of these is this factor at most. The seconds whose tokens
# collect shrink by another factor of the share that is not reached.
REACH_FACTOR = 1.25
LOST_REACH_FACTOR = 3.0


@attrs.frozen
class LimitPart:
    """The part of a server's limit that an owner may grant."""

    rate_part: float = 1.0
    burst_requests: float = BURST_REQUESTS
    burst_s: float = BURST_S

    @classmethod
    def from_standing(cls, standing):
        """Return the part of an owner with a Standing."""
        if standing.responsive_ahead:
            part = SUBSTITUTE_PART / 2 ** (standing.responsive_ahead - 1)
            return cls(part, ONLINE_TOKENS, 0.0)
        reach = min(1.0, standing.reached / max(1, standing.known))
        return cls(
            min(1.0, REACH_FACTOR * reach),
            max(ONLINE_TOKENS, BURST_REQUESTS * reach),
            BURST_S * max(0.0, 1.0 - LOST_REACH_FACTOR * (1.0 - reach)),
        )


@attrs.frozen
class Pace:
    """Rate and burst at which one owner may grant a server."""

    requests_per_s: float
    burst: float

    @classmethod
    def from_limit(cls, requests_per_s, part):
        """Return the pace of an owner with a LimitPart."""
        rate = max(requests_per_s, MIN_REQUESTS_PER_S) * part.rate_part
        return cls(rate, part.burst_requests + rate * part.burst_s)

    def tokens_needed(self, *, batch):
        """
        Return the tokens with which a request or an item may start.

        An owner that grants a part of a limit may never hold BATCH_TOKENS. All
        that it can hold is enough for an item then.
        """
        return min(BATCH_TOKENS, self.burst) if batch else ONLINE_TOKENS


@attrs.define
class PaceBucket:
    """Tokens of a server; an owner that starts has none."""

    pace: Pace
    bucket: RateBucket

    @classmethod
    def start(cls, pace, now):
        """Return the bucket of an owner that learns of a limit."""
        return cls(pace, RateBucket(0.0, now))

    def refill(self, now):
        """Add the tokens since the last call."""
        self.bucket.refill(self.pace.requests_per_s, now, self.pace.burst)

    @property
    def fullness(self):
        """Return the share of its tokens that it holds, 0 to 1."""
        return max(0.0, min(1.0, self.bucket.tokens / self.pace.burst))

    @property
    def tokens(self):
        """Return the tokens at the last refill, negative after a debt."""
        # Many small refills may stay a rounding error below a whole number.
        return self.bucket.tokens + 1e-9

    def allows(self, *, batch):
        """Return True if there are tokens for a request or an item."""
        return self.tokens >= self.pace.tokens_needed(batch=batch)

    def starts(self, *, batch):
        """Return how many requests or items may start now."""
        spare = self.tokens - self.pace.tokens_needed(batch=batch)
        return max(0, math.floor(spare) + 1)

    def spend(self):
        """Take a token for a run, also if there is none."""
        self.bucket.tokens = max(-MAX_DEBT, self.bucket.tokens - 1.0)
