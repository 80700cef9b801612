"""Each command rejects bad input with one line on stderr and exit code 2."""

import json
import socket

import pytest

from test.commands.test_operators import run_command
from test.processes import running

BATCH_ITEM = {
    "custom_id": "a",
    "method": "POST",
    "url": "/v1/chat/completions",
    "body": {"model": "assist", "messages": [{"role": "user", "content": "x"}]},
}
MISSING_TLS_FILES = dict.fromkeys(("certificate", "private_key", "ca"), "none.pem")
HOST_SETTINGS = {
    "host_id": "h",
    "failure_domain": "d",
    "platform_url": "http://127.0.0.1:1",
    "peer_secret": "0123456789abcdef",
}
FILES = {
    "item.jsonl": json.dumps(BATCH_ITEM),
    "no-url.jsonl": "[1]",
    "no-json.jsonl": "\udcff{",
    "bad-item.jsonl": json.dumps(BATCH_ITEM | {"body": 1}),
    "no-model.jsonl": json.dumps(
        BATCH_ITEM | {"body": BATCH_ITEM["body"] | {"model": "none"}}
    ),
    "empty.jsonl": "",
    "host.json": json.dumps(HOST_SETTINGS),
    "no-secret.json": json.dumps(HOST_SETTINGS | {"peer_secret": "short"}),
    "colour.json": json.dumps(HOST_SETTINGS | {"colour": 1}),
    "busy.json": json.dumps(HOST_SETTINGS | {"port": 0}),
    "address.json": json.dumps(HOST_SETTINGS | {"listen_address": "192.0.2.1"}),
    "level.json": json.dumps(HOST_SETTINGS | {"log_level": "loud"}),
    "tls.json": json.dumps(HOST_SETTINGS | {"tls": MISSING_TLS_FILES}),
    "peer-tls.json": json.dumps(HOST_SETTINGS | {"peer_tls": MISSING_TLS_FILES}),
    "no-key.json": json.dumps(HOST_SETTINGS | {"tls": {"certificate": "none.pem"}}),
    "no-ca.json": json.dumps(
        HOST_SETTINGS | {"peer_tls": MISSING_TLS_FILES | {"ca": ""}}
    ),
    "list.json": "[]",
    "engine.json": json.dumps({"slots": "8"}),
}
TENANT_OPTIONS = ["--host", "URL", "--key", "KEY"]
OPERATOR_OPTIONS = ["--host", "URL", "--operator-key", "OPERATOR"]
# Arguments and expected part of the error line. URL, KEY and OPERATOR are
# replaced by the values of a running deployment.
CASES = [
    (["none"], "none"),
    (["serve"], "settings"),
    (["serve", "--settings", "none.json"], "none.json: No such file"),
    (["serve", "--settings", "no-secret.json"], "$.peer_secret"),
    (["serve", "--settings", "colour.json"], "$.colour: unknown field"),
    (["serve", "--settings", "list.json"], "list.json"),
    (["serve", "--settings", "busy.json"], "address already in use"),
    (["serve", "--settings", "address.json"], "192.0.2.1"),
    (["serve", "--settings", "level.json"], "loud"),
    (["serve", "--settings", "tls.json"], "none.pem"),
    (["serve", "--settings", "peer-tls.json"], "none.pem"),
    (["serve", "--settings", "no-key.json"], "$.tls.private_key: must be given"),
    (["serve", "--settings", "no-ca.json"], "$.peer_tls.ca: must be given"),
    (["standin", "engine", "--settings", "engine.json"], "$.slots"),
    (["standin", "plain", "--settings", "none.json"], "No such file"),
    (["standin", "platform", "--settings", "colour.json"], "unknown field"),
    (["standin", "none"], "none"),
    (["dev", "--deployment", "none"], "none/deployment.json"),
    (["dev", "--port", "x"], "--port"),
    (["dev", "--port", "99999"], "0-65535"),
    (["dev", "--log-level", "loud"], "loud"),
    (["demo", "--deployment", "none"], "none/deployment.json"),
    (["check", "none.json"], "No such file"),
    (["check", "colour.json"], "$.colour"),
    (["plan", "none", *OPERATOR_OPTIONS], "none"),
    (["plan", "."], "--host"),
    (["apply", "none", *OPERATOR_OPTIONS], "none"),
    (["apply", ".", *OPERATOR_OPTIONS, "--base", "x"], "--base"),
    (["status", *OPERATOR_OPTIONS[:2], "--operator-key", "wrong"], "operator key"),
    (["status", "--host", "none", *OPERATOR_OPTIONS[2:]], "none"),
    (["batch", "submit", *TENANT_OPTIONS], "--file"),
    (["batch", "submit", "none.jsonl", *TENANT_OPTIONS], "none.jsonl: No such file"),
    (["batch", "submit", "no-url.jsonl", *TENANT_OPTIONS], "line 1 names no url"),
    (["batch", "submit", "no-json.jsonl", *TENANT_OPTIONS], "line 1 names no url"),
    (["batch", "submit", "empty.jsonl", *TENANT_OPTIONS], "line 1 names no url"),
    (["batch", "submit", "bad-item.jsonl", *TENANT_OPTIONS], "line 1: body"),
    (
        ["batch", "submit", "no-model.jsonl", *TENANT_OPTIONS],
        "(model_not_found, not_run)",
    ),
    (["batch", "submit", "item.jsonl", *TENANT_OPTIONS, "--window", "x"], "24h"),
    (
        ["batch", "submit", "item.jsonl", *TENANT_OPTIONS[:2], "--key", "x"],
        "invalid_api_key",
    ),
    (["batch", "submit", "item.jsonl", "--host", "none", *TENANT_OPTIONS[2:]], "none"),
    (
        ["batch", "submit", "item.jsonl", "--host", "http://127.0.0.1:1", "--key", "k"],
        "",
    ),
    (["batch", "status", "none", *TENANT_OPTIONS], "'none' does not exist (not_found"),
    (["batch", "status", "none", "--key", "k"], "--host"),
    (["batch", "status", "none", "--host", "none", "--key", "k"], "none"),
    (["batch", "cancel", "none", *TENANT_OPTIONS], "'none' does not exist (not_found"),
    (["batch", "results", "none", *TENANT_OPTIONS], "'none' does not exist (not_found"),
    (["batch", "results", "none", "--host", "none", "--key", "k"], "none"),
    (
        ["batch", "results", "none", *TENANT_OPTIONS[:2], "--key", "x"],
        "invalid_api_key",
    ),
]


