"""`galenascale apply`: publish the declarations of a directory."""

import getpass
import sys
import uuid

import orjson

from galenascale import operator_client
from galenascale.commands.plan import (
    Directory,
    HostUrl,
    OperatorKey,
    compare_with_host,
    print_difference,
)
from galenascale.store import StoreOutcomeUnknown

EXIT_CONFLICT = 1
EXIT_OUTCOME_UNKNOWN = 3


def apply(
    directory: Directory,
    *,
    host: HostUrl,
    operator_key: OperatorKey,
    base: int | None = None,
    message: str = "",
    restart: bool = False,
):
    """
    Publish declarations; exit with 1 on a conflict, 3 if it is not known.

    Parameters
    ----------
    base
        Refuse the change unless exactly this version is in force.
    message
        Reason of the change, kept in the log.
    restart
        Start the stream over with exactly these declarations. Only for a
        stream that has lost its snapshot, when `status` shows `has_gap` on a
        host and no peer has the configuration.
    """
    current, difference = compare_with_host(directory, host, operator_key)
    version = current["version"]
    print_difference(version, difference)
    if base is not None and base != version:
        changed = [
            f"{item['kind']}/{item['name']}"
            for item in current["entries"]
            if item["changed_version"] > base
        ]
        _exit_with_conflict(f"version {version} is in force, not {base}", changed)
    if not difference.entries:
        return
    body = {
        "base_version": version,
        "entries": [_to_json(item) for item in difference.entries],
        "author": _current_user(),
        "message": message,
        "change_id": uuid.uuid4().hex,
        "strict": base is not None,
        "restart": restart,
    }
    try:
        status, answer = operator_client.post_change(host, operator_key, body)
    except StoreOutcomeUnknown as error:
        print(f"unknown: change {body['change_id']}: {error.message}", file=sys.stderr)
        raise SystemExit(EXIT_OUTCOME_UNKNOWN) from error
    if status == operator_client.CONFLICT_STATUS:
        _exit_with_conflict(
            f"version {answer['version']} is in force", answer["changed"]
        )
    print(f"accepted as version {answer['version']}")


def _exit_with_conflict(reason, changed):
    names = ", ".join(changed) or "deletions only"
    print(f"conflict: {reason}; changed since: {names}", file=sys.stderr)
    raise SystemExit(EXIT_CONFLICT)


def _to_json(entry):
    declaration = None if entry.deleted else orjson.loads(entry.json)
    return {
        "kind": entry.kind,
        "name": entry.name,
        "declaration": declaration,
        "deleted": entry.deleted,
    }


def _current_user():
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""
