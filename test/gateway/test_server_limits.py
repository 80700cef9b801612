"""Request rates that backend servers name as their limits."""

import attrs
import pytest

from galenascale.gateway.server_limits import (
    MAX_REQUESTS_PER_S,
    LimitChange,
    NamedLimit,
    ServerLimits,
)
from galenascale.gateway.servers import ServerEntry
from galenascale.platform.headers import parse_response_head
from test.gateway.fleet import gateway_fleet, until


def make_entry(server_id="s", started_ms=1):
    """Return the entry of a server."""
    return ServerEntry(server_id, "llm", "10.0.0.1:1", "a", 8, False, started_ms)


@pytest.mark.parametrize(
    ("values", "rate"),
    [
        ([b"2.5"], 2.5),
        ([b" 0.25 "], 0.25),
        ([b"0"], 0.0),
        ([b"100000000"], 1e8),
        # The lowest of several counts, in whatever way they are written.
        ([b"3", b"2"], 2.0),
        ([b"3, 2"], 2.0),
        ([b"2", b"many"], 2.0),
        ([b"many"], None),
        ([b""], None),
        ([b"-1"], None),
        ([b"nan"], None),
        ([b"inf"], None),
        ([b"1e3"], None),
        ([b"0x10"], None),
        ([b"1" * 400], None),
        ([b"\xb2"], None),
    ],
)
def test_limit_is_parsed(values, rate):
    """Guards hosts against limits that are no decimal numbers."""
    headers = tuple((b"Server-Limit", value) for value in values)
    assert parse_response_head(200, headers).limit.requests_per_s == rate


def test_answer_without_limit_names_none():
    """Guards servers that name no limit."""
    assert parse_response_head(200, ((b"Server-Leaving", b"1"),)).limit is None


@attrs.frozen
class Answer:
    """An answer: what it names, when it was asked for and arrived."""

    text: str | None
    rate: float | None
    sent_at: float
    at: float
    change: LimitChange | None

    @property
    def named(self):
        """Return the NamedLimit in the answer."""
        return None if self.text is None else NamedLimit(self.text, self.rate)


@pytest.mark.parametrize(
    "answers",
    [
        pytest.param(
            [
                Answer("2", 2.0, 0.0, 1.0, LimitChange(None, 2.0)),
                Answer("2", 2.0, 1.5, 2.0, None),
                Answer("4", 4.0, 2.0, 3.0, LimitChange(2.0, 4.0)),
                Answer("0.5", 0.5, 2.0, 4.0, LimitChange(4.0, 0.5)),
                Answer(None, None, 4.0, 5.0, LimitChange(0.5, None)),
                Answer(None, None, 5.0, 6.0, None),
            ],
            id="learned, changed, over",
        ),
        pytest.param(
            [
                Answer("2", 2.0, 0.0, 1.0, LimitChange(None, 2.0)),
                Answer(None, None, 0.5, 1.1, None),
                Answer(None, None, 1.2, 1.3, LimitChange(2.0, None)),
            ],
            id="answer to an earlier request does not end it",
        ),
        pytest.param(
            [
                Answer("many", None, 0.0, 0.5, None),
                Answer("2", 2.0, 0.0, 1.0, LimitChange(None, 2.0)),
                Answer("many", None, 1.0, 2.0, None),
                Answer(None, None, 600.0, 601.0, LimitChange(2.0, None)),
            ],
            id="malformed changes nothing, and time ends nothing",
        ),
        pytest.param(
            [Answer("9e9", 9e9, 0.0, 1.0, LimitChange(None, MAX_REQUESTS_PER_S))],
            id="huge",
        ),
    ],
)
def test_limit_follows_the_answers(answers):
    """Guards against limits that outlive the need, or end before it."""
    limits = ServerLimits()
    entry = make_entry()
    rate = None
    for answer in answers:
        change = limits.observe(entry, answer.named, answer.sent_at, answer.at)
        assert change == answer.change
        rate = change.after if change else rate
        assert limits.rate_of(entry) == rate


def test_limit_holds_for_one_run_of_a_server():
    """Guards a server that starts again under its id and address."""
    limits = ServerLimits()
    limits.observe(make_entry(), NamedLimit("2", 2.0), 0.0, 1.0)
    assert limits.rate_of(make_entry(started_ms=2)) is None
    limits.remove(make_entry())
    assert not limits


@pytest.mark.parametrize("path", ["/plain/a", "/once/a", "/chat/a", "/talk/a"])
async def test_host_learns_and_forgets_a_limit(path):
    """Guards operators: the host knows what a server's answers name."""
    async with gateway_fleet(runners=1) as fleet:
        service = "llm" if path[1:] in ("chat/a", "talk/a") else "app"
        (runner,) = fleet.runners_of(service)
        context = fleet.hosts[0].context
        (entry,) = context.servers.usable(service, 0.0)
        runner.behaviour.limits = ("3.5",)
        reply = await fleet.request(path, data=b"x")
        assert reply.headers["Server-Limit"] == "3.5"
        assert context.limits.rate_of(entry) == 3.5
        runner.behaviour.limits = ()
        assert (await fleet.request(path, request_id="r2")).status == 200
        await until(lambda: context.limits.rate_of(entry) is None)
