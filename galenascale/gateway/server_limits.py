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
# Seconds for which a host tells the others what an answer to it said.
REPORT_S = 10.0
# Seconds between two reports that an owner makes necessary.
REPEAT_INTERVAL_S = 0.5
# Longest time in seconds that a report takes through relays; it seems younger
# by that.
REPORT_DELAY_S = 2.0
# Seconds for which the end of a limit is remembered, so that no late report
# brings it back.
OVER_TTL_S = 30.0
# Most reports in a message, which is a part of a datagram, and most limits
# that are kept.
MAX_REPORTS = 40
MAX_LIMITS = 1 << 13


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
    # Until when this host tells the others.
    reported_until: float = -math.inf


@attrs.frozen
class LimitReport:
    """What an answer to some host said of the run of a server."""

    run_key: int
    # None if the server names no limit any more.
    requests_per_s: float | None
    # Monotonic time in seconds.
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

    def knows(self, run_key):
        """Return True if something was learned of a run of a server."""
        return run_key in self._limits_by_run

    def find(self, entry):
        """Return what is known of a server's ServerLimit, or None."""
        return self._limits_by_run.get(entry.run_key) if self else None

    def rate_of(self, entry):
        """Return a server's requests per second, or None without a limit."""
        limit = self.find(entry)
        return None if limit is None else limit.requests_per_s

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
        return self._set(entry.run_key, rate, now, now + REPORT_S)

    def _observe_no_limit(self, entry, known, sent_at, now):
        if known is None or known.requests_per_s is None or sent_at < known.since:
            # An answer to an earlier request may be older than the limit.
            return None
        return self._set(entry.run_key, None, now, now + REPORT_S)

    def merge(self, report):
        """Apply a LimitReport of another host; return the LimitChange."""
        known = self._limits_by_run.get(report.run_key)
        if known is None:
            if report.requests_per_s is None or len(self._limits_by_run) >= MAX_LIMITS:
                return None
        elif not _is_newer(report, known):
            return None
        return self._set(report.run_key, report.requests_per_s, report.said_at)

    def _set(self, run_key, rate, said_at, reported_until=-math.inf):
        known = self._limits_by_run.get(run_key)
        before = None if known is None else known.requests_per_s
        since = said_at if before is None else known.since
        self._limits_by_run[run_key] = ServerLimit(rate, since, said_at, reported_until)
        return None if rate == before else LimitChange(before, rate)

    def repeat(self, entry, now):
        """Report what is known of a server again, unless it just was."""
        limit = self._limits_by_run.get(entry.run_key)
        reported_until = now + REPORT_S
        if limit is None or reported_until - limit.reported_until < REPEAT_INTERVAL_S:
            return False
        limit = attrs.evolve(limit, reported_until=reported_until)
        self._limits_by_run[entry.run_key] = limit
        return True

    def reports(self, now):
        """Drop old ends of limits; return the newest LimitReports to tell."""
        for run_key, limit in list(self._limits_by_run.items()):
            if limit.requests_per_s is None and now - limit.said_at > OVER_TTL_S:
                del self._limits_by_run[run_key]
        reports = [
            LimitReport(run_key, limit.requests_per_s, limit.said_at)
            for run_key, limit in self._limits_by_run.items()
            if now < limit.reported_until
        ]
        return sorted(reports, key=lambda report: -report.said_at)[:MAX_REPORTS]

    def remove(self, entry):
        """Forget a run of a server that ended."""
        self._limits_by_run.pop(entry.run_key, None)


def _is_newer(report, known):
    if known.requests_per_s is None and report.requests_per_s is not None:
        # The limit may be that which ended.
        return report.said_at - REPORT_DELAY_S > known.said_at
    return report.said_at > known.said_at
