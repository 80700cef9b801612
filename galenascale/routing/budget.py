"""Retry budget of a service, which keeps retries from amplifying overload."""

import attrs

# Maximum number of retries without new requests: enough for the streams of a
# few servers that fail at the same time.
RETRY_BURST = 64.0


@attrs.define
class RetryBudget:
    """
    Token bucket that limits retries to a share of the first attempts.

    Each first attempt adds `retry_ratio` tokens; each retry takes one.
    """

    retry_ratio: float = 0.2
    tokens: float = RETRY_BURST

    def deposit(self):
        """Add the tokens of a first attempt."""
        self.tokens = min(RETRY_BURST, self.tokens + self.retry_ratio)

    def try_withdraw(self):
        """Take the token of one retry; return False if the budget is spent."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
