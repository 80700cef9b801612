"""Retry budget of a service, so that retries cannot multiply an overload."""

import attrs

# Retries that may follow one another without new requests: the streams of a
# few servers that fail at once.
RETRY_BURST = 64.0


@attrs.define
class RetryBudget:
    """Token bucket that each request fills by `retry_ratio` of a retry."""

    retry_ratio: float = 0.2
    tokens: float = RETRY_BURST

    def deposit(self):
        """Note a first attempt."""
        self.tokens = min(RETRY_BURST, self.tokens + self.retry_ratio)

    def try_withdraw(self):
        """Take one retry out of the budget; return False when it is spent."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
