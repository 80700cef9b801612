"""Formats of the platform: decoding, and what is passed on unchanged."""

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale.errors import DecodeError, UserError
from galenascale.gateway.configuration import RequestKind, RouteTable
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
    """Guards units and names that say little on the wire."""
    route = ROUTE | {"DueMs": 18000, "ItemTtlS": 60, "CanResume": True, "Attempts": 2}
    (decoded,) = decode(route).routes
    assert decoded.kind is RequestKind.STREAMING
    assert (decoded.timeout_s, decoded.objective_s) == (5.0, 0.3)
    assert (decoded.due_s, decoded.give_up_s) == (18.0, 60.0)
    assert decoded.repeatable


def test_kind_that_is_not_known_must_not_run_twice():
    """Guards requests of kinds that later deployments add."""
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
def test_configuration_with_a_wrong_field_is_refused(change):
    """Guards against a configuration that is understood by half."""
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
def test_longest_prefix_of_the_host_is_found(host, path, name):
    """Guards requests against the route of another service."""
    routes = [
        *decode(ROUTE | {"Name": "short"}).routes,
        *decode(ROUTE | {"Name": "long", "PathPrefix": "/x/y/"}).routes,
    ]
    found = RouteTable(routes).find(host, path)
    assert (found.name if found else None) == name


def test_headers_of_one_connection_are_not_passed_on():
    """Guards servers against headers that concern the caller's connection."""
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
    request = headers.parse_request("POST", "/x/", sent, b"body")
    assert (request.request_id, request.timeout_s) == ("r1", 1.5)
    passed = headers.build_backend_headers(request, "s1", 1.2, 4)
    assert passed == [
        (b"Host", b"a.example"),
        (b"X-Galenascale-Attempt-Id", b"r1"),
        (b"X-Other", b"\xe9"),
        (b"Last-Event-Id", b"4"),
        (b"X-Galenascale-Deadline-Ms", b"1200"),
        (b"X-Galenascale-Target-Instance", b"s1"),
        (b"Content-Length", b"4"),
    ]


def test_header_that_is_no_number_is_refused():
    """Guards against a deadline that is taken for none."""
    with pytest.raises(UserError):
        headers.parse_request("GET", "/", ((b"X-Galenascale-Deadline-Ms", b"x"),), b"")


@pytest.mark.parametrize(
    ("status", "sent", "not_run"),
    [
        (503, ((b"X-Galenascale-Not-Executed", b"1"),), True),
        (503, (), False),
        (421, (), True),
        (500, (), False),
    ],
)
def test_only_a_server_that_says_so_did_not_run(status, sent, not_run):
    """Guards refusals against answers that do not promise it."""
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
def test_job_calls_are_told_from_requests(method, target, kind):
    """Guards requests against being taken for calls about jobs."""
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
def test_malformed_job_is_refused_whole(body):
    """Guards servers against smuggled headers, jobs against half a list."""
    request = CallerRequest("j", "POST", "/jobs/", "a.example", (), body)
    with pytest.raises(UserError):
        jobs.parse_submission(request)


def test_page_of_results_is_bounded_but_never_empty():
    """Guards readers against pages that are too large or empty."""
    large = ItemResult("a", True, b"x" * jobs.MAX_PAGE_BYTES)
    page = orjson.loads(jobs.encode_results(9, 4, [large, large]))
    assert (page["Total"], page["NextToken"], len(page["Outputs"])) == (9, 5, 1)


@given(st.lists(st.binary(max_size=40), max_size=8))
def test_framed_records_are_read_back(bodies):
    """Guards records against framing that depends on their content."""
    data = b"\0" * 16 + records.frame_records(bodies)
    assert records.parse_read_response(data, 7).records == list(enumerate(bodies, 7))


@given(st.binary(max_size=60))
def test_broken_reads_are_refused(data):
    """Guards the state of a host against reads that are cut off."""
    try:
        records.parse_read_response(data, 0)
    except DecodeError:
        return
    assert len(data) >= 16


@pytest.mark.parametrize("state", ["ready", "draining"])
def test_server_entry_is_decoded(state):
    """Guards the names under which servers register."""
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
