"""Checks of the gateway's guarantees against what both ends observed."""

import collections

from galenascale.codec import decode
from galenascale.gateway.jobs.scopes import scoped_job_id
from galenascale.generated.gateway_messages import JobRecord, JobRecordKind
from test.soak.clients import expected_body, expected_text

# HTTP statuses that guarantee that the request did not run.
NOT_RUN_STATUSES = (429, 503)
# Path prefixes of routes whose requests may run at most once.
NON_IDEMPOTENT_PREFIXES = ("/once/", "/talk/")


def check_requests(fleet, requests):
    """Yield one line for each violation by an online request."""
    run_counts_by_id = collections.Counter(
        request.request_id for runner in fleet.runners for request in runner.requests
    )
    sent_ids = {sent.request_id for sent in requests}
    for sent in requests:
        runs = run_counts_by_id[sent.request_id]
        if sent.path.startswith(NON_IDEMPOTENT_PREFIXES) and runs > 1:
            yield f"{sent.request_id} {sent.path} ran {runs} times"
        if sent.status in NOT_RUN_STATUSES and runs:
            yield f"{sent.request_id} {sent.path} was refused and ran {runs} times"
        if sent.status == 200 and sent.complete and sent.body != expected_body(sent):
            yield f"{sent.request_id} {sent.path} got {sent.body!r}"
        if sent.status == 404:
            yield f"{sent.request_id} {sent.path} was denied"
    for request_id in run_counts_by_id:
        if request_id.startswith("r") and request_id not in sent_ids:
            yield f"{request_id} ran and no caller sent it"


def check_jobs(fleet, jobs):
    """Yield one line for each violation by a batch job."""
    run_counts_by_id = collections.Counter(
        request.request_id for runner in fleet.runners for request in runner.requests
    )
    ended_ids = find_ended_jobs(fleet.store.state.log)
    for job in jobs:
        yield from (f"{job.job_id}: {line}" for line in job.read_violations)
        item_ids = [result["Id"] for result in job.results]
        if len(item_ids) != len(set(item_ids)):
            yield f"{job.job_id} has two results of an item"
        if (
            job.accepted
            and len(item_ids) != job.items
            and not _was_ended_by_caller(job, ended_ids)
        ):
            yield (
                f"{job.job_id} has {len(item_ids)} of {job.items} results"
                f" (end asked: {job.end_requested},"
                f" recorded: {_is_recorded(job, ended_ids)})"
            )
        for result in job.results:
            completed = result["State"] == "completed"
            if completed and result["Text"] != expected_text(result["Id"]):
                yield f"{job.job_id}: {result['Id']} has text {result['Text']!r}"
        if job.refused:
            for number in range(job.items):
                if run_counts_by_id[f"{job.job_id}-{number}"]:
                    yield f"{job.job_id} was refused and item {number} ran"


def _is_recorded(job, ended_ids):
    return scoped_job_id(job.tenant, job.job_id) in ended_ids


def _was_ended_by_caller(job, ended_ids):
    """
    Return True if the caller ended a job, so that results may be missing.

    A call whose answer was lost counts too if the store recorded the end.
    """
    return job.ended_at is not None or (
        job.end_requested and _is_recorded(job, ended_ids)
    )


def find_ended_jobs(log):
    """Return the ids of the jobs with an ENDED record in a LogStore."""
    return {
        record.job_id
        for name, stream in log.streams_by_name.items()
        if name.startswith("jobs.")
        for record in (decode(JobRecord, body) for body in stream.records)
        if record.kind == JobRecordKind.ENDED
    }
