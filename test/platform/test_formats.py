"""Formats of the platform: decoding, encoding and forwarded headers."""

from unittest.mock import Mock

import attrs
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale.errors import DecodeError, UserError
from galenascale.gateway.configuration import RequestKind, RouteTable
from galenascale.gateway.http_heads import encode_request_head
from galenascale.gateway.requests import CallerRequest, ItemResult, JobCallKind
from galenascale.platform import configuration, headers, jobs, records, servers

ROUTE = {
    "Name": "r",
    "Host": "a.example",
    "PathPrefix": "/x/",
    "Kind": "streaming",
    "TimeoutMs": 5000,
    "SloMs": 300,
    "Service": "llm",
}


def decode(route=ROUTE, **fields):
    """Return the decoded configuration with one route."""
    config = {"Version": 7, "Routes": [route], "Services": [], **fields}
    return configuration.decode_configuration(orjson.dumps(config))


def test_configuration_is_decoded_into_seconds_and_types():
    """Wire names hide units (Ms, S) or mislead, as ItemTtlS does."""
    route = ROUTE | {"DueMs": 18000, "ItemTtlS": 60, "CanResume": True, "Attempts": 2}
    (decoded,) = decode(route).routes
    assert decoded.kind is RequestKind.STREAMING
    assert (decoded.timeout_s, decoded.objective_s) == (5.0, 0.3)
    assert (decoded.due_s, decoded.give_up_s) == (18.0, 60.0)
    assert decoded.repeatable


def test_unknown_kind_is_not_repeatable():
    """A later version may add kinds, whose requests must not run twice."""
    (decoded,) = decode(ROUTE | {"Kind": "new"}).routes
    assert decoded.kind is RequestKind.NON_IDEMPOTENT
    assert not decoded.repeatable


@pytest.mark.parametrize(
    "change",
    [
        {"Name": 3},
        {"TimeoutMs": "5000"},
        {"TimeoutMs": True},
        {"Service": None},
        {"WeightedBackends": [{"Service": "a"}]},
    ],
)
def test_configuration_with_an_invalid_field_is_rejected(change):
    """A partly valid configuration must not be applied."""
    with pytest.raises(DecodeError):
        decode(ROUTE | change)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/x/1", "short"),
        ("A.Example:80", "/x/1", "short"),
        ("a.example", "/x/y/1", "long"),
        ("a.example", "/x", None),
        ("a.example", "/x%2Fy/", None),
        ("b.example", "/x/1", None),
    ],
)
def test_route_with_the_longest_prefix_is_found(host, path, name):
    """A wrong match would send a request to another service."""
    routes = [
        *decode(ROUTE | {"Name": "short"}).routes,
        *decode(ROUTE | {"Name": "long", "PathPrefix": "/x/y/"}).routes,
    ]
    found = RouteTable(routes).find(host, path)
    assert (found.name if found else None) == name


def test_hop_by_hop_headers_are_not_forwarded():
    """Headers of the caller's connection must not reach a server."""
    sent = (
        (b"Host", b"a.example"),
        (b"Connection", b"close, X-Mine"),
        (b"X-Mine", b"1"),
        (b"Transfer-Encoding", b"chunked"),
        (b"X-Galenascale-Target-Instance", b"forged"),
        (b"X-Galenascale-Deadline-Ms", b"1500"),
        (b"X-Galenascale-Attempt-Id", b"r1"),
        (b"X-Other", b"\xe9"),
    )
    request = headers.parse_request("POST", "/x/", sent)
    request.body = b"body"
    assert (request.request_id, request.timeout_s) == ("r1", 1.5)
    passed = headers.build_backend_headers(request, "s1", 1.2, 4)
    assert passed == [
        (b"Host", b"a.example"),
        (b"X-Galenascale-Attempt-Id", b"r1"),
        (b"X-Other", b"\xe9"),
        (b"Last-Event-Id", b"4"),
        (b"X-Galenascale-Deadline-Ms", b"1200"),
        (b"X-Galenascale-Target-Instance", b"s1"),
    ]
    assert encode_request_head(request, passed) == (
        b"POST /x/ HTTP/1.1\r\n"
        b"Host: a.example\r\n"
        b"X-Galenascale-Attempt-Id: r1\r\n"
        b"X-Other: \xe9\r\n"
        b"Last-Event-Id: 4\r\n"
        b"X-Galenascale-Deadline-Ms: 1200\r\n"
        b"X-Galenascale-Target-Instance: s1\r\n"
        b"Content-Length: 4\r\n\r\n"
    )


def test_non_numeric_header_is_rejected():
    """An invalid deadline must not be taken for a missing one."""
    with pytest.raises(UserError):
        headers.parse_request("GET", "/", ((b"X-Galenascale-Deadline-Ms", b"x"),))


@pytest.mark.parametrize(
    ("status", "sent", "not_run"),
    [
        (503, ((b"X-Galenascale-Not-Executed", b"1"),), True),
        (503, (), False),
        (421, (), True),
        (500, (), False),
    ],
)
def test_response_is_not_run_only_if_the_server_states_it(status, sent, not_run):
    """Other failures may have run, so a retry might run them twice."""
    assert headers.parse_response_head(status, sent).not_run is not_run


