"""Operator commands and API routes against one host with a fake log."""

import asyncio
import hashlib
import json
import types

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from galenascale import operator_client
from galenascale.__main__ import main
from galenascale.config_follower import ConfigFollower
from galenascale.errors import GalenascaleError, PeerError, UserError
from galenascale.generated.messages import HostInfo, HostSettings, ServerLoad
from galenascale.http_api.operator import operator_routes
from galenascale.membership import Membership
from galenascale.store import StoreOutcomeUnknown
from test.config_fakes import Link, SharedLog, StepClock, change_body, entry
from test.processes import running, write_json

KEY = "operator-key-1"
SECRET = "peer-secret-0123456789"
DIGEST = hashlib.sha256(KEY.encode()).hexdigest()


@web.middleware
async def error_middleware(request, handler):
    """Convert errors to JSON responses in the same way as the caller API."""
    try:
        return await handler(request)
    except GalenascaleError as error:
        detail = {"message": error.message, "code": error.code}
        return web.json_response({"error": detail}, status=error.http_status)


@pytest.fixture
async def host():
    """Yield a fake host with the operator API; its `cli` runs a command."""
    log = SharedLog()
    link = Link(log)
    fake = types.SimpleNamespace(
        settings=HostSettings(
            host_id="host-1",
            peer_secret=SECRET,
            operator_key_digests=["0" * 64, DIGEST],
        ),
        config=ConfigFollower(link, StepClock()),
        clock=StepClock(),
        membership=Membership(HostInfo("host-1", failure_domain="kigali-a")),
        is_ready=lambda: True,
        stopping=types.SimpleNamespace(started=False),
        online=types.SimpleNamespace(loads=lambda: [ServerLoad("s1", 4)]),
        link=link,
        log=log,
    )
    app = web.Application(middlewares=[error_middleware])
    app.add_routes(operator_routes(fake))
    async with TestServer(app) as server:
        fake.url = str(server.make_url("/"))

        async def cli(*arguments, key=KEY):
            host_options = ["--host", fake.url, "--operator-key", key]
            return await asyncio.to_thread(run_command, [*arguments, *host_options])

        fake.cli = cli
        yield fake


def run_command(arguments):
    """Run a command in this process and return its exit code."""
    try:
        main(arguments)
    except SystemExit as stop:
        return stop.code or 0
    return 0


def write_declarations(directory, **limits_by_tenant):
    """Write declarations of tenants, a service and a server; return a path."""
    values = [{"kind": "service", "name": "llm"}]
    values.append(
        {
            "kind": "backend_server",
            "name": "s1",
            "service_name": "llm",
            "failure_domain": "kigali-a",
            "url": "http://127.0.0.1:1",
        }
    )
    for name, limit in limits_by_tenant.items():
        values.append({"kind": "tenant", "name": name, "max_concurrency": limit})
    (directory / "all.json").write_text(json.dumps(values))
    return str(directory)


async def test_plan_apply_and_status(host, tmp_path, capsys):
    """Guards a change from plan to apply, and the output of status."""
    assert await host.cli("apply", write_declarations(tmp_path, t1=1, t2=2)) == 0
    assert host.config.current.tenants_by_id["t2"].max_concurrency == 2
    directory = write_declarations(tmp_path, t1=5, t3=3)
    assert await host.cli("plan", directory) == 0
    output = capsys.readouterr().out
    for text in (
        "~ tenant/t1",
        "max_concurrency: 1 -> 5",
        "+ tenant/t3",
        "- tenant/t2",
    ):
        assert text in output
    assert await host.cli("apply", directory) == 0
    assert sorted(host.config.current.tenants_by_id) == ["t1", "t3"]
    appended = len(host.log.history)
    assert await host.cli("apply", directory) == 0
    assert len(host.log.history) == appended
    capsys.readouterr()
    assert await host.cli("status", "--json") == 0
    output = capsys.readouterr().out
    answer = json.loads(output)
    assert answer["config"]["version"] == 1
    assert answer["ready"] and answer["members"]["live_hosts"] == 1
    assert answer["servers"][0]["online_in_flight"] == 4
    assert answer["servers"][0]["usable"] is True
    assert await host.cli("status") == 0
    output += capsys.readouterr().out
    assert "online_in_flight" in output and ", ready\n" in output
    assert KEY not in output and SECRET not in output and DIGEST not in output


@pytest.mark.parametrize(
    ("concurrent_tenant", "base", "code", "text"),
    [
        ("t9", None, 0, "accepted as version 3"),
        ("t1", None, 1, "changed since: tenant/t1"),
        ("t9", 0, 1, "changed since: tenant/t9"),
        (None, 0, 0, "accepted as version 1"),
        (None, 7, 1, "version 0 is in force, not 7"),
    ],
)
async def test_concurrent_changes(
    host, tmp_path, capsys, concurrent_tenant, base, code, text
):
    """Guards against overwriting a change that was applied concurrently."""
    await host.cli("apply", write_declarations(tmp_path, t1=1))
    concurrent_changes = (
        [change_body("rival", 0, [entry(concurrent_tenant, 9)])]
        if concurrent_tenant
        else []
    )
    append = host.link.append

    async def append_after_concurrent_change(stream, body):
        while concurrent_changes:
            host.log.append(concurrent_changes.pop())
        return await append(stream, body)

    host.link.append = append_after_concurrent_change
    strict = [] if base is None else ["--base", str(base)]
    assert await host.cli("apply", write_declarations(tmp_path, t1=5), *strict) == code
    output = capsys.readouterr()
    assert text in output.out + output.err
    await host.config.refresh()
    # A strict change is appended at most once.
    assert base is None or len(host.log.history) <= 3
    limit = host.config.current.tenants_by_id["t1"].max_concurrency
    assert limit == (5 if code == 0 else 9 if concurrent_tenant == "t1" else 1)


