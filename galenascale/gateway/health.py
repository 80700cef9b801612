"""Backend servers that fail, as seen from the answers to requests."""

import math

import attrs

# Seconds after a server was found out of reach until it is checked again;
# doubles with each failed check. A crashed server is back after seconds, a
# link at any time.
INITIAL_CHECK_DELAY_S = 0.3
MAX_CHECK_DELAY_S = 1.2
# Weight of the newest outcome in the share of successes.
OUTCOME_WEIGHT = 0.15
# Seconds in which the failures of the past lose weight by a factor of e: a
# server that others are preferred to gets no request that could clear it.
FAILURE_DECAY_S = 8.0
# A server is never judged so faulty that it gets no request by which it could
# show that it has recovered.
MIN_QUALITY = 0.1


@attrs.define
class _Health:
    success_rate: float = 1.0
    # Monotonic time in seconds of the last outcome.
    updated_at: float = 0.0
    # Checks that failed since it was last reached; 0 while it is in reach.
    failed_checks: int = 0
    next_check_at: float = float("-inf")

    def decayed_success_rate(self, now):
        """Return the share of successes, older failures weighing less."""
        decay = math.exp(-max(0.0, now - self.updated_at) / FAILURE_DECAY_S)
        return 1.0 - (1.0 - self.success_rate) * decay

    def record(self, outcome, now):
        """Take an outcome in, 1 for a success and 0 for a failure."""
        rate = self.decayed_success_rate(now)
        self.success_rate = rate + OUTCOME_WEIGHT * (outcome - rate)
        self.updated_at = now


class ServerHealth:
    """What requests and checks showed of each run of a backend server."""

    def __init__(self):
        self._by_incarnation = {}

    def _get(self, incarnation):
        return self._by_incarnation.setdefault(incarnation, _Health())

    def record_success(self, incarnation, now):
        """Note a good answer."""
        health = self._get(incarnation)
        health.failed_checks = 0
        health.record(1.0, now)

    def record_failure(self, incarnation, now):
        """Note an answer that reports a failure or that broke off."""
        self._get(incarnation).record(0.0, now)

    def mark_reachable(self, incarnation):
        """Note that a connection to a server was accepted."""
        self._get(incarnation).failed_checks = 0

    def mark_unreachable(self, incarnation, now):
        """Note a server that cannot be reached; it gets no request."""
        health = self._get(incarnation)
        delay_s = min(
            INITIAL_CHECK_DELAY_S * 2**health.failed_checks, MAX_CHECK_DELAY_S
        )
        health.failed_checks += 1
        health.next_check_at = now + delay_s

    def mark_suspected(self, incarnation, now):
        """Note a server that may be out of reach; it is checked at once."""
        if not self.is_unreachable(incarnation):
            health = self._get(incarnation)
            health.failed_checks = 1
            health.next_check_at = now

    def is_unreachable(self, incarnation):
        """Return True while a server is out of reach."""
        health = self._by_incarnation.get(incarnation)
        return health is not None and health.failed_checks > 0

    def is_check_due(self, incarnation, now):
        """Return True if a server out of reach should be checked now."""
        health = self._by_incarnation.get(incarnation)
        return self.is_unreachable(incarnation) and now >= health.next_check_at

    def quality(self, incarnation, now):
        """Return the weight of a server by its successes, at most 1."""
        health = self._by_incarnation.get(incarnation)
        if health is None:
            return 1.0
        return max(MIN_QUALITY, health.decayed_success_rate(now) ** 2)

    def remove(self, incarnation):
        """Drop what is known of a run that ended."""
        self._by_incarnation.pop(incarnation, None)
