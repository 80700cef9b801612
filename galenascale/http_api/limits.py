"""Limits on what a caller sends: headers, body, time and deadline."""

import asyncio

import aiohttp
import orjson
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from galenascale.errors import UserError
from galenascale.http_api.context import CONTEXT

DEADLINE_HEADER = "X-Request-Deadline-Ms"
# What reading a body raises if its encoding or its chunks are malformed.
MALFORMED_BODY_ERRORS = (
    aiohttp.ClientPayloadError,
    HttpProcessingError,
    web.RequestPayloadError,
)
MAX_DEADLINE_DIGITS = 12


def check_headers(request):
    """Raise UserError if all headers together exceed the limit."""
    limit = request.app[CONTEXT].limits.max_header_bytes
    size = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
    if size > limit:
        raise UserError(
            f"headers have {size} bytes, more than {limit}",
            code="headers_too_large",
            http_status=431,
        )


async def read_body(request):
    """Return the body; raise UserError if it is too large or too slow."""
    limits = request.app[CONTEXT].limits
    if (request.content_length or 0) > limits.max_body_bytes:
        raise _too_large(limits)
    try:
        async with asyncio.timeout(limits.body_timeout_s):
            return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise _too_large(limits) from error
    except MALFORMED_BODY_ERRORS as error:
        raise UserError("body is not validly encoded", code="bad_body") from error
    except TimeoutError as error:
        raise UserError(
            f"body did not arrive within {limits.body_timeout_s} s",
            code="body_timeout",
            http_status=408,
        ) from error


def _too_large(limits):
    return UserError(
        f"body has more than {limits.max_body_bytes} bytes",
        code="body_too_large",
        http_status=413,
    )


def decode_object(data):
    """Return the JSON object that a body holds or raise UserError."""
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise UserError(f"body is not valid JSON: {error}", code="bad_json") from error
    if not isinstance(value, dict):
        raise UserError("body is not a JSON object", code="bad_json")
    return value


def deadline_s(request, default_s):
    """
    Return the seconds that a request may take.

    The header gives milliseconds; more than the limit counts as the limit.
    """
    limits = request.app[CONTEXT].limits
    header = request.headers.get(DEADLINE_HEADER)
    if header is None:
        return min(default_s, limits.max_deadline_s)
    valid = header.isascii() and header.isdigit() and len(header) < MAX_DEADLINE_DIGITS
    if not valid or int(header) == 0:
        raise UserError(
            f"{DEADLINE_HEADER} must be a positive number of milliseconds",
            code="invalid_deadline",
            param=DEADLINE_HEADER,
        )
    return min(int(header) / 1000, limits.max_deadline_s)
