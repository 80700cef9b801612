"""Parsing and checking of batch input files in JSON lines."""

import attrs
import orjson

from galenascale.errors import UserError

MODEL_ENDPOINTS = ("/v1/chat/completions", "/v1/completions")
SERVICE_PREFIX = "/services/"


@attrs.frozen
class BatchLine:
    """One checked line of a batch file."""

    custom_id: str
    url: str
    body: dict

    @property
    def model(self):
        """Model that the line names; empty for a plain service."""
        return self.body.get("model", "") if self.url in MODEL_ENDPOINTS else ""


def parse_line(data, number):
    """Return one line as a BatchLine; raise UserError that names it."""
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise _bad(number, f"is not valid JSON: {error}") from error
    if not isinstance(value, dict):
        raise _bad(number, "is not a JSON object")
    custom_id = value.get("custom_id")
    if not isinstance(custom_id, str) or not custom_id:
        raise _bad(number, "custom_id must be a non-empty string")
    if value.get("method") != "POST":
        raise _bad(number, "method must be POST")
    url, body = value.get("url"), value.get("body")
    if url not in MODEL_ENDPOINTS and not _is_service_url(url):
        raise _bad(number, f"url {url!r} is not supported")
    if not isinstance(body, dict):
        raise _bad(number, "body must be a JSON object")
    if url in MODEL_ENDPOINTS and not isinstance(body.get("model"), str):
        raise _bad(number, "body.model must be a string")
    return BatchLine(custom_id, url, body)


def _is_service_url(url):
    return isinstance(url, str) and url.startswith(SERVICE_PREFIX)


def _bad(number, reason):
    return UserError(
        f"line {number}: {reason}", code="invalid_batch_file", param=f"line {number}"
    )


@attrs.define
class BatchFileChecker:
    """Checks the lines of one file in order and collects what they name."""

    max_items: int
    models: set = attrs.field(factory=set)
    endpoints: set = attrs.field(factory=set)
    items: int = 0
    _line_by_custom_id: dict = attrs.field(factory=dict)

    def check(self, data, number):
        """Check the line with a number; raise UserError that names it."""
        self.items += 1
        if self.items > self.max_items:
            raise _bad(number, f"the file has more than {self.max_items} items")
        line = parse_line(data, number)
        first = self._line_by_custom_id.setdefault(line.custom_id, number)
        if first != number:
            raise _bad(
                number, f"custom_id {line.custom_id!r} repeats that of line {first}"
            )
        self.endpoints.add(line.url)
        if line.model:
            self.models.add(line.model)
