"""Differences between a route's quota and the jobs that are in the store."""

import attrs

from galenascale.generated.gateway_messages import QuotaRecordKind

# Seconds after which a reservation is void whose job is not in the store.
RESERVATION_TTL_S = 10.0
# Seconds for which a job may differ: its host releases tokens a little later
# than it records outcomes.
RELEASE_DELAY_S = 1.5


@attrs.frozen
class Correction:
    """A record that a quota lacks."""

    kind: QuotaRecordKind
    job_id: str
    tokens: int


class QuotaReconciler:
    """Finds what lost hosts left, and jobs from before the route's limit."""

    def __init__(self):
        # Monotonic time by job since which it takes more than it has open.
        self._excess_since_by_job = {}

    def corrections(self, open_jobs_by_id, assigned_jobs, is_assigned, now):
        """
        Return the Corrections that are due.

        `open_jobs_by_id` are the OpenJobs of the quota. `assigned_jobs` are
        the JobStates by id of the route's jobs in the partitions assigned to
        this host; `is_assigned(job_id)` tells whether a job belongs to one of
        these partitions. `now` is a monotonic time in seconds.
        """
        missing = [
            Correction(QuotaRecordKind.COUNT, job_id, tokens)
            for job_id, state in assigned_jobs.items()
            if job_id not in open_jobs_by_id and (tokens := state.open_tokens())
        ]
        return missing + self._overdue_releases(
            open_jobs_by_id, assigned_jobs, is_assigned, now
        )

    def _overdue_releases(self, open_jobs_by_id, assigned_jobs, is_assigned, now):
        due = []
        excess_since_by_job = {}
        for job_id, open_job in open_jobs_by_id.items():
            state = assigned_jobs.get(job_id)
            tokens = state.open_tokens() if state else 0
            if not is_assigned(job_id) or tokens >= open_job.tokens > 0:
                continue
            since = excess_since_by_job[job_id] = self._excess_since_by_job.get(
                job_id, now
            )
            if now - since > (RELEASE_DELAY_S if state else RESERVATION_TTL_S):
                due.append(Correction(QuotaRecordKind.RELEASE, job_id, tokens))
        self._excess_since_by_job = excess_since_by_job
        return due
