"""`galenascale plan`: show how declarations differ from what is in force."""

from typing import Annotated

import cyclopts
import orjson

from galenascale import declarations, operator_client

Directory = Annotated[
    str, cyclopts.Parameter(help="Directory of JSON files with declarations.")
]
HostUrl = Annotated[str, cyclopts.Parameter(help="URL of an entry host.")]
OperatorKey = Annotated[
    str,
    cyclopts.Parameter(env_var="GALENASCALE_OPERATOR_KEY", help="Key of an operator."),
]


def plan(directory: Directory, *, host: HostUrl, operator_key: OperatorKey):
    """Show what `apply` would change."""
    answer, difference = compare_with_host(directory, host, operator_key)
    print_difference(answer["version"], difference)


def compare_with_host(directory, host, operator_key):
    """Return a host's configuration and how a directory differs from it."""
    wanted = declarations.read_directory(directory)
    _, answer = operator_client.call(host, operator_key, "/operator/v1/config")
    json_by_key = {
        (item["kind"], item["name"]): item["json"] for item in answer["entries"]
    }
    return answer, declarations.difference(wanted, json_by_key)


def print_difference(version, difference):
    """Print the version, and one line per changed entry and field."""
    print(f"version in force: {version}")
    for kind, name in difference.added:
        print(f"+ {kind}/{name}")
    for (kind, name), fields in difference.changed:
        print(f"~ {kind}/{name}")
        for item in fields:
            print(f"    {item.field}: {_format(item.old)} -> {_format(item.new)}")
    for kind, name in difference.deleted:
        print(f"- {kind}/{name}")
    if not difference.entries:
        print("no difference")


def _format(value):
    return orjson.dumps(value).decode()
