"""Open tokens of a route's jobs, folded from the log of its quota.

Every host folds the same records to the same state, so that all agree on which
reservations fit, whatever each of them knew when it wrote its own.
"""

import collections

import attrs

from galenascale.codec import decode
from galenascale.generated.gateway_messages import QuotaRecord, QuotaRecordKind

SCHEMA_VERSION = 1
# Seconds over which the rate is taken at which tokens become free.
RATE_WINDOW_S = 10.0


@attrs.define
class OpenJob:
    """Tokens that a job takes of the quota."""

    tokens: int
    # Wall time in milliseconds of the record that counted it.
    counted_ms: int


class QuotaState:
    """The quota of one route."""

    def __init__(self, route):
        self._route = route
        self.open_jobs_by_id = {}
        # Sum of the open tokens.
        self.total = 0
        # The newest limit that a host knew, with its configuration's version.
        self.limit = 0
        self.config_version = -1
        # Wall times in milliseconds and tokens of the latest releases.
        self._releases = collections.deque()

    def fits(self, tokens, limit):
        """Return True if so many tokens more stay within a limit."""
        return limit == 0 or self.total + tokens <= limit

    def apply(self, data):
        """
        Apply the bytes of one record.

        Raise DecodeError for bytes that are no record; the state is unchanged
        then. Records of a newer schema and of other routes are passed over.
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
        """Drop releases before a time and outside the window of the rate."""
        while self._releases and self._releases[0][0] < before_ms:
            self._releases.popleft()

    def estimated_wait_s(self, tokens, limit, now_ms):
        """
        Return in how many seconds tokens probably fit a limit.

        None is returned if they never can, or if nothing became free lately.
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
