"""The promises, checked on what callers and backend servers saw."""

import collections

from galenascale.codec import decode
from galenascale.generated.gateway_messages import JobRecord, JobRecordKind
from test.soak.clients import expected_body, expected_text

# Statuses that promise that a request did not run.
PROMISES = (429, 503)
# Paths whose requests may run once at most.
ONCE = ("/once/", "/talk/")


def check_requests(fleet, requests):
    """Yield a line for each broken promise about online requests."""
    runs_by_id = collections.Counter(
        request.request_id for runner in fleet.runners for request in runner.requests
    )
    known = {sent.request_id for sent in requests}
    for sent in requests:
        runs = runs_by_id[sent.request_id]
        if sent.path.startswith(ONCE) and runs > 1:
            yield f"{sent.request_id} {sent.path} ran {runs} times"
        if sent.status in PROMISES and runs:
            yield f"{sent.request_id} {sent.path} was refused and ran {runs} times"
        if sent.status == 200 and sent.complete and sent.body != expected_body(sent):
            yield f"{sent.request_id} {sent.path} got {sent.body!r}"
        if sent.status == 404:
            yield f"{sent.request_id} {sent.path} was denied"
    for request_id in runs_by_id:
        if request_id.startswith("r") and request_id not in known:
            yield f"{request_id} ran and no caller sent it"


def check_jobs(fleet, jobs):
    """Yield a line for each broken promise about jobs."""
    runs_by_id = collections.Counter(
        request.request_id for runner in fleet.runners for request in runner.requests
    )
    ended = ended_jobs(fleet.store.state.log)
    for job in jobs:
        yield from (f"{job.job_id}: {line}" for line in job.changed)
        ids = [result["Id"] for result in job.results]
        if len(ids) != len(set(ids)):
            yield f"{job.job_id} has two results of an item"
        if job.accepted and len(ids) != job.items and not _may_be_over(job, ended):
            yield (
                f"{job.job_id} has {len(ids)} of {job.items} results"
                f" (end asked: {job.end_asked}, recorded: {job.job_id in ended})"
            )
        for result in job.results:
            completed = result["State"] == "completed"
            if completed and result["Text"] != expected_text(result["Id"]):
                yield f"{job.job_id}: {result['Id']} has text {result['Text']!r}"
        if job.refused:
            for number in range(job.items):
                if runs_by_id[f"{job.job_id}-{number}"]:
                    yield f"{job.job_id} was refused and item {number} ran"


def _may_be_over(job, ended):
    """
    Return True if a job owes no results as its caller ended it.

    The answer to the caller's call may be lost after the end was recorded.
    """
    return job.ended_at is not None or (job.end_asked and job.job_id in ended)


def ended_jobs(log):
    """Return the ids of the jobs whose end is in the store's LogStore."""
    return {
        record.job_id
        for name, stream in log.streams_by_name.items()
        if name.startswith("jobs.")
        for record in (decode(JobRecord, body) for body in stream.records)
        if record.kind == JobRecordKind.ENDED
    }
