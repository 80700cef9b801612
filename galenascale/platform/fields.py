"""Typed reading of fields from decoded JSON objects of the platform."""

import orjson

from galenascale.errors import DecodeError

_MISSING = object()


def parse_json_object(data, what):
    """Return the JSON object in the bytes; raise DecodeError if none."""
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise DecodeError(f"{what} is not JSON: {error}", step="decode") from error
    if not isinstance(value, dict):
        raise DecodeError(f"{what} is not an object", step="decode")
    return value


def get_field(fields, name, kind, default=_MISSING):
    """
    Return the field of a type; raise DecodeError for a missing or other one.

    An integer is accepted where a float is asked for; a boolean is no number.
    """
    value = fields.get(name, default)
    if value is _MISSING:
        raise DecodeError(f"field {name} is missing", step="decode")
    if value is default and name not in fields:
        return value
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise DecodeError(
            f"field {name} is {type(value).__name__}, not {kind.__name__}",
            step="decode",
        )
    return value


def get_ms_as_seconds(fields, name, default=_MISSING):
    """Return a field in milliseconds as seconds."""
    value = get_field(fields, name, float, default)
    return value / 1000 if value is not None else None
