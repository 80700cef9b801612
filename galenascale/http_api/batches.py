"""`/v1/batches`: create, look up, list and cancel batch jobs."""

import orjson
from aiohttp import web

from galenascale.errors import UserError
from galenascale.generated.messages import OutcomeStatus
from galenascale.http_api import limits
from galenascale.http_api.files import answer, authenticate
from galenascale.jobs import JobRequest

KEY_HEADER = "Idempotency-Key"
IDEMPOTENT_HEADER = "X-Idempotent"
MAX_KEY_CHARACTERS = 255
MAX_LIST = 100


def idempotency_key(request):
    """Return the Idempotency-Key header; empty if there is none."""
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_CHARACTERS:
        raise UserError(
            f"{KEY_HEADER} has more than {MAX_KEY_CHARACTERS} characters",
            param=KEY_HEADER,
        )
    return key


def is_idempotent(request):
    """Return False if the caller says that its request may not be repeated."""
    value = request.headers.get(IDEMPOTENT_HEADER, "true").lower()
    if value not in ("true", "false"):
        raise UserError(
            f"{IDEMPOTENT_HEADER} must be true or false", param=IDEMPOTENT_HEADER
        )
    return value == "true"


def job_status(job):
    """Return OpenAI's status of a JobEntry."""
    if job.cancelled:
        return "cancelled"
    if job.due_passed:
        return "expired"
    return "completed" if job.ended else "in_progress"


def count_items(job):
    """Return OpenAI's request_counts of a JobEntry."""
    completed = job.statuses.count(OutcomeStatus.SUCCEEDED)
    done = len(job.statuses) - job.open_items
    lost = job.open_items if job.ended else 0
    return {
        "total": len(job.statuses),
        "completed": completed,
        "failed": done - completed + lost,
    }


def describe_job(job):
    """Return OpenAI's batch object for a JobEntry."""
    created, status = job.created, job_status(job)
    counts = count_items(job)
    times = {f"{name}_at": None for name in ("completed", "expired", "cancelled")}
    if job.ended:
        times[f"{status}_at"] = job.ended_ms // 1000
    return {
        "id": created.job_id,
        "object": "batch",
        "endpoint": created.endpoint,
        "errors": None,
        "input_file_id": created.input_file_id,
        "completion_window": created.completion_window,
        "status": status,
        "output_file_id": f"output-{created.job_id}" if counts["completed"] else None,
        "error_file_id": f"errors-{created.job_id}" if counts["failed"] else None,
        "created_at": created.created_ms // 1000,
        "in_progress_at": created.created_ms // 1000,
        "expires_at": created.due_ms // 1000,
        "request_counts": counts,
        "metadata": orjson.loads(created.metadata_json or "{}"),
        **times,
    }


async def _create(request):
    context, tenant = authenticate(request)
    body = limits.decode_object(await limits.read_body(request))
    job_request = JobRequest.from_body(
        body, idempotency_key(request), is_idempotent(request)
    )
    job = await context.jobs.create(tenant, job_request)
    return answer(describe_job(job))


async def _list(request):
    context, tenant = authenticate(request)
    jobs = await context.jobs.list(tenant)
    after = request.query.get("after")
    ids = [job.created.job_id for job in jobs]
    if after in ids:
        jobs = jobs[ids.index(after) + 1 :]
    limit = _list_limit(request)
    page = [describe_job(job) for job in jobs[:limit]]
    return answer(
        {
            "object": "list",
            "data": page,
            "first_id": page[0]["id"] if page else None,
            "last_id": page[-1]["id"] if page else None,
            "has_more": len(jobs) > limit,
        }
    )


def _list_limit(request):
    value = request.query.get("limit", "20")
    if not value.isascii() or not value.isdigit() or not 1 <= int(value) <= MAX_LIST:
        raise UserError(f"limit must be from 1 to {MAX_LIST}", param="limit")
    return int(value)


async def _get(request):
    context, tenant = authenticate(request)
    return answer(describe_job(await context.jobs.get(tenant, _job_id(request))))


async def _cancel(request):
    context, tenant = authenticate(request)
    return answer(describe_job(await context.jobs.cancel(tenant, _job_id(request))))


def _job_id(request):
    return request.match_info["batch"]


ROUTES = [
    web.post("/v1/batches", _create),
    web.get("/v1/batches", _list),
    web.get("/v1/batches/{batch}", _get),
    web.post("/v1/batches/{batch}/cancel", _cancel),
]
