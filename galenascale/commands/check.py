"""`galenascale check`: validate settings, declarations or a configuration."""

import asyncio
import sys
from pathlib import Path

import attrs
import orjson

from galenascale import declarations
from galenascale.commands.gateway import make_adapter
from galenascale.errors import GalenascaleError, UserError
from galenascale.generated.gateway_messages import StoreSettings
from galenascale.settings import load_settings
from galenascale.settings_files import read_json

EXIT_PROBLEMS = 1


def check(path: str, *, in_force: str | None = None, json: bool = False):
    """
    Validate settings, declarations, or a configuration of gateways.

    A configuration is decoded as hosts do it. Entries that serve nobody and
    limits that contradict each other are listed, with the changes to the one
    in force. The exit status is 1 if there is an error, and 2 if a file or the
    store cannot be read.

    Parameters
    ----------
    path
        File or directory. References are checked only in a directory, as one
        file need not hold all declarations.
    in_force
        Configuration that hosts have: a file, or the address of the store,
        such as 10.0.0.1:8080.
    json
        Print what was found as one line of JSON.
    """
    if Path(path).is_dir():
        entries = declarations.read_directory(path)
        print(f"{path}: {len(entries)} declarations are valid")
        return
    content = read_json(path)
    adapter = make_adapter()
    if adapter.dialect.describes_configuration(content):
        _check_configuration(adapter, path, in_force, json)
        return
    if isinstance(content, dict) and "kind" not in content:
        load_settings(path)
        print(f"{path}: settings are valid")
        return
    entries = declarations.read_file(path)
    print(f"{path}: {len(entries)} declarations are valid")


def _check_configuration(adapter, path, in_force, json):
    from galenascale.gateway.configuration_check import (
        Level,
        Problem,
        find_changes,
        find_problems,
    )

    former = None if in_force is None else _read_in_force(adapter, in_force)
    changes = []
    try:
        configuration = adapter.dialect.decode_configuration(Path(path).read_bytes())
    except GalenascaleError as error:
        problems = [Problem(Level.ERROR, "configuration", error.message)]
    else:
        problems = find_problems(configuration, former)
        if former is not None:
            changes = find_changes(former, configuration)
    _print_report(path, problems, changes, json)
    if any(problem.level is Level.ERROR for problem in problems):
        sys.exit(EXIT_PROBLEMS)


def _print_report(path, problems, changes, json):
    if json:
        report = {
            "problems": [
                attrs.asdict(problem) | {"level": problem.level.value}
                for problem in problems
            ],
            "changes": [attrs.asdict(change) for change in changes],
        }
        print(orjson.dumps(report).decode())
        return
    for problem in problems:
        print(f"{path}: {problem.level.value}: {problem.subject}: {problem.text}")
    for change in changes:
        values = ""
        if change.before is not None or change.after is not None:
            values = f": {change.before!r} -> {change.after!r}"
        print(f"{path}: change: {change.subject}: {change.what}{values}")
    print(f"{path}: {len(problems)} problems, {len(changes)} changes")


def _read_in_force(adapter, source):
    """Return the Configuration in a file, or in the store at an address."""
    if Path(source).exists():
        data = Path(source).read_bytes()
    else:
        host, _, port = source.rpartition(":")
        if not host or not port.isdecimal():
            raise UserError(f"{source}: neither a file nor an address", step="check")
        data = asyncio.run(_read_from_store(adapter, source))
    return adapter.dialect.decode_configuration(data)


async def _read_from_store(adapter, address):
    names = adapter.names
    async with adapter.make_session() as session:
        store = adapter.make_store(StoreSettings(address=address), session)
        records, _ = await store.read_latest(names.configuration_topic)
    for record in records:
        if record.key == names.configuration_key:
            return record.value
    raise UserError(f"store at {address} has no configuration", step="check")
