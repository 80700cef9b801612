"""Health of backend servers, from the results of requests and checks."""

import math

import attrs

# Seconds until an unreachable server is checked again; doubles with each
# failed check up to the maximum. A crashed server is back after seconds, and a
# network link may recover at any time.
INITIAL_CHECK_DELAY_S = 0.3
MAX_CHECK_DELAY_S = 1.2
# Seconds until a server whose address another one has is checked. The check
# cannot tell the two apart, and the outdated entry is gone by then.
GONE_DELAY_S = 10.0
# Weight of the newest outcome in the moving average of the success rate.
OUTCOME_WEIGHT = 0.15
# Time constant in seconds of the exponential decay of past failures. Without
# it a server could stay avoided forever, as it gets no request that could show
# its recovery.
FAILURE_DECAY_S = 8.0
# Minimum quality, so that even a failing server gets some requests that can
# show its recovery.
MIN_QUALITY = 0.1


@attrs.define
class _Health:
    success_rate: float = 1.0
    # Monotonic time in seconds of the last outcome.
    updated_at: float = 0.0

    def decayed_success_rate(self, now):
        """Return the success rate with past failures decayed until `now`."""
        decay = math.exp(-max(0.0, now - self.updated_at) / FAILURE_DECAY_S)
        return 1.0 - (1.0 - self.success_rate) * decay

    def record(self, outcome, now):
        """Add an outcome to the average: 1 for a success, 0 for a failure."""
        rate = self.decayed_success_rate(now)
        self.success_rate = rate + OUTCOME_WEIGHT * (outcome - rate)
        self.updated_at = now


@attrs.frozen
class _FailedChecks:
    """Checks of a server that is excluded as unreachable."""

    # Since the server was last reachable.
    count: int
    # Monotonic time in seconds.
    next_check_at: float


class ServerHealth:
    """Health of each incarnation (process run) of the backend servers."""

    def __init__(self):
        self._by_incarnation = {}
        # Of the unreachable ones only.
        self._failed_checks_by_incarnation = {}

    def _get(self, incarnation):
        return self._by_incarnation.setdefault(incarnation, _Health())

    def record_success(self, incarnation, now):
        """Record a successful response; the server is reachable."""
        self.mark_reachable(incarnation)
        self._get(incarnation).record(1.0, now)

    def record_failure(self, incarnation, now):
        """Record a response that reports a failure or is incomplete."""
        self._get(incarnation).record(0.0, now)

    def mark_reachable(self, incarnation):
        """Mark a server that accepted a connection."""
        self._failed_checks_by_incarnation.pop(incarnation, None)

    def _failed_checks(self, incarnation):
        failed = self._failed_checks_by_incarnation.get(incarnation)
        return 0 if failed is None else failed.count

    def _exclude(self, incarnation, failed_checks, next_check_at):
        failed = _FailedChecks(failed_checks, next_check_at)
        self._failed_checks_by_incarnation[incarnation] = failed

    def mark_unreachable(self, incarnation, now):
        """Exclude an unreachable server and schedule its next check."""
        failed_checks = self._failed_checks(incarnation)
        delay_s = min(INITIAL_CHECK_DELAY_S * 2**failed_checks, MAX_CHECK_DELAY_S)
        self._exclude(incarnation, failed_checks + 1, now + delay_s)

    def mark_suspected(self, incarnation, now):
        """Exclude a possibly unreachable server; its check is due at once."""
        if not self.is_unreachable(incarnation):
            self._exclude(incarnation, 1, now)

    def mark_gone(self, incarnation, now):
        """Exclude a server at whose address another one answers."""
        failed_checks = max(1, self._failed_checks(incarnation))
        self._exclude(incarnation, failed_checks, now + GONE_DELAY_S)

    def is_unreachable(self, incarnation):
        """Return True while a server is excluded as unreachable."""
        return incarnation in self._failed_checks_by_incarnation

    def due_checks(self, now):
        """Return the unreachable incarnations that should be checked now."""
        return [
            incarnation
            for incarnation, failed in self._failed_checks_by_incarnation.items()
            if now >= failed.next_check_at
        ]

    def quality(self, incarnation, now):
        """Return a weight from MIN_QUALITY to 1, from the success rate."""
        health = self._by_incarnation.get(incarnation)
        if health is None:
            return 1.0
        return max(MIN_QUALITY, health.decayed_success_rate(now) ** 2)

    def remove(self, incarnation):
        """Remove an incarnation that ended."""
        self._by_incarnation.pop(incarnation, None)
        self._failed_checks_by_incarnation.pop(incarnation, None)
