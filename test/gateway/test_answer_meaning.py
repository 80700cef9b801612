"""What answers say of requests, and what of the servers that gave them."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale.gateway.answer_meaning import (
    Meaning,
    find_meaning,
    refusal_outcome,
)
from galenascale.gateway.jobs.item_runs import RunResult
from galenascale.gateway.requests import BufferedResponse, CallerRequest
from galenascale.gateway.server_selection import slot_outcome
from galenascale.generated.gateway_messages import SlotOutcome
from galenascale.platform.headers import parse_request, parse_response_head

NOT_RUN = (b"X-Galenascale-Not-Executed", b"1")


def make_request(*headers):
    """Return a request with header fields."""
    return parse_request("POST", "/a", ((b"Host", b"h"), *headers))


@pytest.mark.parametrize(
    ("status", "headers", "expected_version", "meaning", "outcome"),
    [
        (200, (), None, Meaning.RAN, None),
        (200, (), b"1", Meaning.RAN, None),
        (422, (), b"1", Meaning.RAN, None),
        (500, (), None, Meaning.RAN, None),
        # A status alone promises nothing; only 421 does.
        (503, (), None, Meaning.RAN, None),
        (503, (NOT_RUN,), None, Meaning.FULL, SlotOutcome.REFUSED),
        (429, (NOT_RUN,), b"1", Meaning.FULL, SlotOutcome.REFUSED),
        (400, (NOT_RUN,), None, Meaning.REJECTED, SlotOutcome.UNUSED),
        (413, (NOT_RUN,), b"1", Meaning.REJECTED, SlotOutcome.UNUSED),
        (421, (), None, Meaning.OTHER_SERVER, SlotOutcome.GONE),
        (421, (NOT_RUN,), None, Meaning.OTHER_SERVER, SlotOutcome.GONE),
        (421, (), b"1", Meaning.OTHER_WEIGHTS, SlotOutcome.UNUSED),
        (421, (NOT_RUN,), b" 1 ", Meaning.OTHER_WEIGHTS, SlotOutcome.UNUSED),
        (421, (NOT_RUN,), b"no number", Meaning.OTHER_WEIGHTS, SlotOutcome.UNUSED),
        (421, (NOT_RUN,), b"", Meaning.OTHER_WEIGHTS, SlotOutcome.UNUSED),
    ],
)
def test_meaning_of_an_answer(status, headers, expected_version, meaning, outcome):
    """Guards the table that online requests and items share."""
    fields = ()
    if expected_version is not None:
        fields = ((b"x-galenascale-EXPECT-version", expected_version),)
    head = parse_response_head(status, headers)
    assert find_meaning(head, make_request(*fields)) is meaning
    if outcome is not None:
        assert refusal_outcome(meaning) == outcome
        response = BufferedResponse(head, b"")
        assert slot_outcome(meaning, response, False) == outcome
        assert RunResult("refused", slot_outcome=outcome).server_outcome == outcome


header_names = st.sampled_from(
    [
        b"X-Galenascale-Expect-Version",
        b"X_Galenascale_Expect_Version",
        b"x-galenascale-target-instance",
        b"X-Galenascale-Model",
        b"Server-Leaving",
        b"X-Galenascale-Weight-Versions",
    ]
)
header_fields = st.tuples(header_names, st.binary(max_size=6).map(bytes.hex))


@given(
    headers=st.lists(header_fields, max_size=4),
    expects=st.booleans(),
    version=st.integers(0, 3),
    weights=st.integers(0, 3),
)
def test_no_request_puts_the_server_that_it_names_out_of_use(
    headers, expects, version, weights
):
    """
    Guards all callers against the requests of one.

    The server that a host names answers 421 only to other versions.
    """
    fields = [(name, value.encode()) for name, value in headers]
    if expects:
        fields.insert(0, (b"X-Galenascale-Expect-Version", b"%d" % version))
    request = make_request(*fields)
    expected = request.expected_version
    if expected is None or expected == str(weights):
        # Such a server runs it.
        return
    head = parse_response_head(
        421, ((b"X-Galenascale-Weight-Versions", b"%d" % weights), NOT_RUN)
    )
    meaning = find_meaning(head, request)
    assert meaning.is_of_request
    assert refusal_outcome(meaning) == SlotOutcome.UNUSED


def test_request_without_version_expects_none():
    """Guards the answers to all other requests."""
    assert make_request().expected_version is None
    assert CallerRequest("i", "GET", "/", "h", ()).expected_version is None
