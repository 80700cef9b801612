"""Parsing of calls about batch jobs and encoding of their results."""

import base64
import urllib.parse

import orjson

from galenascale.errors import DecodeError, UserError
from galenascale.gateway.http_heads import InvalidHead
from galenascale.gateway.requests import (
    JobCall,
    JobCallKind,
    JobSubmission,
    SubmittedItem,
)
from galenascale.platform.fields import get_field, parse_json_object
from galenascale.platform.headers import check_item, parse_wait_s
from galenascale.whole_numbers import parse_whole_number

_RESULTS_PREFIX = "/lots/"
_ITEMS_PREFIX = "/items/"
MAX_ITEMS = 200
# Most tokens of one item.
MAX_TOKENS = (1 << 31) - 1
# Largest total size of the results of one page in bytes; a page holds at least
# one result, whatever its size.
MAX_PAGE_BYTES = 1_000_000


def parse_job_call(method, target, headers):
    """Return the JobCall of a request, or None if it is no job call."""
    path, _, query_text = target.partition("?")
    query = dict(urllib.parse.parse_qsl(query_text))
    if path.startswith(_RESULTS_PREFIX):
        job_id = urllib.parse.unquote(path[len(_RESULTS_PREFIX) :])
        if method == "DELETE":
            return JobCall(JobCallKind.END, job_id)
        if method == "GET":
            # Number of results to skip; the response names it NextToken.
            position = parse_whole_number(query.get("After", "0"))
            if position is None:
                raise UserError(
                    "query parameter After must be a whole number of at least 0",
                    step="read_job_call",
                )
            return JobCall(
                JobCallKind.RESULTS,
                job_id,
                position=position,
                wait_s=parse_wait_s(headers),
            )
    if path.startswith(_ITEMS_PREFIX) and method == "GET":
        job_id = urllib.parse.unquote(path[len(_ITEMS_PREFIX) :])
        return JobCall(JobCallKind.ITEM_BODY, job_id, item_id=query.get("Id", ""))
    return None


def parse_submission(request):
    """Return the JobSubmission of a request; raise UserError if invalid."""
    try:
        fields = parse_json_object(request.body, "job")
        values = get_field(fields, "Items", list)
    except DecodeError as error:
        raise _job_error(error.message) from error
    if not 1 <= len(values) <= MAX_ITEMS:
        raise _job_error(f"a job must have 1 to {MAX_ITEMS} items")
    items = _parse_items(values, request.host)
    if len({item.item_id for item in items}) < len(items):
        raise _job_error("two items of a job have the same id")
    return JobSubmission(request.request_id, items)


def _job_error(message):
    return UserError(f"job is not valid: {message}", step="read_job")


def _parse_items(values, host):
    """Return the SubmittedItems of a job for a host; raise UserError."""
    items = []
    for number, value in enumerate(values):
        try:
            item = _parse_item(value)
            check_item(item, host)
        except (DecodeError, InvalidHead) as error:
            raise _job_error(f"item {number}: {error.message}") from error
        items.append(item)
    return tuple(items)


def _parse_item(fields):
    if not isinstance(fields, dict):
        raise DecodeError("item is not a JSON object", step="decode")
    headers = get_field(fields, "Headers", dict, {})
    if not all(isinstance(value, str) for value in headers.values()):
        raise DecodeError("values of field Headers must be strings", step="decode")
    path = get_field(fields, "Path", str)
    if not path.startswith("/"):
        raise DecodeError("field Path must start with /", step="decode")
    return SubmittedItem(
        item_id=get_field(fields, "Id", str),
        path=path,
        headers=headers,
        body=_parse_body(get_field(fields, "Body", str, "")),
        tokens=_check_tokens(get_field(fields, "Tokens", int, 0)),
    )


def _parse_body(text):
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise DecodeError(
            f"field Body is not base64: {error}", step="decode"
        ) from error


def _check_tokens(tokens):
    if not 0 <= tokens <= MAX_TOKENS:
        raise DecodeError(f"field Tokens must be 0 to {MAX_TOKENS}", step="decode")
    return tokens


def encode_results(total, position, results):
    """
    Return a page of results as JSON bytes.

    `total` is the number of items of the job; `results` are its ItemResults
    from `position` on, of which the page holds as many as fit.
    """
    outputs = []
    size = 0
    for result in results:
        size += len(result.text)
        if outputs and size > MAX_PAGE_BYTES:
            break
        outputs.append(
            {
                "Id": result.item_id,
                "State": "completed" if result.completed else "dead_letter",
                "Text": result.text.decode("utf-8", "replace"),
            }
        )
    page = {"Total": total, "NextToken": position + len(outputs), "Outputs": outputs}
    return orjson.dumps(page)
