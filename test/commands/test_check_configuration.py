"""`galenascale check` of a configuration of gateways."""

import asyncio
import copy
import json
import random
import subprocess
import sys

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale.gateway.configuration import ConfigurationState
from galenascale.gateway.configuration_check import Level, find_changes, find_problems
from galenascale.platform.configuration import decode_configuration
from galenascale.standins.store_api import StoreStandin

ROUTE = {
    "Name": "chat",
    "Host": "front.example",
    "PathPrefix": "/chat/",
    "Kind": "streaming",
    "TimeoutMs": 5000,
    "SloMs": 300,
    "Service": "llm",
    "Attempts": 2,
    "CanResume": True,
}
SOUND = {
    "Version": 7,
    "Routes": [ROUTE],
    "Services": [
        {
            "Name": "llm",
            "MaxConns": 400,
            "EngineKind": {"Slots": 8, "KvTokens": 72000},
        }
    ],
    "Limits": {"HeaderBytes": 16384, "BodyBytes": 1 << 20},
    "Tenants": [{"Name": "team", "ApiKeys": ["key-1"], "RatePerS": 5.0, "Burst": 5}],
}


def changed(path=(), value=None, **fields):
    """Return SOUND with a value at a path, and with more top-level fields."""
    content = copy.deepcopy(SOUND) | copy.deepcopy(fields)
    if path:
        *parents, last = path
        target = content
        for part in parents:
            target = target[part]
        target[last] = value
    return content


def decode(content):
    """Return the Configuration of its JSON form, as a host decodes it."""
    return decode_configuration(orjson.dumps(content))


def run_check(path, *options):
    """Return (exit status, stdout, stderr) of the command."""
    command = [sys.executable, "-m", "galenascale", "check", str(path), *options]
    done = subprocess.run(command, capture_output=True, text=True)
    return done.returncode, done.stdout, done.stderr


def test_sound_configuration_has_no_problems():
    """The check must not complain of what is meant."""
    assert find_problems(decode(SOUND), decode(changed(Version=6))) == []


@pytest.mark.parametrize(
    ("content", "level", "text"),
    [
        (changed(Routes=[ROUTE, ROUTE | {"Name": "b"}]), "error", "never matches"),
        (
            changed(Routes=[ROUTE, ROUTE | {"PathPrefix": "/b/"}]),
            "warning",
            "is the name of another route",
        ),
        (changed(("Routes", 0, "PathPrefix"), "/chat"), "error", "needs / at its ends"),
        (changed(("Routes", 0, "Service"), "none"), "error", "which is not there"),
        (
            changed(
                ("Routes", 0, "WeightedBackends"), [{"Service": "llm", "Weight": 0}]
            ),
            "error",
            "no service has a weight",
        ),
        (changed(("Routes", 0, "TimeoutMs"), 0), "error", "its timeout is 0"),
        (changed(("Routes", 0, "TimeoutMs"), 200), "warning", "before their objective"),
        (
            changed(("Routes", 0), ROUTE | {"Kind": "non_idempotent"}),
            "warning",
            "run once only",
        ),
        (
            changed(
                ("Routes", 0),
                ROUTE | {"Kind": "batch", "DueMs": 18000, "ItemTtlS": 9.0},
            ),
            "warning",
            "before they are due",
        ),
        (changed(("Services", 0, "MaxConns"), 0), "error", "allows no connections"),
        (changed(("Services", 0, "MaxConns"), 4), "warning", "4 connections for 8"),
        (
            changed(("Services", 0, "EngineKind", "Slots"), 0),
            "error",
            "engines have no slots",
        ),
        (
            changed(("Services", 0, "EngineKind", "KvTokens"), 4),
            "warning",
            "memory for 4 tokens",
        ),
        (
            changed(Services=[*SOUND["Services"], {"Name": "idle", "MaxConns": 1}]),
            "warning",
            "gets no requests",
        ),
        (changed(("Limits", "BodyBytes"), 0), "error", "body_bytes must be above 0"),
        (changed(("Tenants", 0, "RatePerS"), -1.0), "error", "negative rate"),
        (changed(("Tenants", 0, "RatePerS"), 0.0), "warning", "has no limit"),
        (
            changed(
                Tenants=[*SOUND["Tenants"], {"Name": "other", "ApiKeys": ["key-1"]}]
            ),
            "error",
            "has a key of tenant team",
        ),
        (changed(Tenants=[]), "error", "nobody has one"),
        (changed(("Tenants", 0, "ApiKeys"), []), "warning", "has no key"),
    ],
    ids=lambda item: item if isinstance(item, str) else "",
)
def test_problem_is_found(content, level, text):
    """Each is accepted by hosts, and serves nobody or contradicts itself."""
    found = [
        problem for problem in find_problems(decode(content)) if text in problem.text
    ]
    assert [problem.level for problem in found] == [Level(level)]


def test_version_that_is_not_newer_is_an_error():
    """Hosts ignore it."""
    (problem,) = find_problems(decode(SOUND), decode(SOUND))
    assert problem.level is Level.ERROR
    assert not install_after(SOUND, SOUND)


