"""Result lines of batch jobs, read back from the log."""

import orjson

from galenascale import codec
from galenascale.batch_lines import parse_line
from galenascale.files import read_chunk
from galenascale.generated.messages import Outcomes, OutcomeStatus
from galenascale.shards.bodies import read_body

# Error code and message of items that end without an outcome of their own.
CODES_BY_STATUS = {
    OutcomeStatus.EXPIRED: (
        "batch_expired",
        "The item had no outcome at its due time.",
    ),
    # An item that may be repeated can have been interrupted, so its line does
    # not say that it was not run.
    OutcomeStatus.NOT_RUN: (
        "batch_cancelled",
        "The item had no outcome when the job was cancelled.",
    ),
    OutcomeStatus.MAY_HAVE_RUN: (
        "may_have_run",
        "The item was sent to a backend server and its answer was lost.",
    ),
}


async def result_lines(log_client, job, failed):
    """Yield the lines of a JobEntry; see `JobService.results`."""
    for winner, position in enumerate(job.outcome_positions):
        _, body = await read_body(log_client, position)
        for outcome in _winning(job, winner, codec.decode(Outcomes, body).outcomes):
            if (outcome.status == OutcomeStatus.SUCCEEDED) != failed:
                yield outcome.body
    if failed and job.ended:
        async for line in _lines_without_outcome(log_client, job):
            yield line


def _winning(job, winner, outcomes):
    """Yield the outcomes of one record that count."""
    taken = set()
    for outcome in outcomes:
        # A record may hold further outcomes of an item; the fold took the
        # first one with the status in force.
        if (
            job.outcome_indexes[outcome.item] == winner
            and outcome.status == job.statuses[outcome.item]
            and outcome.item not in taken
        ):
            taken.add(outcome.item)
            yield outcome


async def _lines_without_outcome(log_client, job):
    for chunk, position in enumerate(job.chunk_positions):
        items = job.open_items_of(chunk)
        if not items:
            continue
        lines = (await read_chunk(log_client, position)).split(b"\n")
        first = job.items_of(chunk).start
        for item in items:
            line = parse_line(lines[item - first], item + 1)
            code, message = CODES_BY_STATUS[job.final_status(item)]
            yield error_line(job.created.job_id, item, line.custom_id, code, message)


def result_line(job_id, item, custom_id, http_status, body):
    """Return one line of an output file."""
    return orjson.dumps(
        {
            "id": f"{job_id}-{item}",
            "custom_id": custom_id,
            "response": {
                "status_code": http_status,
                "request_id": f"{job_id}-{item}",
                "body": body,
            },
            "error": None,
        }
    )


def error_line(job_id, item, custom_id, code, message, response=None):
    """Return one line of an error file."""
    return orjson.dumps(
        {
            "id": f"{job_id}-{item}",
            "custom_id": custom_id,
            "response": response,
            "error": {"code": code, "message": message},
        }
    )
