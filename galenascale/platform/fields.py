"""Parsing of JSON objects and typed access to their fields."""

import orjson

from galenascale.errors import DecodeError

_MISSING = object()


def parse_json_object(data, description):
    """
    Return the JSON object in the bytes.

    Raise DecodeError, which names the data by `description`, for anything
    else.
    """
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise DecodeError(
            f"{description} is not valid JSON: {error}", step="decode"
        ) from error
    if not isinstance(value, dict):
        raise DecodeError(f"{description} is not a JSON object", step="decode")
    return value


def get_field(fields, name, expected_type, default=_MISSING):
    """
    Return the value of a field, or the default if the field is missing.

    An integer is accepted as a float; a boolean is not accepted as a number.
    Raise DecodeError for a value of another type, and for a missing field
    without a default.
    """
    value = fields.get(name, default)
    if value is _MISSING:
        raise DecodeError(f"field {name} is missing", step="decode")
    if value is default and name not in fields:
        return value
    if expected_type is float and type(value) is int:
        return float(value)
    if type(value) is not expected_type:
        raise DecodeError(
            f"field {name} is {type(value).__name__}, not {expected_type.__name__}",
            step="decode",
        )
    return value


def get_ms_as_seconds(fields, name, default=_MISSING):
    """Return a field in milliseconds as seconds; a default is in ms too."""
    value = get_field(fields, name, float, default)
    return value / 1000 if value is not None else None
