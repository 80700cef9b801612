"""Loading and checking of JSON settings; defaults live in the schema."""

from pathlib import Path

import attrs
import cattrs
import orjson
from cattrs.cols import is_sequence, list_structure_factory
from cattrs.errors import ClassValidationError, ForbiddenExtraKeysError
from cattrs.gen import make_dict_structure_fn

from galenascale.errors import UserError
from galenascale.generated import messages

SETTINGS_VERSION = 1
MIN_SECRET_LENGTH = 16


def _strict(expected):
    """Return a structure hook that refuses values of other JSON types."""

    def structure(value, _):
        if isinstance(value, bool) and expected is not bool:
            raise TypeError(f"expected {expected.__name__}, not bool")
        if expected is float and isinstance(value, int):
            return float(value)
        if not isinstance(value, expected):
            raise TypeError(f"expected {expected.__name__}, not {type(value).__name__}")
        return value

    return structure


def _make_list_hook(kind, converter):
    """Return a structure hook that refuses strings in place of lists."""
    structure_items = list_structure_factory(kind, converter)

    def structure(value, kind):
        if not isinstance(value, list):
            raise TypeError(f"expected list, not {type(value).__name__}")
        return structure_items(value, kind)

    return structure


def _make_converter():
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (bool, int, float, str):
        converter.register_structure_hook(kind, _strict(kind))
    converter.register_structure_hook_factory(
        is_sequence, lambda kind: _make_list_hook(kind, converter)
    )
    converter.register_structure_hook_factory(
        attrs.has,
        lambda kind: make_dict_structure_fn(
            kind, converter, _cattrs_forbid_extra_keys=True
        ),
    )
    return converter


CONVERTER = _make_converter()


def describe_errors(error, path="$"):
    """Yield (JSON path, reason) for each leaf of a validation error."""
    if isinstance(error, ForbiddenExtraKeysError):
        for key in sorted(error.extra_fields):
            yield f"{path}.{key}", "unknown field"
        return
    if not hasattr(error, "exceptions"):
        yield path, str(error).strip("'\"") or type(error).__name__
        return
    by_note = getattr(error, "group_exceptions", None)
    if by_note is None or not isinstance(error, ClassValidationError):
        for inner in error.exceptions:
            note = _index_note(inner)
            yield from describe_errors(inner, f"{path}{note}")
        return
    noted, others = by_note()
    for inner, note in noted:
        yield from describe_errors(inner, f"{path}.{note.name}")
    for inner in others:
        yield from describe_errors(inner, path)


def _index_note(error):
    for note in getattr(error, "__notes__", ()):
        if hasattr(note, "index"):
            return f"[{note.index!r}]"
    return ""


def structure(data, kind, source):
    """
    Return the object of the attrs class that the JSON data describes.

    Raise UserError that names the source, the JSON path and the reason.
    """
    try:
        return CONVERTER.structure(data, kind)
    except Exception as error:
        path, reason = next(describe_errors(error))
        raise UserError(f"{source}: {path}: {reason}", step="settings") from error


def read_json(path):
    """Return the JSON value of a file; raise UserError if there is none."""
    try:
        return orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}", step="settings") from error
    except orjson.JSONDecodeError as error:
        raise UserError(f"{path}: not valid JSON: {error}", step="settings") from error


def load_settings(path, kind=messages.HostSettings):
    """Return checked settings of the given class from a JSON file."""
    settings = structure(read_json(path), kind, str(path))
    if kind is messages.HostSettings:
        check_host_settings(settings, str(path))
    return settings


def check_host_settings(settings, source):
    """Raise UserError for values that cannot work, naming the JSON path."""
    problems = []
    if settings.schema_version != SETTINGS_VERSION:
        problems.append(("schema_version", f"must be {SETTINGS_VERSION}"))
    problems.extend(
        (name, "must not be empty")
        for name in ("host_id", "failure_domain", "platform_url")
        if not getattr(settings, name)
    )
    if len(settings.peer_secret) < MIN_SECRET_LENGTH:
        problems.append(
            ("peer_secret", f"must have at least {MIN_SECRET_LENGTH} characters")
        )
    if not 1 <= settings.log.shards <= 1024:
        problems.append(("log.shards", "must be from 1 to 1024"))
    problems.extend(_placement_problems(settings.placement))
    if settings.log_format not in ("text", "json"):
        problems.append(("log_format", "must be text or json"))
    for section, names in (
        ("tls", ("private_key",)),
        # Both sides of a call between hosts prove who they are.
        ("peer_tls", ("private_key", "ca")),
    ):
        tls = getattr(settings, section)
        problems.extend(
            (f"{section}.{name}", f"must be given with {section}.certificate")
            for name in names
            if tls.certificate and not getattr(tls, name)
        )
    if problems:
        name, reason = problems[0]
        raise UserError(f"{source}: $.{name}: {reason}", step="settings")


def _placement_problems(placement):
    if placement is None:
        return
    # A renewal starts at half of the lease and must end before the margin.
    if placement.lease_ms <= 4 * placement.lease_margin_ms:
        yield "placement.lease_ms", "must be more than 4 times lease_margin_ms"
    if placement.lease_margin_ms < 0:
        yield "placement.lease_margin_ms", "must not be negative"
    for name in ("max_loads", "prefill_tokens_per_s", "kv_tokens_per_s"):
        if getattr(placement, name) <= 0:
            yield f"placement.{name}", "must be greater than 0"
    for name in ("plan_s", "fleet_poll_s", "retry_s"):
        if getattr(placement, name) < 0.05:
            yield f"placement.{name}", "must be at least 0.05"
