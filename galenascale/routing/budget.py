"""Retry budget of a service, so that retries cannot multiply an overload."""

import attrs

# Retries that may follow one another without new requests: the streams of a
# few servers that fail at once.
RETRY_BURST = 64.0


@attrs.define
class RetryBudget:
    """Token bucket that each request fills by `share` of a retry."""

    share: float = 0.2
    tokens: float = RETRY_BURST

    def request(self):
        """Note a first attempt."""
        self.tokens = min(RETRY_BURST, self.tokens + self.share)

    def withdraw(self):
        """Take one retry out of the budget; return False when it is spent."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
