"""docs/OPERATIONS.md documents the gateway's log events and metrics."""

import ast
import re
from pathlib import Path

from galenascale.gateway.metrics import GatewayMetrics

ROOT = Path(__file__).resolve().parent.parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()


def events_in(tree):
    """Return the names of the events that a module logs literally."""
    found = set()
    for node in ast.walk(tree):
        if not (isinstance(node, ast.Call) and node.args):
            continue
        if getattr(node.func, "attr", "") in ("write", "_append"):
            name = node.args[0]
            if isinstance(name, ast.Constant) and isinstance(name.value, str):
                found.add(name.value)
    return found


def test_page_documents_every_event():
    """Guards operators against undocumented log events."""
    events = {"server_added", "server_draining", "server_removed"}
    for path in (ROOT / "galenascale" / "gateway").rglob("*.py"):
        events |= events_in(ast.parse(path.read_text()))
    assert len(events) > 30
    missing = {event for event in events if f"`{event}`" not in PAGE}
    assert missing == set()


def test_page_documents_every_metric():
    """Guards operators against missing or outdated metric names."""
    names = {
        family.name + ("_total" if family.type == "counter" else "")
        for family in GatewayMetrics().registry.collect()
    }
    rows = set(re.findall(r"^\| `(galenascale_\w+)` \|", PAGE, re.M))
    assert rows == names
