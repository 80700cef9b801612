"""Reconciliation of a route's quota with the jobs that are in the store."""

import attrs

from galenascale.generated.gateway_messages import QuotaRecordKind

# Seconds after which a reservation expires if its job is not in the store.
RESERVATION_TTL_S = 10.0
# Seconds for which the quota may count more tokens than a job has open: the
# job's host releases tokens slightly later than it records outcomes.
RELEASE_DELAY_S = 1.5


@attrs.frozen
class Correction:
    """A record to append to the log of a quota."""

    kind: QuotaRecordKind
    job_id: str
    tokens: int


class QuotaReconciler:
    """
    Finds differences between a quota and the stored jobs.

    They arise from hosts that were lost before they released tokens, and from
    jobs that were accepted before their route had a limit.
    """

    def __init__(self):
        # Monotonic time by job since which the quota counts more tokens than
        # the job has open.
        self._excess_since_by_job = {}

    def corrections(self, open_jobs_by_id, assigned_jobs, is_assigned, now):
        """
        Return the Corrections to append now.

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
