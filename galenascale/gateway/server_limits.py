"""
Request rates that backend servers in need name as their limits.

A server in need says in each of its answers how many requests a second it
takes from all hosts together. The limit holds until an answer does not name
one, however old it is: the first request to an idle server finds out.
"""

import math

import attrs

# Largest rate in requests per second that is kept; no server takes more.
MAX_REQUESTS_PER_S = 1e6


@attrs.frozen
class NamedLimit:
    """The limit in the head of an answer, as the server wrote it."""

    text: str
    # None if the text is not a rate.
    requests_per_s: float | None


@attrs.frozen
class ServerLimit:
    """The limit of one run of a server; times are monotonic seconds."""

    # None if the server ceased to name one.
    requests_per_s: float | None
    # When the present period of limits began, and when an answer last said so.
    since: float
    said_at: float


@attrs.frozen
class LimitChange:
    """What a host learned of a server's limit; None stands for no limit."""

    before: float | None
    after: float | None

    @property
    def kind(self):
        """Return the name of the change in logs and metrics."""
        if self.before is None:
            return "learned"
        return "over" if self.after is None else "changed"


class ServerLimits:
    """The limits of all servers that this host knows."""

    def __init__(self):
        self._limits_by_run = {}

    def __bool__(self):
        """Return True if any server may be limited."""
        return bool(self._limits_by_run)

    def rate_of(self, entry):
        """Return a server's requests per second, or None without a limit."""
        limit = self._limits_by_run.get(entry.run_key) if self else None
        return None if limit is None else limit.requests_per_s

    def age_s(self, entry, now):
        """Return the seconds since the last answer about a server's limit."""
        limit = self._limits_by_run.get(entry.run_key)
        return math.inf if limit is None else now - limit.said_at

    def observe(self, entry, named, sent_at, now):
        """
        Record what an answer to this host says; return the LimitChange.

        `named` is the NamedLimit in it, or None. `sent_at` is the time of its
        request. Return None if nothing changed.
        """
        known = self._limits_by_run.get(entry.run_key)
        if named is None:
            return self._observe_no_limit(entry, known, sent_at, now)
        if named.requests_per_s is None:
            return None
        rate = min(named.requests_per_s, MAX_REQUESTS_PER_S)
        return self._set(entry.run_key, rate, now, now)

    def _observe_no_limit(self, entry, known, sent_at, now):
        if known is None or known.requests_per_s is None or sent_at < known.since:
            # An answer to an earlier request may be older than the limit.
            return None
        return self._set(entry.run_key, None, now, now)

    def _set(self, run_key, rate, said_at, now):
        known = self._limits_by_run.get(run_key)
        before = None if known is None else known.requests_per_s
        starts = before is None
        since = now if starts else known.since
        self._limits_by_run[run_key] = ServerLimit(rate, since, said_at)
        return None if rate == before else LimitChange(before, rate)

    def remove(self, entry):
        """Forget a run of a server that ended."""
        self._limits_by_run.pop(entry.run_key, None)
