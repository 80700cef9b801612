"""Which requests are refused, so that others are on time.

While more requests arrive than a service can serve, a queue makes all of them
late. The owner of the slots refuses a request at once that would wait until
its objective has passed; it comes back when the load has probably fallen. One
that comes back, at this or another host, is not refused again.
"""

import attrs
import xxhash

# Weight of the newest run in the mean time to the first event.
NEWEST_RUN_WEIGHT = 0.05
# Means to the first event that are set aside for it: that of a busy engine is
# longer.
FIRST_EVENT_SAFETY_FACTOR = 1.5
# Share of the objective that is left for a wait at least.
MIN_WAIT_FRACTION = 0.1
# Seconds after which a refused request should come back: bursts last some
# seconds, and those who come back are spread over this span.
RETRY_AFTER_RANGE_S = (1.0, 1.6)
# Callers honour a Retry-After up to this share of their remaining time.
MAX_RETRY_AFTER_FRACTION = 1 / 3
# Seconds for which a refusal is remembered.
REFUSAL_TTL_S = 4.0


def fingerprint(request):
    """Return the 32-bit key of a request's content, whatever its id."""
    digest = xxhash.xxh32(request.method.encode())
    digest.update(request.target.encode("utf-8", "surrogateescape"))
    digest.update(request.body)
    value = digest.intdigest()
    # Messages between hosts hold signed integers.
    return value - (1 << 32) if value >= 1 << 31 else value


@attrs.define
class FirstEventLatency:
    """Mean time from a send to the first event by service, in seconds."""

    _mean_s_by_service: dict = attrs.field(factory=dict)

    def record(self, service, elapsed_s):
        """Note the first event of a run that did not wait at the engine."""
        known_s = self._mean_s_by_service.setdefault(service, elapsed_s)
        mean_s = known_s + NEWEST_RUN_WEIGHT * (elapsed_s - known_s)
        self._mean_s_by_service[service] = mean_s

    def mean_s(self, service):
        """Return the mean time to the first event; 0 before one was seen."""
        return self._mean_s_by_service.get(service, 0.0)


class RecentRefusals:
    """Requests that were refused lately, here or at other hosts."""

    def __init__(self):
        self._until_by_key = {}

    def add(self, keys, now):
        """Remember refused requests."""
        for key in keys:
            self._until_by_key[key] = now + REFUSAL_TTL_S

    def contains(self, key, now):
        """Return True for a request that was refused lately."""
        until = self._until_by_key.get(key)
        return until is not None and now <= until

    def recent_keys(self, now):
        """Return the keys of the requests that may come back."""
        for key, until in list(self._until_by_key.items()):
            if until < now:
                del self._until_by_key[key]
        return list(self._until_by_key)


class Admission:
    """Says how long requests may wait, and what becomes of refused ones."""

    def __init__(self, rng):
        self._rng = rng
        self.first_event_latency = FirstEventLatency()
        # Refused here, to be told to the others, and known of all.
        self.local_refusals = RecentRefusals()
        self._known_refusals = RecentRefusals()

    def add_remote_refusals(self, keys, now):
        """Remember what another host refused."""
        self._known_refusals.add(keys, now)

    def start_by(self, plan, service):
        """Return the time until which a run must start to be in time."""
        objective_s = plan.route.objective_s
        first_event_s = (
            self.first_event_latency.mean_s(service) * FIRST_EVENT_SAFETY_FACTOR
        )
        wait_s = max(objective_s * MIN_WAIT_FRACTION, objective_s - first_event_s)
        return plan.arrived_at + wait_s

    def was_refused(self, key, now):
        """Return True if a request was refused before and is back."""
        return self._known_refusals.contains(key, now)

    def may_refuse(self, plan, now):
        """Return True if a request has not run and has time to come back."""
        longest_s = plan.remaining_s(now) * MAX_RETRY_AFTER_FRACTION
        return not plan.runs and longest_s >= RETRY_AFTER_RANGE_S[0]

    def refuse(self, key, plan, now):
        """Remember a refusal; return in how many seconds to come back."""
        self.local_refusals.add((key,), now)
        self._known_refusals.add((key,), now)
        longest_s = plan.remaining_s(now) * MAX_RETRY_AFTER_FRACTION
        return min(self._rng.uniform(*RETRY_AFTER_RANGE_S), longest_s)
