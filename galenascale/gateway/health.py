"""Backend servers that fail, as seen from the answers to requests."""

import attrs

# Pause in seconds after the first failure to reach a server; doubles with each
# further one, as a server that crashed is back after some seconds.
FIRST_PAUSE_S = 0.4
MAX_PAUSE_S = 3.0
# Weight of the newest outcome in the share of successes.
OUTCOME_WEIGHT = 0.15
# Weight of the newest time in the mean.
TIME_WEIGHT = 0.2
# A server is never judged so slow or so faulty that it gets no request by
# which it could show that it has recovered.
MIN_QUALITY = 0.1


@attrs.define
class _Health:
    unreachable_count: int = 0
    paused_until: float = float("-inf")
    success_share: float = 1.0
    # Mean seconds to the first event (streams) or the answer; None if unknown.
    mean_s: float | None = None


class ServerHealth:
    """What requests showed of each run of a backend server."""

    def __init__(self):
        self._by_incarnation = {}

    def _get(self, incarnation):
        return self._by_incarnation.setdefault(incarnation, _Health())

    def answered(self, incarnation, elapsed_s):
        """Note a good answer and the seconds to its first part."""
        health = self._get(incarnation)
        health.unreachable_count = 0
        health.paused_until = float("-inf")
        health.success_share += OUTCOME_WEIGHT * (1.0 - health.success_share)
        if health.mean_s is None:
            health.mean_s = elapsed_s
        health.mean_s += TIME_WEIGHT * (elapsed_s - health.mean_s)

    def failed(self, incarnation):
        """Note an answer that reports a failure or that broke off."""
        health = self._get(incarnation)
        health.success_share -= OUTCOME_WEIGHT * health.success_share

    def unreachable(self, incarnation, now):
        """Note a server that cannot be reached, and pause it for a while."""
        health = self._get(incarnation)
        health.unreachable_count += 1
        pause_s = FIRST_PAUSE_S * 2 ** (health.unreachable_count - 1)
        health.paused_until = now + min(pause_s, MAX_PAUSE_S)
        self.failed(incarnation)

    def is_paused(self, incarnation, now):
        """Return True while a server should get no request."""
        health = self._by_incarnation.get(incarnation)
        return health is not None and now < health.paused_until

    def quality(self, incarnation):
        """Return the weight of a server by its successes, at most 1."""
        health = self._by_incarnation.get(incarnation)
        if health is None:
            return 1.0
        return max(MIN_QUALITY, health.success_share**2)

    def forget(self, incarnation):
        """Drop what is known of a run that ended."""
        self._by_incarnation.pop(incarnation, None)
