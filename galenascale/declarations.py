"""Declarations in JSON files: reading, strict checks and differences.

A directory is refused as a whole at its first mistake, with the file, the JSON
path and the reason, so that nothing half-checked is ever published.
"""

import re
from pathlib import Path
from urllib.parse import urlsplit

import attrs
import orjson

from galenascale.configuration import DECLARATION_TYPES
from galenascale.errors import UserError
from galenascale.generated.messages import ConfigEntry
from galenascale.settings_files import read_json, structure

DIGEST = re.compile(r"[0-9a-f]{64}")
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,199}")
READS_DECLARATION_VERSION = 1
SERVER_ROLES = ("mixed", "prefill", "decode")
MAX_I32 = 2**31 - 1
MAX_I64 = 2**63 - 1
# Fields that must be at least 1; other numbers must not be negative.
POSITIVE_FIELDS = frozenset({"max_attempts", "slots", "share", "default_deadline_s"})


@attrs.frozen
class Declaration:
    """One checked declaration and where it was read."""

    kind: str
    name: str
    data: dict
    value: object
    source: str

    @property
    def key(self):
        """Kind and name, the key of the entry in force."""
        return self.kind, self.name


@attrs.frozen
class FieldChange:
    """Old and new value of one field; None stands for a missing one."""

    field: str
    old: object
    new: object


@attrs.frozen
class Difference:
    """How a set of declarations differs from the configuration in force."""

    added: tuple = ()
    # (key, tuple of FieldChange)
    changed: tuple = ()
    deleted: tuple = ()
    entries: tuple = ()


def read_directory(path):
    """Return the declarations in the JSON files below a directory."""
    root = Path(path)
    if not root.is_dir():
        raise UserError(f"{path}: not a directory", step="declarations")
    found = []
    for file in sorted(root.rglob("*.json")):
        found.extend(read_file(file))
    check_set(found)
    return found


def read_file(path):
    """Return the declarations in one JSON file, each checked by itself."""
    value = read_json(path)
    if not isinstance(value, list):
        return [parse(value, str(path), "$")]
    return [parse(item, str(path), f"$[{at}]") for at, item in enumerate(value)]


def _refuse(source, reason):
    raise UserError(f"{source}: {reason}", step="declarations")


def parse(data, source, path="$"):
    """Return one checked declaration from JSON data."""
    where = f"{source}: {path}"
    if not isinstance(data, dict):
        _refuse(where, "must be an object")
    kind = data.get("kind")
    if not isinstance(kind, str) or kind not in DECLARATION_TYPES:
        _refuse(f"{where}.kind", f"must be one of {', '.join(DECLARATION_TYPES)}")
    try:
        value = structure(data, DECLARATION_TYPES[kind], source)
    except UserError as error:
        raise UserError(
            error.message.replace(f"{source}: $", where, 1), step="declarations"
        ) from error
    for field, reason in _problems(value):
        _refuse(f"{where}.{field}", reason)
    return Declaration(kind, value.name, data, value, where)


def _problems(value):
    if value.schema_version != READS_DECLARATION_VERSION:
        yield "schema_version", f"must be {READS_DECLARATION_VERSION}"
    if not NAME.fullmatch(value.name):
        yield "name", "must be 1 to 200 letters, digits or . _ : / -"
    yield from _number_problems(value)
    yield from CHECKS_BY_KIND[value.kind](value)


def _number_problems(value, prefix=""):
    for field in attrs.fields(type(value)):
        item = getattr(value, field.name)
        if isinstance(item, bool) or not isinstance(item, int | float):
            continue
        if field.name in POSITIVE_FIELDS and item <= 0:
            yield prefix + field.name, "must be greater than 0"
        if item < 0:
            yield prefix + field.name, "must not be negative"
        limit = MAX_I64 if field.name.endswith("_bytes") else MAX_I32
        if item > limit:
            yield prefix + field.name, f"must be at most {limit}"


def _service_problems(value):
    if value.type not in ("engine", "plain"):
        yield "type", "must be engine or plain"
    if value.retry_budget > 1:
        yield "retry_budget", "must be at most 1"
    if value.non_idempotent_paths and value.type != "plain":
        yield "non_idempotent_paths", "is allowed only for a plain service"
    for at, item in enumerate(value.non_idempotent_paths):
        if not item.startswith("/"):
            yield f"non_idempotent_paths[{at}]", "must start with /"


