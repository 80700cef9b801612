"""Differences between a route's quota and the jobs that are in the store."""

import attrs

from galenascale.generated.gateway_messages import QuotaRecordKind

# Seconds after which a reservation is void whose job is not in the store.
RESERVED_FOR_S = 10.0
# Seconds for which a job may differ: its host releases tokens a little later
# than it records outcomes.
SETTLE_S = 1.5


@attrs.frozen
class Correction:
    """A record that a quota lacks."""

    kind: QuotaRecordKind
    job_id: str
    tokens: int


class QuotaRepair:
    """Finds what lost hosts left, and jobs from before the route's limit."""

    def __init__(self):
        # Monotonic time by job since which it takes more than it has open.
        self._since_by_job = {}

    def corrections(self, open_by_job, dealt_jobs, is_dealt, now):
        """
        Return the Corrections that are due.

        `dealt_jobs` are the JobStates of the route by id in the partitions
        that this host looks after, `is_dealt(job_id)` tells whether a job is
        of these partitions, and `open_by_job` are the quota's OpenJobs.
        """
        missing = [
            Correction(QuotaRecordKind.COUNT, job_id, tokens)
            for job_id, state in dealt_jobs.items()
            if job_id not in open_by_job and (tokens := state.open_tokens())
        ]
        return missing + self._leftovers(open_by_job, dealt_jobs, is_dealt, now)

    def _leftovers(self, open_by_job, dealt_jobs, is_dealt, now):
        due = []
        since_by_job = {}
        for job_id, open_job in open_by_job.items():
            state = dealt_jobs.get(job_id)
            tokens = state.open_tokens() if state else 0
            if not is_dealt(job_id) or tokens >= open_job.tokens > 0:
                continue
            since = since_by_job[job_id] = self._since_by_job.get(job_id, now)
            if now - since > (SETTLE_S if state else RESERVED_FOR_S):
                due.append(Correction(QuotaRecordKind.RELEASE, job_id, tokens))
        self._since_by_job = since_by_job
        return due
