"""`galenascale status`: what one host sees of the deployment."""

import orjson

from galenascale import operator_client
from galenascale.commands.plan import HostUrl, OperatorKey


def status(*, host: HostUrl, operator_key: OperatorKey, json: bool = False):
    """
    Print hosts, configuration and backend servers as one host sees them.

    Parameters
    ----------
    json
        Print the answer as JSON.
    """
    _, answer = operator_client.call(host, operator_key, "/operator/v1/status")
    if json:
        print(orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())
        return
    state = "stopping" if answer["stopping"] else "not ready"
    state = "ready" if answer["ready"] else state
    print(f"seen by {answer['host_id']} in {answer['failure_domain']}, {state}")
    print(_format_table([answer["members"]]))
    print(_format_table([answer["config"]]))
    for name in ("hosts", "servers"):
        print(f"\n{name}")
        print(_format_table(answer[name]) if answer[name] else "none known")


def _format_table(rows):
    """Format dicts as rows of a table with aligned columns."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    lines = [names] + [[_format_cell(row.get(name)) for name in names] for row in rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(names))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )


def _format_cell(value):
    if value is None:
        return "-"
    return f"{value:.1f}" if isinstance(value, float) else str(value)
