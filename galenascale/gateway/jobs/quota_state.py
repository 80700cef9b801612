"""Open tokens of a route's jobs, computed from the log of its quota.

Every host applies the same records in the same order, so all hosts agree on
which reservations fit, whatever each host knew when it wrote a reservation.
"""

import collections

import attrs

from galenascale.codec import decode
from galenascale.generated.gateway_messages import QuotaRecord, QuotaRecordKind

# Newest version of the record schema that is understood.
SCHEMA_VERSION = 1
# Window in seconds for the rate at which tokens become free.
RATE_WINDOW_S = 10.0


@attrs.define
class OpenJob:
    """Tokens of the quota that a job holds."""

    tokens: int
    # Wall time in milliseconds at which the job's first record was written.
    counted_ms: int


class QuotaState:
    """The quota of one route."""

    def __init__(self, route):
        self._route = route
        self.open_jobs_by_id = {}
        # Sum of the open tokens of all jobs.
        self.total = 0
        # The limit in the newest configuration that a reservation was made
        # with, and the version of that configuration.
        self.limit = 0
        self.config_version = -1
        # Pairs of wall time in milliseconds and freed tokens, oldest first.
        self._releases = collections.deque()

    def fits(self, tokens, limit):
        """Return True if tokens fit below a limit; 0 means no limit."""
        return limit == 0 or self.total + tokens <= limit

    def apply(self, data, _offset=0):
        """
        Apply the bytes of one record.

        Records of a newer schema and of other routes are ignored. Raise
        DecodeError, with the state unchanged, for bytes that are no record.
        """
        record = decode(QuotaRecord, data)
        if record.schema_version > SCHEMA_VERSION or record.route != self._route:
            return
        apply = _APPLY_BY_KIND.get(record.kind)
        if apply is not None and record.tokens >= 0:
            apply(self, record)

    def _reserve(self, record):
        if record.config_version >= self.config_version:
            self.config_version = record.config_version
            self.limit = record.limit
        if self.fits(record.tokens, self.limit):
            self._count(record)

    def _count(self, record):
        if record.job_id not in self.open_jobs_by_id:
            job = OpenJob(record.tokens, record.written_ms)
            self.open_jobs_by_id[record.job_id] = job
            self.total += record.tokens

    def _release(self, record):
        job = self.open_jobs_by_id.get(record.job_id)
        if job is None or record.tokens > job.tokens:
            return
        freed = job.tokens - record.tokens
        if freed:
            self._releases.append((record.written_ms, freed))
        self.total -= freed
        job.tokens = record.tokens
        if not job.tokens:
            del self.open_jobs_by_id[record.job_id]

    def drop_older(self, before_ms):
        """Drop releases before a wall time in milliseconds."""
        while self._releases and self._releases[0][0] < before_ms:
            self._releases.popleft()

    def estimated_wait_s(self, tokens, limit, now_ms):
        """
        Return the estimated seconds until tokens fit a limit.

        Return None if they exceed the limit by themselves, or if no tokens
        were released within the last RATE_WINDOW_S. `now_ms` is a wall time.
        """
        since_ms = now_ms - RATE_WINDOW_S * 1000
        freed = sum(count for at_ms, count in self._releases if at_ms >= since_ms)
        if not freed or tokens > limit:
            return None
        missing = self.total + tokens - limit
        return max(0.0, missing * RATE_WINDOW_S / freed)


_APPLY_BY_KIND = {
    QuotaRecordKind.RESERVE: QuotaState._reserve,
    QuotaRecordKind.COUNT: QuotaState._count,
    QuotaRecordKind.RELEASE: QuotaState._release,
}