def install_after(former, content):
    """Return True if a host with a configuration installs another one."""
    state = ConfigurationState()
    state.install(decode(former))
    return state.install(decode(content))


@pytest.mark.parametrize(
    ("content", "expected"),
    [
        (changed(Version=8), []),
        (
            changed(("Routes", 0, "TimeoutMs"), 4000),
            [("route chat", "timeout_s", 5.0, 4.0)],
        ),
        (changed(Routes=[]), [("route chat", "removed", None, None)]),
        (
            changed(("Tenants", 0, "ApiKeys"), ["key-2"]),
            [("tenant team", "key_digests", None, None)],
        ),
        (
            changed(("Limits", "BodyBytes"), 4096),
            [("limits", "body_bytes", 1 << 20, 4096)],
        ),
        (
            changed(("Services", 0, "EngineKind", "Slots"), 9),
            [
                (
                    "service llm",
                    "engine",
                    {"slots": 8, "kv_tokens": 72000},
                    {"slots": 9, "kv_tokens": 72000},
                )
            ],
        ),
    ],
)
def test_changes_are_named(content, expected):
    """Keys appear nowhere, only that they differ."""
    found = find_changes(decode(SOUND), decode(content))
    assert [(c.subject, c.what, c.before, c.after) for c in found] == expected


NAMES = st.sampled_from(["a", "b", "c"])
ROUTES = st.fixed_dictionaries(
    {
        "Name": NAMES,
        "Host": st.sampled_from(["one.example", "TWO.example"]),
        "PathPrefix": st.sampled_from(["/", "/a/", "/a/b/", "/c", "c/"]),
        "Kind": st.sampled_from(["idempotent", "streaming", "batch", "odd"]),
        "TimeoutMs": st.integers(-1, 5000),
        "SloMs": st.integers(0, 5000),
        "Service": NAMES,
    }
)
CONFIGURATIONS = st.fixed_dictionaries(
    {
        "Version": st.integers(1, 9),
        "Routes": st.lists(ROUTES, max_size=5),
        "Services": st.lists(
            st.fixed_dictionaries({"Name": NAMES, "MaxConns": st.integers(-1, 9)}),
            max_size=3,
        ),
    }
)


@given(CONFIGURATIONS, CONFIGURATIONS)
def test_what_passes_is_accepted_and_each_route_matches(former, content):
    """The check and the hosts agree, whatever the configuration."""
    before, after = decode(former), decode(content)
    problems = find_problems(after, before)
    find_changes(before, after)
    if any(problem.level is Level.ERROR for problem in problems):
        return
    state = ConfigurationState()
    state.install(before)
    assert state.install(after)
    for route in after.routes:
        assert state.table.find(route.host, f"{route.path_prefix}x") is route


@pytest.mark.parametrize(
    ("content", "status", "text"),
    [
        (SOUND, 0, "0 problems, 0 changes"),
        (changed(("Tenants", 0, "ApiKeys"), []), 1, "nobody has one"),
        (changed(("Routes", 0, "TimeoutMs"), 200), 0, "warning: route chat"),
        (changed(Routes=5), 1, "field Routes is int, not list"),
    ],
)
def test_exit_status(content, status, text, tmp_path):
    """A pipeline stops at errors, not at warnings."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(content))
    found, stdout, stderr = run_check(path)
    assert (found, stderr) == (status, "")
    assert text in stdout


def test_report_as_json(tmp_path):
    """The same as data, with the changes to a file."""
    before, after = tmp_path / "before.json", tmp_path / "after.json"
    before.write_text(json.dumps(SOUND))
    content = changed(("Routes", 0, "TimeoutMs"), 200) | {"Version": 8}
    after.write_text(json.dumps(content))
    status, stdout, _ = run_check(after, "--in-force", str(before), "--json")
    report = json.loads(stdout)
    assert status == 0
    assert [problem["level"] for problem in report["problems"]] == ["warning"]
    assert [change["what"] for change in report["changes"]] == ["timeout_s"]
    assert "key-1" not in stdout


async def run_check_beside(path, *options):
    """Run the command while this process serves the store."""
    return await asyncio.to_thread(run_check, path, *options)


async def test_configuration_in_force_is_read_from_the_store(tmp_path):
    """The address of the store is what a host has in its settings."""
    store = StoreStandin(random.Random(1))
    await store.start()
    path = tmp_path / "config.json"
    path.write_text(json.dumps(changed(Version=8)))
    try:
        status, _, stderr = await run_check_beside(path, "--in-force", store.address)
        assert status == 2
        assert "has no configuration" in stderr
        store.write_key("keyed.op", "config", orjson.dumps(SOUND))
        status, stdout, _ = await run_check_beside(path, "--in-force", store.address)
        assert (status, "0 problems" in stdout) == (0, True)
    finally:
        await store.stop()


@pytest.mark.parametrize("in_force", ["nowhere", "none.json", "127.0.0.1:9"])
def test_what_cannot_be_read_is_one_line(in_force, tmp_path):
    """A user error, without a traceback."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(SOUND))
    status, _, stderr = run_check(path, "--in-force", in_force)
    assert status == 2
    assert len(stderr.splitlines()) == 1
