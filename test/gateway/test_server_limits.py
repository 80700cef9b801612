"""Request rates that backend servers name as their limits."""

import attrs
import pytest

from galenascale.gateway import limit_exchange
from galenascale.gateway.server_limits import (
    MAX_REPORTS,
    MAX_REQUESTS_PER_S,
    OVER_TTL_S,
    REPORT_DELAY_S,
    REPORT_S,
    LimitChange,
    LimitReport,
    NamedLimit,
    ServerLimits,
)
from galenascale.gateway.servers import ServerEntry
from galenascale.generated.gateway_messages import HostStatus, ServerLimitReport
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


@pytest.mark.parametrize(
    ("reports", "rate"),
    [
        # Of reports about a limit in force the newest counts.
        ([(2.0, 10.0), (3.0, 11.0)], 3.0),
        ([(3.0, 11.0), (2.0, 10.0)], 3.0),
        # A report that relays held up does not bring an ended limit back.
        ([(2.0, 10.0), (None, 11.0), (2.0, 12.0)], None),
        ([(2.0, 10.0), (None, 11.0), (2.0, 11.5 + REPORT_DELAY_S)], 2.0),
        ([(2.0, 11.0), (None, 10.0)], 2.0),
        ([(None, 10.0)], None),
    ],
)
def test_reports_of_other_hosts_are_merged(reports, rate):
    """Guards against late and repeated reports, in any order."""
    limits = ServerLimits()
    entry = make_entry()
    for requests_per_s, said_at in reports:
        limits.merge(LimitReport(entry.run_key, requests_per_s, said_at))
    assert limits.rate_of(entry) == rate
    # What others told is not told on.
    assert limits.reports(12.0) == []


def test_reports_end_and_are_bounded():
    """Guards the size of messages, and hosts that are told for ever."""
    limits = ServerLimits()
    for number in range(MAX_REPORTS + 5):
        entry = make_entry(f"s{number}")
        limits.observe(entry, NamedLimit("2", 2.0), 0.0, float(number) / 100)
    assert len(limits.reports(1.0)) == MAX_REPORTS
    assert limits.reports(1.0 + REPORT_S) == []
    assert limits.repeat(entry, 50.0)
    assert not limits.repeat(entry, 50.4)
    assert limits.repeat(entry, 50.6)
    (report,) = limits.reports(51.0)
    assert report.run_key == entry.run_key
    limits.observe(entry, None, 52.0, 53.0)
    assert limits.reports(54.0)[0].requests_per_s is None
    limits.reports(53.0 + OVER_TTL_S + 1.0)
    assert not limits.knows(entry.run_key)


async def test_report_about_an_unknown_server_is_ignored():
    """Guards the memory of a host against servers that ended long ago."""
    async with gateway_fleet(runners=1) as fleet:
        context = fleet.hosts[0].context
        (known,) = context.servers.usable("app", 0.0)
        now = context.clock.monotonic()
        status = HostStatus(
            host_id="other",
            server_limits=[
                ServerLimitReport(make_entry("gone").run_key, 2000, 10),
                ServerLimitReport(known.run_key, 2000, 10),
                ServerLimitReport(known.run_key, -(1 << 31), 1 << 30),
            ],
        )
        limit_exchange.apply_status(context, status, now)
        assert not context.limits.knows(make_entry("gone").run_key)
        assert context.limits.rate_of(known) == 2.0