@pytest.mark.parametrize(
    ("mode", "code", "text", "appends"),
    [
        ("delay", 3, "unknown: change", 0),
        ("down", 2, "not appended", 0),
        ("lost", 0, "accepted as version 0", 1),
        ("twice", 0, "accepted as version 0", 2),
    ],
)
async def test_outcome_of_an_append(host, tmp_path, capsys, mode, code, text, appends):
    """Guards against reporting success or failure of an unknown outcome."""
    host.link.mode = mode
    assert await host.cli("apply", write_declarations(tmp_path, t1=1)) == code
    output = capsys.readouterr()
    assert text in output.out + output.err
    assert len(host.log.history) == appends


async def test_retried_change_is_applied_once(host):
    """Guards against applying a retried change twice, also when rebased."""
    await host.config.publish([entry("t1", 1)], -1)
    data = {"kind": "tenant", "name": "t2", "max_concurrency": 2}
    item = {"kind": "tenant", "name": "t2", "declaration": data}
    body = {"base_version": -1, "entries": [item], "change_id": "same"}
    path = "/operator/v1/config"
    answers = [
        await asyncio.to_thread(operator_client.call, host.url, KEY, path, body)
        for _ in range(2)
    ]
    assert answers == [(200, {"status": "valid", "version": 1})] * 2
    assert len(host.log.history) == 2


@pytest.mark.parametrize(
    ("update", "message"),
    [
        ({"colour": 1}, "change: $.colour: unknown field"),
        ({"base_version": "1"}, "$.base_version"),
        ({"entries": []}, "$.entries"),
        ({"entries": [{"kind": "x", "name": "y"}]}, "unknown kind"),
        ({"entries": [{"kind": "tenant", "name": "y"}]}, "declaration: must be"),
        ({"entries": [{"kind": "service", "name": "llm", "deleted": True}]}, "'llm'"),
        ({"entries": [{"kind": "tenant", "name": "y", "deleted": True}] * 2}, "twice"),
    ],
)
async def test_bad_changes_are_refused(host, tmp_path, update, message):
    """Guards the log against changes that make the configuration invalid."""
    await host.cli("apply", write_declarations(tmp_path, t1=1))
    body = {"base_version": 0, "entries": [], **update}
    with pytest.raises(UserError) as caught:
        await asyncio.to_thread(
            operator_client.call, host.url, KEY, "/operator/v1/config", body
        )
    assert message in caught.value.message
    assert len(host.log.history) == 1


@pytest.mark.parametrize("key", ["", "wrong", DIGEST, "clé"])
@pytest.mark.parametrize("command", ["plan", "status", "apply"])
async def test_wrong_keys_are_refused(host, tmp_path, capsys, key, command):
    """Guards the operator API, also against a key digest used as a key."""
    directory = [] if command == "status" else [write_declarations(tmp_path, t1=1)]
    assert await host.cli(command, *directory, key=key) == 2
    assert "operator key is missing or wrong" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("name", "value", "code", "text"),
    [
        ("d.json", {"kind": "service", "name": "x"}, 0, "1 declarations are valid"),
        ("d.json", [{"kind": "service"}], 2, "d.json: $[0].name"),
        ("d.json", {"host_id": 1}, 2, "d.json: $.host_id"),
        ("d.json", [{"kind": "model", "name": "m"}], 0, "1 declarations are valid"),
        ("", [{"kind": "model", "name": "m"}], 2, "d.json: $[0].service_name"),
        ("no.json", {}, 2, "No such file"),
    ],
)
def test_check_names_file_path_and_reason(tmp_path, capsys, name, value, code, text):
    """Guards the single line that `check` prints for operators."""
    (tmp_path / "d.json").write_text(json.dumps(value))
    assert run_command(["check", str(tmp_path / name)]) == code
    output = capsys.readouterr()
    assert text in output.out + output.err
    assert (output.out + output.err).count("\n") == 1


def test_refused_retry_after_lost_answer_is_unknown(monkeypatch):
    """Guards against reporting a refused retry as the outcome of a change."""
    outcomes = [StoreOutcomeUnknown("lost"), PeerError("down"), UserError("bad")]

    def call(*_):
        raise outcomes.pop(0)

    monkeypatch.setattr(operator_client, "call", call)
    with pytest.raises(StoreOutcomeUnknown):
        operator_client.post_change("http://x", KEY, {})


def test_apply_and_status_through_separate_processes(tmp_path, capsys):
    """Guards the integration of the operator API, log client and keys."""
    platform = write_json(tmp_path / "platform.json", {})
    with running("standin", "platform", "--settings", platform) as log_process:
        settings = {
            "host_id": "host-1",
            "failure_domain": "kigali-a",
            "platform_url": f"http://127.0.0.1:{log_process.port}",
            "peer_secret": SECRET,
            "operator_key_digests": [DIGEST],
        }
        path = write_json(tmp_path / "host.json", settings)
        with running("serve", "--settings", path) as process:
            url = f"http://127.0.0.1:{process.port}"
            host_options = ["--host", url, "--operator-key", KEY]
            (tmp_path / "declarations").mkdir()
            directory = write_declarations(tmp_path / "declarations", t1=1)
            assert run_command(["apply", directory, *host_options]) == 0
            assert run_command(["plan", directory, *host_options]) == 0
            assert run_command(["status", *host_options]) == 0
    assert run_command(["plan", directory, *host_options]) == 2
    output = capsys.readouterr()
    for text in ("accepted as version 0", "no difference", "kigali-a"):
        assert text in output.out
    assert "host cannot be reached" in output.err
