"""Refusal of requests that would come too late, so that others are on time.

While more requests arrive than a service can serve, a queue makes all of them
late. A request whose wait is forecast to use up its objective is refused at
once, with the time at which the load has probably fallen. One that comes back
after a refusal, at this or another host, is not refused again.
"""

import attrs
import xxhash

# Share of the objective that a request may wait in the queue of a server.
MAX_WAIT_SHARE = 0.8
# Weight of the newest run in the mean, and runs before which nothing is
# forecast.
RUN_WEIGHT = 0.05
MIN_RUNS = 20
# Seconds after which a refused request should come back: bursts last some
# seconds, and those who come back are spread over this span.
RETRY_AFTER_S = (1.0, 1.6)
# Callers honour a Retry-After up to this share of their remaining time.
HONOURED_SHARE = 1 / 3
# Seconds for which a refusal is remembered.
REMEMBERED_S = 4.0


def fingerprint(request):
    """Return the 32-bit key of a request's content, whatever its id."""
    digest = xxhash.xxh32(request.method.encode())
    digest.update(request.target.encode("utf-8", "surrogateescape"))
    digest.update(request.body)
    value = digest.intdigest()
    # Messages between hosts hold signed integers.
    return value - (1 << 32) if value >= 1 << 31 else value


@attrs.define
class _RunTime:
    runs: int = 0
    mean_s: float = 0.0


class RunTimes:
    """Mean time of whole online runs by service, in seconds."""

    def __init__(self):
        self._by_service = {}

    def completed(self, service, elapsed_s):
        """Note a run that was complete."""
        known = self._by_service.setdefault(service, _RunTime(0, elapsed_s))
        known.runs += 1
        known.mean_s += RUN_WEIGHT * (elapsed_s - known.mean_s)

    def mean_s(self, service):
        """Return the mean time of a run; None before enough runs."""
        known = self._by_service.get(service)
        return known.mean_s if known and known.runs >= MIN_RUNS else None


class Refusals:
    """Requests that were refused lately, here or at other hosts."""

    def __init__(self):
        self._until_by_key = {}

    def add(self, keys, now):
        """Remember refused requests."""
        for key in keys:
            self._until_by_key[key] = now + REMEMBERED_S

    def take(self, key, now):
        """Return True once for a request that was refused lately."""
        until = self._until_by_key.pop(key, None)
        return until is not None and now <= until

    def recent(self, now):
        """Return the keys of the requests that may come back."""
        for key, until in list(self._until_by_key.items()):
            if until < now:
                del self._until_by_key[key]
        return list(self._until_by_key)


def queue_wait_s(online, slots, mean_run_s):
    """Return how long a request waits at a server with so many online ones."""
    ahead = max(0, online - slots + 1)
    return ahead * mean_run_s / slots


class Admission:
    """Decides on requests by the forecast of the servers' queues."""

    def __init__(self, rng):
        self._rng = rng
        self.run_times = RunTimes()
        # Refused here, to be told to the others, and known of all.
        self.own_refusals = Refusals()
        self._known_refusals = Refusals()

    def learn_refusals(self, keys, now):
        """Remember what another host refused."""
        self._known_refusals.add(keys, now)

    def retry_after_s(self, key, plan, service, queues, now):
        """
        Return after how many seconds a request with a content should come
        back.

        `queues` are (online requests, slots) of the servers that may get it.
        None means that it is admitted.
        """
        mean_s = self.run_times.mean_s(service)
        if mean_s is None or not queues:
            return None
        wait_s = min(queue_wait_s(online, slots, mean_s) for online, slots in queues)
        if wait_s <= plan.route.objective_s * MAX_WAIT_SHARE:
            return None
        if self._known_refusals.take(key, now):
            return None
        longest_s = plan.remaining_s(now) * HONOURED_SHARE
        if longest_s < RETRY_AFTER_S[0]:
            # It would come back into the same queue; late is better.
            return None
        retry_after_s = min(self._rng.uniform(*RETRY_AFTER_S), longest_s)
        self.own_refusals.add((key,), now)
        self._known_refusals.add((key,), now)
        return retry_after_s
