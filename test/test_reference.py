"""docs/reference names the error codes and metrics of the code."""

import ast
import re
from pathlib import Path
from unittest.mock import MagicMock

import prometheus_client

from galenascale.engine_client import _STATUS_BY_CODE as ENGINE_CODES
from galenascale.host_metrics import register_gauges
from galenascale.http_api.errors import _CODE_BY_STATUS as HTTP_CODES
from galenascale.job_results import CODES_BY_STATUS
from galenascale.metrics import Metrics

ROOT = Path(__file__).resolve().parent.parent
REFERENCE = ROOT / "docs" / "reference"
# Places of the code in the arguments of functions that make errors.
CODE_PLACES = {"_refusal": 1, "_unauthorized": 1, "broken": 1, "_invalid": 2}


def text_of(node):
    """Return the string constants that an expression may evaluate to."""
    if isinstance(node, ast.IfExp):
        return text_of(node.body) | text_of(node.orelse)
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return {node.value}
    return set()


def codes_in(tree):
    """Return the codes of errors that a module makes."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Call):
            found.update(*(text_of(k.value) for k in node.keywords if k.arg == "code"))
            name = getattr(node.func, "id", getattr(node.func, "attr", ""))
            place = CODE_PLACES.get(name)
            if place is not None:
                found.update(*map(text_of, node.args[place : place + 1]))
        elif isinstance(node, ast.FunctionDef):
            arguments = node.args.args[len(node.args.args) - len(node.args.defaults) :]
            for argument, default in zip(arguments, node.args.defaults, strict=True):
                if argument.arg == "code":
                    found |= text_of(default)
        elif isinstance(node, ast.ClassDef):
            for item in node.body:
                if isinstance(item, ast.Assign) and item.targets[0].id == "code":
                    found |= text_of(item.value)
    return found


def test_errors_page_names_every_code():
    """Guards callers' handling of codes against undocumented ones."""
    codes = {*ENGINE_CODES, *HTTP_CODES.values()}
    codes |= {code for code, _ in CODES_BY_STATUS.values()}
    for path in (ROOT / "galenascale").rglob("*.py"):
        if "standins" not in path.parts:
            codes |= codes_in(ast.parse(path.read_text()))
    page = (REFERENCE / "errors.md").read_text()
    rows = set(re.findall(r"^\| `(\w+)` \|", page, re.M))
    assert rows == codes


def test_metrics_page_names_every_metric_and_label():
    """Guards dashboards against names that the page does not have."""
    metrics = Metrics()
    # The gauges call the host when they are read; their values don't matter.
    register_gauges(MagicMock(metrics=metrics))
    collectors = [
        collector
        for collector in metrics.registry._collector_to_names
        if isinstance(collector, prometheus_client.metrics.MetricWrapperBase)
    ]
    labels_by_name = {item._name: item._labelnames for item in collectors}
    labels_by_name["galenascale_time_between_tokens_seconds"] = ("class", "tenant")
    expected = {
        (
            family.name + ("_total" if family.type == "counter" else ""),
            family.type,
            labels_by_name[family.name],
        )
        for family in metrics.registry.collect()
    }
    page = (REFERENCE / "metrics.md").read_text()
    rows = re.findall(r"^\| `(\w+)` \| (\w+) \| (.*?) \|", page, re.M)
    assert {
        (name, kind, tuple(re.findall(r"`(\w+)`", labels)))
        for name, kind, labels in rows
    } == expected


def test_readme_names_tests_that_exist():
    """Guards the proof of each promise against renamed tests."""
    text = (ROOT / "README.md").read_text()
    named = re.findall(r"`(test/[\w/]+\.py)::(\w+)`", text)
    assert len(named) >= len(re.findall(r"^\| P\d ", text, re.M)) == 9
    for path, name in named:
        assert re.search(rf"(def|class) {name}\b", (ROOT / path).read_text()), name
