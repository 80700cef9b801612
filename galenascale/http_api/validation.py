"""Checks of completion bodies; each refusal names the field."""

from galenascale.errors import UserError

MAX_STOP_SEQUENCES = 4


def _integer(low, high=None):
    def check(value):
        if isinstance(value, bool) or not isinstance(value, int):
            return "must be an integer"
        if value < low or (high is not None and value > high):
            return f"must be from {low} to {high}" if high else f"must be >= {low}"
        return None

    return check


def _number(low, high):
    def check(value):
        if isinstance(value, bool) or not isinstance(value, int | float):
            return "must be a number"
        return None if low <= value <= high else f"must be from {low} to {high}"

    return check


def _of_type(kind, name):
    return lambda value: None if isinstance(value, kind) else f"must be {name}"


def _only(expected, reason):
    return lambda value: None if value == expected else reason


def _stop(value):
    if isinstance(value, str):
        return None
    if (
        isinstance(value, list)
        and len(value) <= MAX_STOP_SEQUENCES
        and all(isinstance(item, str) for item in value)
    ):
        return None
    return f"must be a string or a list of up to {MAX_STOP_SEQUENCES} strings"


def _stream_options(value):
    if not isinstance(value, dict):
        return "must be an object"
    if not isinstance(value.get("include_usage", False), bool):
        return "include_usage must be a boolean"
    return None


def _prompt(value):
    if isinstance(value, str) and value:
        return None
    if isinstance(value, list) and len(value) == 1 and isinstance(value[0], str):
        return None
    return "must be a string that is not empty, or a list of one string"


def _messages(value):
    if not isinstance(value, list) or not value:
        return "must be a list that is not empty"
    for index, message in enumerate(value):
        if not isinstance(message, dict):
            return f"[{index}] must be an object"
        if not isinstance(message.get("role"), str):
            return f"[{index}].role must be a string"
        if not isinstance(message.get("content"), str | list | None):
            return f"[{index}].content must be a string, a list or null"
    return None


# One stream carries one answer, so that it can be resumed elsewhere.
_ONE_ANSWER = _only(1, "must be 1")
_CHECKS = {
    "model": _of_type(str, "a string"),
    "version": _of_type(str, "a string"),
    "adapter": _of_type(str, "a string"),
    "stream": _of_type(bool, "a boolean"),
    "stream_options": _stream_options,
    "max_tokens": _integer(1),
    "max_completion_tokens": _integer(1),
    "n": _ONE_ANSWER,
    "best_of": _ONE_ANSWER,
    "temperature": _number(0, 2),
    "top_p": _number(0, 1),
    "presence_penalty": _number(-2, 2),
    "frequency_penalty": _number(-2, 2),
    "seed": _integer(-(2**63), 2**63 - 1),
    "stop": _stop,
    "user": _of_type(str, "a string"),
    "messages": _messages,
    "prompt": _prompt,
}
_REQUIRED_BY_ENDPOINT = {
    "/v1/chat/completions": ("model", "messages"),
    "/v1/completions": ("model", "prompt"),
}
# Fields of the contract with backend servers that callers must not set.
_RESERVED = ("resume_from",)


def check_completion(endpoint, body):
    """Raise UserError for the first field that cannot be served."""
    for name in _REQUIRED_BY_ENDPOINT[endpoint]:
        if body.get(name) is None:
            raise _invalid(name, "is required", "missing_field")
    for name in _RESERVED:
        if name in body:
            raise _invalid(name, "is reserved", "invalid_field")
    for name, value in body.items():
        check = _CHECKS.get(name)
        # The client library sends null for parameters that are unset.
        if check and value is not None and (reason := check(value)):
            raise _invalid(name, reason, "invalid_field")


def _invalid(name, reason, code):
    joint = "" if reason.startswith("[") else " "
    return UserError(f"{name}{joint}{reason}", code=code, param=name)