@pytest.fixture(scope="module")
def deployment_values():
    """Yield the values that replace placeholders in the arguments."""
    with running("dev", "--port", "0", "--log-level", "info") as process:
        summary = json.loads(process.stdout.readline())
        yield {
            "URL": summary["entry_hosts"][0]["url"],
            "KEY": summary["caller_key"],
            "OPERATOR": summary["operator_key"],
        }


@pytest.mark.parametrize(("arguments", "text"), CASES)
def test_bad_input_is_one_line(
    deployment_values, tmp_path, monkeypatch, capsys, arguments, text
):
    """Guards operators and scripts against tracebacks and other exit codes."""
    for name, content in FILES.items():
        (tmp_path / name).write_text(content, errors="surrogateescape")
    monkeypatch.chdir(tmp_path)
    with socket.create_server(("127.0.0.1", 0)) as busy:
        port = busy.getsockname()[1]
        (tmp_path / "busy.json").write_text(json.dumps(HOST_SETTINGS | {"port": port}))
        actual_arguments = [
            deployment_values.get(argument, argument) for argument in arguments
        ]
        code = run_command(actual_arguments)
    output = capsys.readouterr()
    assert (code, output.out) == (2, "")
    lines = [
        line for line in output.err.splitlines() if line.startswith("galenascale:")
    ]
    assert len(lines) == 1 and text in lines[0]
    assert "Traceback" not in output.err
    assert output.err.splitlines()[-1] == lines[0]
