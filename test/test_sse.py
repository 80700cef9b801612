"""Tests of the parser of server-sent events."""

import re

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from galenascale.errors import DecodeError
from galenascale.sse import EventParser, encode_events

PIECES = [
    b"data: x\n\n",
    b"data:",
    b" ",
    b"{}",
    b"\n",
    b"\r",
    b"\r\n",
    b": c",
    b"id: 1",
]


def split(data, cuts):
    """Return the data cut at the given places."""
    places = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    return [data[i:j] for i, j in zip(places, places[1:], strict=False)]


def reference(data):
    """Return the data of all complete events, line by line."""
    events, lines = [], []
    *complete, _ = re.split(rb"\r\n|\n|\r", data)
    for line in complete:
        if not line and lines:
            events.append(b" ".join(lines))
            lines = []
        if line.startswith(b"data:"):
            lines.append(line[5:].removeprefix(b" "))
    return events


@given(st.lists(st.sampled_from(PIECES)), st.lists(st.integers(0, 80)))
# A whole event that follows a begun one, and a CR LF in two reads.
@example([b"data:", b"{}", b"data: x\n\n"], [7])
@example([b"data:", b"\r\n", b"data:", b"\r\n", b"\r\n"], [6])
def test_any_split_into_reads_gives_the_same_events(pieces, cuts):
    """Guards against events lost or doubled where a network read ends."""
    data = b"".join(pieces)
    parser = EventParser()
    events = [event for read in split(data, cuts) for event in parser.feed(read)]
    assert events == reference(data)


@given(st.lists(st.binary(max_size=50)), st.integers(1, 100))
def test_junk_gives_events_or_a_typed_error(reads, limit):
    """Guards against untyped errors and unbounded memory for junk."""
    parser = EventParser(max_event_bytes=limit)
    try:
        for read in reads:
            parser.feed(read)
    except DecodeError as error:
        assert error.code == "decode_error"
        assert len(b"".join(reads)) > limit


@given(
    st.lists(st.binary().map(lambda data: re.sub(rb"[\r\n]", b"", data)), min_size=1)
)
def test_encoded_events_are_parsed_back(contents):
    """Guards the relayed bytes against a loss of data."""
    assert EventParser().feed(encode_events(contents)) == contents


def test_event_above_the_limit_is_refused():
    """Guards against a server that never ends an event."""
    with pytest.raises(DecodeError):
        EventParser(max_event_bytes=10).feed(b"data: 0123456789")
