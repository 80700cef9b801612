"""Admission control: limits the wait of requests and tracks refused ones.

During overload an unbounded queue would make every request miss its latency
objective. The owner of a slot pool therefore immediately refuses a request
whose wait would exceed the objective, and the caller retries once the load has
probably fallen. A retried request is not refused again, at any host.
"""

import collections
import itertools

import attrs
import xxhash

# Weight of the newest run in the moving average of the time to first event.
NEWEST_RUN_WEIGHT = 0.05
# Multiple of the mean time to first event that is reserved for it, because a
# busy engine needs longer than the mean.
FIRST_EVENT_SAFETY_FACTOR = 1.5
# Minimum fraction of the objective that a request may wait for a slot.
MIN_WAIT_FRACTION = 0.1
# Range in seconds of the Retry-After of refused requests. Bursts last a few
# seconds; random values in the range spread the retries.
RETRY_AFTER_RANGE_S = (1.0, 1.6)
# Callers honour a Retry-After up to this fraction of their remaining time.
MAX_RETRY_AFTER_FRACTION = 1 / 3
# Seconds for which refused requests are remembered.
REFUSAL_TTL_S = 4.0
# Maximum number of refused requests in a message to the other hosts.
MAX_SHARED_REFUSALS = 1000


def fingerprint(request):
    """Return the 32-bit hash of a request without its id, as a signed int."""
    digest = xxhash.xxh32(request.method.encode())
    digest.update(request.target.encode("utf-8", "surrogateescape"))
    digest.update(request.body)
    value = digest.intdigest()
    # Integers in messages between hosts are signed.
    return value - (1 << 32) if value >= 1 << 31 else value


@attrs.define
class FirstEventLatency:
    """Moving average of the time to first event, by service."""

    _mean_s_by_service: dict = attrs.field(factory=dict)

    def record(self, service, elapsed_s):
        """Record the latency of a run that was not queued at the engine."""
        known_s = self._mean_s_by_service.setdefault(service, elapsed_s)
        mean_s = known_s + NEWEST_RUN_WEIGHT * (elapsed_s - known_s)
        self._mean_s_by_service[service] = mean_s

    def mean_s(self, service):
        """Return the mean in seconds; 0 if none was recorded."""
        return self._mean_s_by_service.get(service, 0.0)


class RecentRefusals:
    """Keys of recently refused requests, with their expiry times."""

    def __init__(self):
        # The newest key is the last.
        self._until_by_key = collections.OrderedDict()

    def add(self, keys, now):
        """Remember refused requests for REFUSAL_TTL_S."""
        self._drop_expired(now)
        for key in keys:
            self._until_by_key[key] = now + REFUSAL_TTL_S
            self._until_by_key.move_to_end(key)

    def contains(self, key, now):
        """Return True if a request was refused recently."""
        until = self._until_by_key.get(key)
        return until is not None and now <= until

    def recent_keys(self, now):
        """
        Drop expired entries and return the newest remaining keys.

        These are MAX_SHARED_REFUSALS at most.
        """
        self._drop_expired(now)
        skipped = max(0, len(self._until_by_key) - MAX_SHARED_REFUSALS)
        return list(itertools.islice(self._until_by_key, skipped, None))

    def _drop_expired(self, now):
        while self._until_by_key:
            key = next(iter(self._until_by_key))
            if self._until_by_key[key] >= now:
                break
            del self._until_by_key[key]


class Admission:
    """Decides how long requests may wait and which may be refused."""

    def __init__(self, rng):
        self._rng = rng
        self.first_event_latency = FirstEventLatency()
        # Requests refused by this host, for its messages to other hosts.
        self.local_refusals = RecentRefusals()
        # Requests refused by any host.
        self._known_refusals = RecentRefusals()

    def add_remote_refusals(self, keys, now):
        """Remember requests that another host refused."""
        self._known_refusals.add(keys, now)

    def start_by(self, plan, service):
        """
        Return the latest start of a run, as monotonic time in seconds.

        A run that starts later would probably miss the latency objective.
        """
        objective_s = plan.route.objective_s
        first_event_s = (
            self.first_event_latency.mean_s(service) * FIRST_EVENT_SAFETY_FACTOR
        )
        wait_s = max(objective_s * MIN_WAIT_FRACTION, objective_s - first_event_s)
        return plan.arrived_at + wait_s

    def was_refused(self, key, now):
        """Return True if a request with this key was refused recently."""
        return self._known_refusals.contains(key, now)

    def may_refuse(self, plan, now):
        """Return True if a request has not run and has time to be retried."""
        longest_s = plan.remaining_s(now) * MAX_RETRY_AFTER_FRACTION
        return not plan.runs and longest_s >= RETRY_AFTER_RANGE_S[0]

    def refuse(self, key, plan, now):
        """Remember a refusal and return its Retry-After in seconds."""
        self.local_refusals.add((key,), now)
        self._known_refusals.add((key,), now)
        longest_s = plan.remaining_s(now) * MAX_RETRY_AFTER_FRACTION
        return min(self._rng.uniform(*RETRY_AFTER_RANGE_S), longest_s)
