"""Errors as answers: OpenAI's JSON shape with `code` and `execution`."""

import math

import orjson
from aiohttp import web

from galenascale.errors import Execution, GalenascaleError, Refused, UserError
from galenascale.http_api.context import CONTEXT
from galenascale.logs import get_logger

log = get_logger("http")

DEFAULT_RETRY_AFTER_S = 1
RETRY_STATUSES = frozenset({429, 503})
_CODE_BY_STATUS = {
    404: "not_found",
    405: "method_not_allowed",
    413: "body_too_large",
    431: "headers_too_large",
}


def error_type(status):
    """Return OpenAI's `type` for a status."""
    if status == 401:
        return "authentication_error"
    if status == 429:
        return "rate_limit_error"
    return "invalid_request_error" if status < 500 else "server_error"


def error_body(error):
    """Return the JSON body that describes a GalenascaleError."""
    return orjson.dumps(
        {
            "error": {
                "message": error.message,
                "type": error_type(error.http_status),
                "param": getattr(error, "param", None),
                "code": error.code,
                "execution": error.execution,
            }
        }
    )


def error_headers(error):
    """
    Return the headers of an error's answer.

    `x-should-retry` steers the retries of the `openai` client: a request that
    may have run is not sent again without the caller's decision.
    """
    headers = {}
    retry = error.http_status in RETRY_STATUSES and (
        error.execution == Execution.NOT_RUN
    )
    if retry:
        seconds = getattr(error, "retry_after_s", DEFAULT_RETRY_AFTER_S)
        headers["Retry-After"] = str(max(1, math.ceil(seconds)))
    headers["x-should-retry"] = "true" if retry else "false"
    if error.http_status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return headers


def from_http_exception(error):
    """Return the GalenascaleError for a refusal by aiohttp itself."""
    status = error.status
    code = _CODE_BY_STATUS.get(status, "invalid_request")
    if status < 500:
        return UserError(error.reason, code=code, http_status=status)
    return Refused(error.reason, http_status=status)


def from_unexpected(error):
    """Return the GalenascaleError for a fault of the program."""
    log.error("Request failed: %r.", error, exc_info=error)
    return GalenascaleError(
        "internal error", step="http", execution=Execution.MAY_HAVE_RUN
    )


@web.middleware
async def error_middleware(request, handler):
    """Answer every failure in the one shape and count it by code."""
    try:
        return await handler(request)
    except GalenascaleError as failure:
        error = failure
    except web.HTTPException as failure:
        error = from_http_exception(failure)
    except ConnectionResetError:
        # The caller is gone; nobody reads an answer.
        raise
    except Exception as failure:
        error = from_unexpected(failure)
    request.app[CONTEXT].metrics.count_request("online", error.code)
    if error.http_status >= 500:
        log.warning("Answered %d %s: %s.", error.http_status, error.code, error)
    response = web.Response(
        body=error_body(error),
        status=error.http_status,
        headers=error_headers(error),
        content_type="application/json",
    )
    if error.code in ("body_too_large", "body_timeout"):
        # The rest of the body is not read.
        response.force_close()
    return response
