"""Loading of JSON files and validation against attrs classes."""

from pathlib import Path

import attrs
import cattrs
import orjson
from cattrs.cols import is_sequence, list_structure_factory
from cattrs.errors import ClassValidationError, ForbiddenExtraKeysError
from cattrs.gen import make_dict_structure_fn

from galenascale.errors import UserError


def _make_scalar_hook(expected):
    """Return a structure hook that rejects values of other JSON types."""

    def structure(value, _):
        if isinstance(value, bool) and expected is not bool:
            raise TypeError(f"expected {expected.__name__}, not bool")
        if expected is float and isinstance(value, int):
            return float(value)
        if not isinstance(value, expected):
            raise TypeError(f"expected {expected.__name__}, not {type(value).__name__}")
        return value

    return structure


def _make_list_hook(target_type, converter):
    """Return a structure hook that rejects strings in place of lists."""
    structure_items = list_structure_factory(target_type, converter)

    def structure(value, target_type):
        if not isinstance(value, list):
            raise TypeError(f"expected list, not {type(value).__name__}")
        return structure_items(value, target_type)

    return structure


def _make_converter():
    converter = cattrs.Converter(forbid_extra_keys=True)
    for target_type in (bool, int, float, str):
        converter.register_structure_hook(target_type, _make_scalar_hook(target_type))
    converter.register_structure_hook_factory(
        is_sequence, lambda target_type: _make_list_hook(target_type, converter)
    )
    converter.register_structure_hook_factory(
        attrs.has,
        lambda target_type: make_dict_structure_fn(
            target_type, converter, _cattrs_forbid_extra_keys=True
        ),
    )
    return converter


CONVERTER = _make_converter()


def describe_errors(error, path="$"):
    """Yield (JSON path, reason) of each error in a validation error."""
    if isinstance(error, ForbiddenExtraKeysError):
        for key in sorted(error.extra_fields):
            yield f"{path}.{key}", "unknown field"
        return
    if not hasattr(error, "exceptions"):
        yield path, str(error).strip("'\"") or type(error).__name__
        return
    group_by_note = getattr(error, "group_exceptions", None)
    if group_by_note is None or not isinstance(error, ClassValidationError):
        for inner in error.exceptions:
            note = _index_note(inner)
            yield from describe_errors(inner, f"{path}{note}")
        return
    errors_with_notes, errors_without_notes = group_by_note()
    for inner, note in errors_with_notes:
        yield from describe_errors(inner, f"{path}.{note.name}")
    for inner in errors_without_notes:
        yield from describe_errors(inner, path)


def _index_note(error):
    for note in getattr(error, "__notes__", ()):
        if hasattr(note, "index"):
            return f"[{note.index!r}]"
    return ""


def structure(data, target_type, source):
    """
    Return the instance of an attrs class that decoded JSON describes.

    Raise UserError with the source, the JSON path and the reason.
    """
    try:
        return CONVERTER.structure(data, target_type)
    except Exception as error:
        path, reason = next(describe_errors(error))
        raise UserError(f"{source}: {path}: {reason}", step="settings") from error


def read_json(path):
    """Return the JSON value of a file; raise UserError if it is unreadable."""
    try:
        return orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}", step="settings") from error
    except orjson.JSONDecodeError as error:
        raise UserError(f"{path}: not valid JSON: {error}", step="settings") from error


def load_json_settings(path, target_type):
    """Return an instance of an attrs class from a validated JSON file."""
    return structure(read_json(path), target_type, str(path))