def _model_problems(value):
    names = [version.name for version in value.versions]
    for at, version in enumerate(value.versions):
        if not NAME.fullmatch(version.name):
            yield f"versions[{at}].name", "is not a valid name"
        yield from _number_problems(version, f"versions[{at}].")
    yield from _repeated("versions", names)
    if value.versions and not any(version.weight for version in value.versions):
        yield "versions", "at least one weight must be greater than 0"
    yield from _repeated("adapters", value.adapters)
    for at, name in enumerate(value.adapters):
        if not NAME.fullmatch(name):
            yield f"adapters[{at}]", "is not a valid name"


def _repeated(field, names):
    for at, name in enumerate(names):
        if name in names[:at]:
            yield f"{field}[{at}]", f"repeats {name!r}"


def _tenant_problems(value):
    for at, digest in enumerate(value.key_digests):
        if not DIGEST.fullmatch(digest):
            yield f"key_digests[{at}]", "must be 64 lower-case hex digits"
    yield from _repeated("key_digests", value.key_digests)


def _server_problems(value):
    try:
        url = urlsplit(value.url)
        valid = url.scheme in ("http", "https") and url.hostname and url.port != 0
    except ValueError:
        valid = False
    if not valid:
        yield "url", "must be an http or https URL with a host"
    elif url.username or url.password or url.query or url.fragment:
        yield "url", "must have no credentials, query or fragment"
    if not value.failure_domain:
        yield "failure_domain", "must not be empty"
    if value.role not in SERVER_ROLES:
        yield "role", f"must be one of {', '.join(SERVER_ROLES)}"


CHECKS_BY_KIND = {
    "service": _service_problems,
    "model": _model_problems,
    "tenant": _tenant_problems,
    "backend_server": _server_problems,
}


def check_set(declarations):
    """Raise UserError for repeated names and digests or missing services."""
    by_key, owners = {}, {}
    for item in declarations:
        if item.key in by_key:
            _refuse(f"{item.source}.name", f"repeats {by_key[item.key].source}")
        by_key[item.key] = item
        for at, digest in enumerate(getattr(item.value, "key_digests", ())):
            if digest in owners:
                _refuse(f"{item.source}.key_digests[{at}]", f"repeats {owners[digest]}")
            owners[digest] = item.source
    for item in declarations:
        service = getattr(item.value, "service_name", None)
        if service is not None and ("service", service) not in by_key:
            _refuse(
                f"{item.source}.service_name", f"service {service!r} does not exist"
            )
    return by_key


def _normal(data):
    """Return the JSON data with the defaults filled in."""
    kind = DECLARATION_TYPES.get(data.get("kind"))
    return {**attrs.asdict(kind()), **data} if kind else data


def difference(declarations, json_by_key):
    """
    Compare declarations with the JSON texts in force by (kind, name).

    Entries of kinds that this release does not know are left alone.
    """
    added, changed, entries = [], [], []
    wanted = {item.key: item for item in declarations}
    for key, item in wanted.items():
        if key not in json_by_key:
            added.append(key)
        else:
            fields = _field_changes(json_by_key[key], item.data)
            if not fields:
                continue
            changed.append((key, fields))
        entries.append(ConfigEntry(*key, orjson.dumps(item.data).decode()))
    deleted = [
        key for key in json_by_key if key not in wanted and key[0] in DECLARATION_TYPES
    ]
    entries.extend(ConfigEntry(*key, deleted=True) for key in deleted)
    return Difference(tuple(added), tuple(changed), tuple(deleted), tuple(entries))


def _field_changes(old_json, data):
    try:
        old = orjson.loads(old_json)
        old = _normal(old if isinstance(old, dict) else {})
    except orjson.JSONDecodeError:
        old = {}
    new = _normal(data)
    return tuple(
        FieldChange(name, old.get(name), new.get(name))
        for name in sorted(old.keys() | new.keys())
        if old.get(name) != new.get(name)
    )
