"""Servers that send bytes which are no answer in place of their answer."""

import pytest

from galenascale.gateway.requests import ResponseHead
from galenascale.gateway.response_match import ResponseMatch, match_response
from galenascale.standins.runner import RunnerStandin
from test.gateway.fleet import gateway_fleet, until
from test.gateway.test_jobs import output_of, submit, wait_for_results

ID = b"X-Galenascale-Attempt-Id: @ID\r\n"
OTHER_ID = b"X-Galenascale-Attempt-Id: other\r\n"
SIGNATURE = b"X-Galenascale-Response-Signature: signed\r\n"
NOT_RUN = b"X-Galenascale-Not-Executed: 1\r\n"
BODY = b"Content-Length: 7\r\n\r\nspoiled"
LONG_BODY = b"Content-Length: 1000000\r\n\r\n" + b"spoiled" * 20_000
EVENTS = b"\r\nid: 1\ndata: spoiled\n\n"

SPOILED_BY_NAME = {
    "no id and no signature": b"HTTP/1.1 200 OK\r\n" + BODY,
    "no signature": b"HTTP/1.1 200 OK\r\n" + ID + BODY,
    "no signature, stream": b"HTTP/1.1 200 OK\r\n" + ID + EVENTS,
    "no signature, long body": b"HTTP/1.1 200 OK\r\n" + ID + LONG_BODY,
    "empty signature": (
        b"HTTP/1.1 200 OK\r\nX-Galenascale-Response-Signature: \r\n" + ID + BODY
    ),
    "signature without id": b"HTTP/1.1 200 OK\r\n" + SIGNATURE + BODY,
    "signature and another's id": (
        b"HTTP/1.1 200 OK\r\n" + SIGNATURE + OTHER_ID + BODY
    ),
    "status 201": b"HTTP/1.1 201 Created\r\n" + ID + BODY,
    "status 204": b"HTTP/1.1 204 No Content\r\n" + ID + b"\r\n",
    "status 206": b"HTTP/1.1 206 Partial Content\r\n" + ID + BODY,
    "error without id": b"HTTP/1.1 404 Not Found\r\n" + BODY,
    "refusal without id": b"HTTP/1.1 503 Unavailable\r\n" + NOT_RUN + BODY,
    "wrong server without id": b"HTTP/1.1 421 Misdirected\r\n" + BODY,
    "last words without id": (
        b"HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nServer-Limit: 0\r\n" + BODY
    ),
}


class SpoilingRunner(RunnerStandin):
    """Sends spoiled bytes for each id that no server has run before."""

    def __init__(self, server_id, service, *, spoiled, seen_ids):
        super().__init__(server_id, service)
        self.spoiled = spoiled
        self.seen_ids = seen_ids

    async def _run(self, request, behaviour, reader, writer):
        if request.request_id in self.seen_ids:
            return await super()._run(request, behaviour, reader, writer)
        self.seen_ids.add(request.request_id)
        writer.write(self.spoiled.replace(b"@ID", request.request_id.encode()))
        return False


async def add_spoiling_servers(fleet, service, name):
    """Add two servers that spoil the first answer to each id."""
    seen_ids = set()
    for number in range(2):
        runner = SpoilingRunner(
            f"spoiling-{number}",
            service,
            spoiled=SPOILED_BY_NAME[name],
            seen_ids=seen_ids,
        )
        await runner.start()
        fleet.runners.append(runner)
        fleet.register(runner)
    servers = fleet.hosts[0].context.servers
    await until(lambda: len(servers.usable(service, 0.0)) == 2)


@pytest.mark.parametrize("name", SPOILED_BY_NAME)
@pytest.mark.parametrize("path", ["/plain/a", "/once/a", "/chat/a", "/talk/a"])
async def test_spoiled_answer_reaches_no_caller(path, name):
    """
    Guards callers against a success that no server vouches for.

    Requests that may be repeated are answered by the other server; the others
    may have run, so no answer may state that they did not.
    """
    service = "llm" if path in ("/chat/a", "/talk/a") else "app"
    async with gateway_fleet(runners=0) as fleet:
        await add_spoiling_servers(fleet, service, name)
        for number in range(4):
            reply = await fleet.request(path, request_id=f"r{number}", data=b"x")
            assert b"spoiled" not in reply.body
            if path in ("/plain/a", "/chat/a"):
                assert (reply.status, reply.complete) == (200, True)
                assert reply.headers["X-Galenascale-Response-Signature"] == "signed"
            else:
                assert reply.status == 502
                assert b'"may_have_run"' in reply.body
        context = fleet.hosts[0].context
        # Bytes of no request say nothing about the server.
        assert not context.limits
        now = context.clock.monotonic()
        assert len(context.servers.usable(service, now)) == 2


@pytest.mark.parametrize("name", SPOILED_BY_NAME)
async def test_spoiled_answer_is_no_output_of_an_item(name):
    """Guards results of jobs against output that no server vouches for."""
    async with gateway_fleet(runners=0) as fleet:
        await add_spoiling_servers(fleet, "llm", name)
        assert await submit(fleet, "job-1", items=2) == 202
        results = await wait_for_results(fleet, "job-1", 2)
        for result in results:
            assert (result["State"], result["Text"]) == ("completed", output_of(5))


@pytest.mark.parametrize(
    ("status", "answered_id", "signed", "first", "expected"),
    [
        (200, "r1", True, True, ResponseMatch.ANSWER),
        (200, "r1", True, False, ResponseMatch.ANSWER),
        (200, "r1", False, False, ResponseMatch.SPOILED),
        (299, "r1", False, True, ResponseMatch.SPOILED),
        (304, "r1", False, True, ResponseMatch.ANSWER),
        (500, "r1", False, True, ResponseMatch.ANSWER),
        (200, "r0", True, False, ResponseMatch.OTHER),
        (200, "r0", True, True, ResponseMatch.OTHER),
        (200, "", True, False, ResponseMatch.OTHER),
        (200, "", True, True, ResponseMatch.SPOILED),
        (599, "r1", False, True, ResponseMatch.ANSWER),
        (600, "r1", True, True, ResponseMatch.SPOILED),
        (600, "r1", True, False, ResponseMatch.SPOILED),
        (999, "r0", True, False, ResponseMatch.SPOILED),
        (503, "", False, True, ResponseMatch.SPOILED),
        (503, "", False, False, ResponseMatch.OTHER),
    ],
)
def test_match_of_a_response_head(status, answered_id, signed, first, expected):
    """A response without an id may be a copy only on a used connection."""
    head = ResponseHead(status, (), request_id=answered_id, signed=signed)
    assert match_response(head, "r1", first=first) is expected


@pytest.mark.parametrize(
    ("answered_id", "expected"),
    [("", ResponseMatch.ANSWER), ("r1", ResponseMatch.OTHER)],
)
def test_request_without_id_takes_only_answers_without_one(answered_id, expected):
    """Callers may leave the id out; servers then have none to state."""
    head = ResponseHead(200, (), request_id=answered_id, signed=True)
    assert match_response(head, "", first=True) is expected
