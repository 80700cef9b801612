"""Strict checks of declarations and differences."""

import json

import pytest

from galenascale import declarations
from galenascale.errors import UserError

SERVICE = {"kind": "service", "name": "llm"}
PLAIN = {"kind": "service", "name": "booking", "type": "plain"}
MODEL = {"kind": "model", "name": "m", "service_name": "llm"}
TENANT = {"kind": "tenant", "name": "t", "key_digests": ["a" * 64]}
SERVER = {
    "kind": "backend_server",
    "name": "s",
    "service_name": "llm",
    "failure_domain": "kigali-a",
    "url": "http://10.0.0.1:8000",
}
VALID = [SERVICE, PLAIN, MODEL, TENANT, SERVER]


def write(directory, values):
    """Write declarations, each list into one file."""
    (directory / "all.json").write_text(json.dumps(values))
    return directory


@pytest.mark.parametrize(
    ("base", "update", "path", "reason"),
    [
        (SERVICE, {"colour": 1}, "$[5].colour", "unknown field"),
        (SERVICE, {"max_queue": "9"}, "$[5].max_queue", "expected int, not str"),
        (SERVICE, {"max_queue": True}, "$[5].max_queue", "expected int, not bool"),
        (SERVICE, {"max_queue": -1}, "$[5].max_queue", "negative"),
        (SERVICE, {"max_queue": 2**31}, "$[5].max_queue", "at most"),
        (SERVICE, {"max_attempts": 0}, "$[5].max_attempts", "greater than 0"),
        (SERVICE, {"retry_budget": 1.5}, "$[5].retry_budget", "at most 1"),
        (SERVICE, {"type": "grpc"}, "$[5].type", "engine or plain"),
        (SERVICE, {"kind": "queue"}, "$[5].kind", "must be one of"),
        (SERVICE, {"kind": ["x"]}, "$[5].kind", "must be one of"),
        (SERVICE, {"schema_version": 2}, "$[5].schema_version", "must be 1"),
        (SERVICE, {"name": ""}, "$[5].name", "must be"),
        (SERVICE, {"name": "llm"}, "$[5].name", "repeats"),
        (SERVICE, {"non_idempotent_paths": ["/a"]}, "$[5].non_idem", "plain"),
        (PLAIN, {"non_idempotent_paths": ["a"]}, "$[5].non_idempotent_paths[0]", "/"),
        (MODEL, {"service_name": "x"}, "$[5].service_name", "does not exist"),
        (MODEL, {"versions": [{"name": "1", "weight": -1}]}, "versions[0]", "negative"),
        (MODEL, {"versions": [{"name": "1", "weight": 0}]}, "$[5].versions", "weight"),
        (MODEL, {"versions": [{"name": "1"}] * 2}, "$[5].versions[1]", "repeats"),
        (MODEL, {"versions": [{"name": "a b"}]}, "$[5].versions[0].name", "valid"),
        (MODEL, {"adapters": [""]}, "$[5].adapters[0]", "valid"),
        (TENANT, {"key_digests": ["c" * 64] * 2}, "[1]", "repeats 'cccc"),
        (MODEL, {"adapters": ["a", "a"]}, "$[5].adapters[1]", "repeats"),
        (TENANT, {"key_digests": ["A" * 64]}, "$[5].key_digests[0]", "64"),
        (TENANT, {"key_digests": ["b" * 63]}, "$[5].key_digests[0]", "64"),
        (TENANT, {}, "$[5].key_digests[0]", "repeats"),
        (TENANT, {"share": 0}, "$[5].share", "greater than 0"),
        (SERVER, {"url": "10.0.0.1:80"}, "$[5].url", "http"),
        (SERVER, {"url": "http://u:p@host"}, "$[5].url", "credentials"),
        (SERVER, {"url": "http://[x"}, "$[5].url", "http"),
        (SERVER, {"failure_domain": ""}, "$[5].failure_domain", "empty"),
        (SERVER, {"slots": 1.5}, "$[5].slots", "expected int, not float"),
        (SERVER, {"memory_bytes": None}, "$[5].memory_bytes", "expected int"),
    ],
)
def test_a_bad_declaration_refuses_the_directory(tmp_path, base, update, path, reason):
    """Guards against mistakes that reach the log, and vague messages."""
    assert len(declarations.read_directory(write(tmp_path, VALID))) == len(VALID)
    bad = {**base, "name": "other", **update}
    with pytest.raises(UserError) as caught:
        declarations.read_directory(write(tmp_path, [*VALID, bad]))
    assert str(tmp_path / "all.json") in caught.value.message
    assert path in caught.value.message
    assert reason in caught.value.message


@pytest.mark.parametrize("text", ["", "{", "[1]", "null", '"x"', "[[]]", '{"kind":1}'])
def test_other_json_is_refused(tmp_path, text):
    """Guards against a traceback instead of one line."""
    (tmp_path / "all.json").write_text(text)
    with pytest.raises(UserError, match="all.json: "):
        declarations.read_directory(tmp_path)


def test_difference_names_entries_and_fields():
    """Guards what an operator sees, and entries of newer kinds."""
    parsed = [declarations.parse(item, "x") for item in [SERVICE, MODEL, TENANT]]
    in_force = [
        {**SERVICE, "max_queue": 9, "batch_reserve": 1},
        {**MODEL, "replicas": 0},
        PLAIN,
        {"kind": "queue", "name": "newer"},
    ]
    found = declarations.difference(
        parsed, {(item["kind"], item["name"]): json.dumps(item) for item in in_force}
    )
    assert found.added == (("tenant", "t"),)
    assert found.changed == (
        (("service", "llm"), (declarations.FieldChange("max_queue", 9, 256),)),
    )
    assert found.deleted == (("service", "booking"),)
    assert [(item.name, item.deleted) for item in found.entries] == [
        ("llm", False),
        ("t", False),
        ("booking", True),
    ]