@pytest.mark.parametrize(
    ("method", "target", "kind"),
    [
        ("GET", "/lots/a?After=3", JobCallKind.RESULTS),
        ("DELETE", "/lots/a", JobCallKind.END),
        ("GET", "/items/a?Id=i", JobCallKind.ITEM_BODY),
        ("POST", "/lots/a", None),
        ("GET", "/other/a", None),
    ],
)
def test_job_calls_are_distinguished_from_requests(method, target, kind):
    """Requests with similar paths must not be taken for job calls."""
    call = jobs.parse_job_call(method, target, ())
    assert (call.kind if call else None) is kind


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b'{"Items": []}',
        b'{"Items": [{"Id": "a", "Path": "x"}]}',
        b'{"Items": [{"Id": "a", "Path": "/x", "Body": "%%"}]}',
        b'{"Items": [{"Id": "a", "Path": "/x\\r\\nA: b"}]}',
        b'{"Items": [{"Id": "a", "Path": "/x", "Headers": {"A": "b\\r\\nC: d"}}]}',
        b'{"Items": [{"Id": "a", "Path": "/x"}, {"Id": "a", "Path": "/x"}]}',
    ],
)
def test_malformed_job_is_rejected_as_a_whole(body):
    """Injected headers must not reach servers, nor part of a job be run."""
    request = CallerRequest("j", "POST", "/jobs/", "a.example", (), body)
    with pytest.raises(UserError):
        jobs.parse_submission(request)


def test_page_of_results_is_bounded_but_not_empty():
    """A result beyond the limit still needs a page, or readers would stall."""
    large = ItemResult("a", True, b"x" * jobs.MAX_PAGE_BYTES)
    page = orjson.loads(jobs.encode_results(9, 4, [large, large]))
    assert (page["Total"], page["NextToken"], len(page["Outputs"])) == (9, 5, 1)


@given(st.lists(st.binary(max_size=40), max_size=8))
def test_framed_records_round_trip(bodies):
    """Framing must not depend on the content of records."""
    data = b"\0" * 16 + records.frame_records(bodies)
    assert records.parse_read_response(data, 7).records == list(enumerate(bodies, 7))


@given(st.binary(max_size=60))
def test_truncated_read_responses_are_rejected(data):
    """A truncated read must raise DecodeError instead of changing state."""
    try:
        records.parse_read_response(data, 0)
    except DecodeError:
        return
    assert len(data) >= 16


@pytest.mark.parametrize("state", ["ready", "draining"])
def test_server_entry_is_decoded(state):
    """Fields and states of a registration have the platform's names."""
    entry = servers.decode_server(
        "s1",
        orjson.dumps(
            {
                "Service": "llm",
                "Address": "10.0.0.1:80",
                "Zone": "a",
                "Slots": 8,
                "State": state,
                "Seq": 4,
                "born": 12,
            }
        ),
    )
    assert entry.incarnation == ("s1", 12, "10.0.0.1:80")
    assert entry.draining is (state == "draining")


def make_registration(**fields):
    """Return the registration of a server; its number comes last."""
    return orjson.dumps(
        {
            "Service": "llm",
            "Address": "10.0.0.1:80",
            "Zone": "a",
            "Slots": 8,
            "State": "ready",
            "born": 12,
            "Seq": 4,
        }
        | fields
    )


def test_registration_that_repeats_the_last_one_is_not_parsed(monkeypatch):
    """Guards the processor time of hosts with thousands of servers."""
    parse = Mock(side_effect=servers.parse_json_object)
    monkeypatch.setattr(servers, "parse_json_object", parse)
    decoder = servers.ServerDecoder()
    for sequence in range(10):
        for server_id in ("s1", "s2"):
            entry = decoder.decode(server_id, make_registration(Seq=sequence))
            assert entry.server_id == server_id
    assert parse.call_count == 2


@pytest.mark.parametrize(
    ("fields", "changed"),
    [
        ({"State": "draining"}, {"draining": True}),
        ({"Address": "10.0.0.2:80"}, {"address": "10.0.0.2:80"}),
        ({"born": 13}, {"started_ms": 13}),
        ({"Slots": 9}, {"slots": 9}),
        ({"Service": 'an "Seq":4 other'}, {"service": 'an "Seq":4 other'}),
    ],
)
def test_registration_that_differs_is_decoded(fields, changed):
    """Guards against the state of an earlier registration."""
    decoder = servers.ServerDecoder()
    first = decoder.decode("s1", make_registration())
    second = decoder.decode("s1", make_registration(**fields, Seq=5))
    assert attrs.evolve(first, sequence=5, **changed) == second
    assert decoder.decode("s1", make_registration(Seq=6)) == attrs.evolve(
        first, sequence=6
    )


@pytest.mark.parametrize("sequence", [None, "4", 4.5, [4], True])
def test_registration_with_a_malformed_number_is_rejected(sequence):
    """Guards against a registration that only looks like the last one."""
    decoder = servers.ServerDecoder()
    decoder.decode("s1", make_registration())
    with pytest.raises(DecodeError):
        decoder.decode("s1", make_registration(Seq=sequence))


def test_known_registrations_are_bounded(monkeypatch):
    """Guards memory: servers come back under new ids."""
    monkeypatch.setattr(servers, "MAX_KNOWN_SERVERS", 10)
    decoder = servers.ServerDecoder()
    for number in range(100):
        decoder.decode(f"s{number}", make_registration())
    assert len(decoder._known_by_id) == 10
