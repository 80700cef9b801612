"""Log lines and counts of callers that meet limits."""

# Seconds between two lines about the same limit.
LINE_INTERVAL_S = 1.0


class LimitLog:
    """Counts callers that meet a limit, and logs some of them."""

    def __init__(self, log, clock, metrics):
        self._log = log
        self._clock = clock
        self._metrics = metrics
        # Monotonic times in seconds of the last lines, and callers since then.
        self._logged_at_by_limit = {}
        self._count_by_limit = {}

    def record(self, limit, connection):
        """Record that the caller of a CallerConnection met a limit."""
        self._metrics.count_caller_limit(limit)
        count = self._count_by_limit.get(limit, 0) + 1
        now = self._clock.monotonic()
        logged_at = self._logged_at_by_limit.get(limit)
        if logged_at is not None and now - logged_at < LINE_INTERVAL_S:
            self._count_by_limit[limit] = count
            return
        self._logged_at_by_limit[limit] = now
        self._count_by_limit[limit] = 0
        address = connection.peername
        self._log.write(
            "caller_limit",
            "warning",
            limit=limit,
            caller=address[0] if address else None,
            count=count,
        )
