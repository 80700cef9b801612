"""
Jobs whose items hold text that no head may hold, on a whole host.

Guards against accepted jobs that can never run, and against items that earlier
builds have accepted.
"""

import asyncio

import orjson
import pytest

from galenascale.gateway.jobs import acceptance
from galenascale.platform import jobs
from test.gateway.fleet import (
    HOST_NAME,
    ROUTES,
    gateway_fleet,
    key_header,
    make_headers,
    make_route,
    make_tenant,
    until,
)
from test.gateway.test_jobs import TOKENS, read_results, wait_for_results

SMUGGLED = (
    "item-0\r\nContent-Length: 0\r\n\r\n"
    f"POST /once/transfer HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
    "X-Galenascale-Attempt-Id: smuggled"
)
UNSENDABLE = {
    "id": {"Id": SMUGGLED},
    "path": {"Path": "/jobs/a\x7f"},
    "value": {"Headers": {"X-A": "1\0"}},
    "outside Latin-1": {"Headers": {"X-A": "€"}},
    "length": {"Headers": {"Content-Length": "0"}},
    "route of another kind": {"Path": "/once/a"},
    "no route": {"Path": "/nothing/a"},
}


def submission(**fields):
    """Return the body of a job of a sound item and one with other fields."""
    sound = {"Id": "sound", "Path": "/jobs/0", "Headers": TOKENS, "Tokens": 180}
    return orjson.dumps({"Items": [sound, sound | {"Id": "other"} | fields]})


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"Id": SMUGGLED}, "item 1: Id"),
        ({"Path": "/once/a"}, "item 1: no batch route"),
        ({"Path": "/nothing/a"}, "item 1: no batch route"),
        ({"Tokens": 1 << 31}, "item 1: field Tokens"),
    ],
)
async def test_job_with_an_item_that_cannot_run_is_refused(fields, reason):
    """Such a job was accepted, and its items never ended."""
    async with gateway_fleet() as fleet:
        reply = await fleet.request(
            "/jobs/x", request_id="job", data=submission(**fields)
        )
        assert reply.status == 400
        assert reason in orjson.loads(reply.body)["error"]["message"]
        assert await read_results(fleet, "job") == 404
        assert not any(runner.requests for runner in fleet.runners)


async def test_item_of_a_caller_without_key_reaches_no_route_with_keys():
    """The route of a job may need no key where that of its item does."""
    async with gateway_fleet(tenants=[make_tenant("team", "key")]) as fleet:
        anonymous = make_route(
            "open", "batch", "llm", DueMs=18000, ItemTtlS=60, Anonymous=True
        )
        fleet.write_config([*ROUTES, anonymous])
        host = fleet.hosts[0]
        await until(lambda: host.context.configuration.version == fleet.version)
        bodies = [submission(), submission(Path="/open/a")]
        statuses = [
            (await fleet.request("/open/x", request_id=f"job-{number}", data=body))
            for number, body in enumerate(bodies)
        ]
        assert [reply.status for reply in statuses] == [400, 400]
        assert b"needs a key" in statuses[0].body
        reply = await fleet.request(
            "/jobs/x", request_id="own", data=submission(), headers=key_header("key")
        )
        assert reply.status == 202


@pytest.mark.parametrize("name", UNSENDABLE)
async def test_stored_item_that_cannot_be_sent_ends_as_dead(name, monkeypatch):
    """Items of an earlier build must end, and their text must not be sent."""
    # That build checked less.
    monkeypatch.setattr(jobs, "check_item", lambda *_: None, raising=False)
    monkeypatch.setattr(acceptance, "check_item_routes", lambda *_: None, raising=False)
    async with gateway_fleet() as fleet:
        reply = await fleet.request(
            "/jobs/x", request_id="stored", data=submission(**UNSENDABLE[name])
        )
        assert reply.status == 202
        results = await wait_for_results(fleet, "stored", 2)
        assert {(result["Id"] == "sound", result["State"]) for result in results} == {
            (True, "completed"),
            (False, "dead_letter"),
        }
        targets = [
            request.target for runner in fleet.runners for request in runner.requests
        ]
        assert targets == [b"/jobs/0"]


async def test_stream_by_an_old_version_of_http_is_refused_before_it_runs():
    """It ran, and its caller got 500."""
    async with gateway_fleet() as fleet:
        fields = make_headers("r1", "/chat/a")
        lines = [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join(["POST /chat/a HTTP/1.0", *lines, "", ""])
        port = fleet.ports["caller"]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head.encode())
        answer = await reader.read()
        writer.close()
        assert answer.startswith(b"HTTP/1.0 400 ")
        assert b"http_version" in answer
        assert not any(runner.requests for runner in fleet.runners)
