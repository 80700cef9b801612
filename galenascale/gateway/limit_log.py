"""Log lines and counts of callers that meet limits or lose their answers."""

import enum

import attrs

# Seconds between two lines about the same limit or reason.
LINE_INTERVAL_S = 1.0


class CutReason(enum.Enum):
    """Why a connection ended before its caller had taken an answer."""

    # The caller acknowledged nothing any more.
    SILENT = "silent"
    # The caller took too little of the answer.
    UNREAD = "unread"
    # Other callers needed the memory.
    MEMORY = "memory"
    # The answer itself could not be completed.
    BROKEN = "broken"
    # The caller or the kernel ended the connection.
    LOST = "lost"
    # The host stopped.
    STOPPED = "stopped"


@attrs.frozen
class CutAnswer:
    """The end of a connection whose caller had not taken an answer."""

    reason: CutReason
    # UntakenBytes at the end, as far as they are known.
    untaken: object


class _LineLimiter:
    """Counts events by key, and lets one of them a second be logged."""

    def __init__(self, clock):
        self._clock = clock
        # Monotonic times in seconds of the last lines, and events since then.
        self._logged_at_by_key = {}
        self._count_by_key = {}

    def count(self, key):
        """Return the events since the last line, or 0 if none is due."""
        count = self._count_by_key.get(key, 0) + 1
        now = self._clock.monotonic()
        logged_at = self._logged_at_by_key.get(key)
        if logged_at is not None and now - logged_at < LINE_INTERVAL_S:
            self._count_by_key[key] = count
            return 0
        self._logged_at_by_key[key] = now
        self._count_by_key[key] = 0
        return count


class LimitLog:
    """Counts callers that meet a limit, and logs some of them."""

    def __init__(self, log, clock, metrics):
        self._log = log
        self._metrics = metrics
        self._lines = _LineLimiter(clock)

    def record(self, limit, connection):
        """Record that the caller of a CallerConnection met a limit."""
        self._metrics.count_caller_limit(limit)
        count = self._lines.count(limit)
        if count:
            self._log.write(
                "caller_limit",
                "warning",
                limit=limit,
                caller=_address(connection),
                count=count,
            )

    def record_cut(self, cut, connection):
        """Record a CutAnswer of a CallerConnection."""
        reason = cut.reason.value
        self._metrics.cut_answers.labels(reason).inc()
        count = self._lines.count(cut.reason)
        if count:
            self._log.write(
                "answer_cut",
                "warning",
                reason=reason,
                caller=_address(connection),
                process_bytes=cut.untaken.process,
                kernel_bytes=cut.untaken.kernel,
                count=count,
            )


def _address(connection):
    address = connection.peername
    return address[0] if address else None
