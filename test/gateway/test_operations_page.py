"""docs/OPERATIONS.md names the log events and metrics of the gateway."""

import ast
import re
from pathlib import Path

from galenascale.gateway.metrics import GatewayMetrics

ROOT = Path(__file__).resolve().parent.parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()


def events_in(tree):
    """Return the names of the events that a module logs."""
    found = set()
    for node in ast.walk(tree):
        if not (isinstance(node, ast.Call) and node.args):
            continue
        if getattr(node.func, "attr", "") in ("write", "_append"):
            name = node.args[0]
            if isinstance(name, ast.Constant) and isinstance(name.value, str):
                found.add(name.value)
    return found


def test_page_names_every_event():
    """Guards engineers on call against lines that no page explains."""
    events = {"server_added", "server_draining", "server_removed"}
    for path in (ROOT / "galenascale" / "gateway").rglob("*.py"):
        events |= events_in(ast.parse(path.read_text()))
    assert len(events) > 30
    missing = {event for event in events if f"`{event}`" not in PAGE}
    assert missing == set()


def test_page_names_every_metric():
    """Guards dashboards against names that the page does not have."""
    names = {
        family.name + ("_total" if family.type == "counter" else "")
        for family in GatewayMetrics().registry.collect()
    }
    rows = set(re.findall(r"^\| `(galenascale_\w+)` \|", PAGE, re.M))
    assert rows == names
