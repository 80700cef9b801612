"""Bad input of each command ends with one line and exit code 2."""

import json
import socket

import pytest

from test.commands.test_operators import run
from test.processes import running

ITEM = {
    "custom_id": "a",
    "method": "POST",
    "url": "/v1/chat/completions",
    "body": {"model": "assist", "messages": [{"role": "user", "content": "x"}]},
}
HOST = {
    "host_id": "h",
    "failure_domain": "d",
    "platform_url": "http://127.0.0.1:1",
    "peer_secret": "0123456789abcdef",
}
FILES = {
    "item.jsonl": json.dumps(ITEM),
    "no-url.jsonl": "[1]",
    "no-json.jsonl": "\udcff{",
    "bad-item.jsonl": json.dumps(ITEM | {"body": 1}),
    "no-model.jsonl": json.dumps(ITEM | {"body": ITEM["body"] | {"model": "none"}}),
    "empty.jsonl": "",
    "host.json": json.dumps(HOST),
    "no-secret.json": json.dumps(HOST | {"peer_secret": "short"}),
    "colour.json": json.dumps(HOST | {"colour": 1}),
    "busy.json": json.dumps(HOST | {"port": 0}),
    "address.json": json.dumps(HOST | {"listen_address": "192.0.2.1"}),
    "level.json": json.dumps(HOST | {"log_level": "loud"}),
    "tls.json": json.dumps(HOST | {"tls": {"certificate": "none.pem"}}),
    "peer-tls.json": json.dumps(HOST | {"peer_tls": {"certificate": "none.pem"}}),
    "list.json": "[]",
    "engine.json": json.dumps({"slots": "8"}),
}
ONLINE = ["--host", "URL", "--key", "KEY"]
OPERATOR = ["--host", "URL", "--operator-key", "OPERATOR"]
# Arguments and a part of the line; URL and the keys are those of a deployment.
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
    (["plan", "none", *OPERATOR], "none"),
    (["plan", "."], "--host"),
    (["apply", "none", *OPERATOR], "none"),
    (["apply", ".", *OPERATOR, "--base", "x"], "--base"),
    (["status", *OPERATOR[:2], "--operator-key", "wrong"], "operator key"),
    (["status", "--host", "none", *OPERATOR[2:]], "none"),
    (["batch", "submit", *ONLINE], "--file"),
    (["batch", "submit", "none.jsonl", *ONLINE], "none.jsonl: No such file"),
    (["batch", "submit", "no-url.jsonl", *ONLINE], "line 1 names no url"),
    (["batch", "submit", "no-json.jsonl", *ONLINE], "line 1 names no url"),
    (["batch", "submit", "empty.jsonl", *ONLINE], "line 1 names no url"),
    (["batch", "submit", "bad-item.jsonl", *ONLINE], "line 1: body"),
    (["batch", "submit", "no-model.jsonl", *ONLINE], "(model_not_found, not_run)"),
    (["batch", "submit", "item.jsonl", *ONLINE, "--window", "x"], "24h"),
    (["batch", "submit", "item.jsonl", *ONLINE[:2], "--key", "x"], "invalid_api_key"),
    (["batch", "submit", "item.jsonl", "--host", "none", *ONLINE[2:]], "none"),
    (
        ["batch", "submit", "item.jsonl", "--host", "http://127.0.0.1:1", "--key", "k"],
        "",
    ),
    (["batch", "status", "none", *ONLINE], "'none' does not exist (not_found"),
    (["batch", "status", "none", "--key", "k"], "--host"),
    (["batch", "status", "none", "--host", "none", "--key", "k"], "none"),
    (["batch", "cancel", "none", *ONLINE], "'none' does not exist (not_found"),
    (["batch", "results", "none", *ONLINE], "'none' does not exist (not_found"),
    (["batch", "results", "none", "--host", "none", "--key", "k"], "none"),
    (["batch", "results", "none", *ONLINE[:2], "--key", "x"], "invalid_api_key"),
]


@pytest.fixture(scope="module")
def words():
    """Yield the words that stand for a running deployment."""
    with running("dev", "--port", "0", "--log-level", "info") as process:
        summary = json.loads(process.stdout.readline())
        yield {
            "URL": summary["entry_hosts"][0]["url"],
            "KEY": summary["caller_key"],
            "OPERATOR": summary["operator_key"],
        }


@pytest.mark.parametrize(("arguments", "text"), CASES)
def test_bad_input_is_one_line(words, tmp_path, monkeypatch, capsys, arguments, text):
    """Guards operators and scripts against tracebacks and other exit codes."""
    for name, content in FILES.items():
        (tmp_path / name).write_text(content, errors="surrogateescape")
    monkeypatch.chdir(tmp_path)
    with socket.create_server(("127.0.0.1", 0)) as busy:
        port = busy.getsockname()[1]
        (tmp_path / "busy.json").write_text(json.dumps(HOST | {"port": port}))
        given = [words.get(word, word) for word in arguments]
        code = run(given)
    shown = capsys.readouterr()
    assert (code, shown.out) == (2, "")
    lines = [line for line in shown.err.splitlines() if line.startswith("galenascale:")]
    assert len(lines) == 1 and text in lines[0]
    assert "Traceback" not in shown.err
    assert shown.err.splitlines()[-1] == lines[0]
