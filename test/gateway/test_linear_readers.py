"""
Work that the bytes of other programs cause on a host's only thread.

Guards hosts against input whose processing takes more than linear time: while
it is read, the host answers nobody.
"""

import contextlib
import time

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from galenascale.errors import BackendError, GalenascaleError
from galenascale.gateway.event_stream import EventStreamParser
from galenascale.platform import headers, jobs
from galenascale.sse import EventParser
from galenascale.whole_numbers import parse_whole_number
from test.test_sse import split

# Length of the long input over that of the short one.
LENGTH_FACTOR = 4
# Processor time of the long input over that of the short one: 4 for linear
# work, 16 for quadratic work.
MAX_GROWTH = 9.0
# An input that takes no longer is refused before its end.
MIN_GROWTH = 1.0
# Shortest processor time in seconds that is compared.
MIN_TIME_S = 0.004
# Measurements of each length.
MEASUREMENTS = 10


def feed_in_pieces(make_parser, data, piece):
    """Feed a parser; errors of the module itself are allowed."""
    parser = make_parser()
    with contextlib.suppress(GalenascaleError):
        for start in range(0, len(data), piece):
            parser.feed(data[start : start + piece])


def feed_events(data, piece=1 << 13):
    """Feed the parser of servers' event streams."""
    feed_in_pieces(EventStreamParser, data, piece)


def parse_request(name, value):
    """Parse a request with one long header; errors of the user are allowed."""
    with contextlib.suppress(GalenascaleError):
        headers.parse_request("POST", "/a", ((name, value),))


def parse_response(name, value):
    """Parse a response head with one long header."""
    headers.parse_response_head(200, ((name, value),))


# Functions of a size, and the smaller of the two sizes that are compared.
READERS_BY_NAME = {
    # Two to the power of the number of lines, with nested repetition.
    "lines that look like headers, then text": (
        lambda n: feed_events(b"id: 1\r\n" + b"X-A: b\r\n" * n + b"text\r\n\r\n"),
        5,
    ),
    "comments that end with two line ends": (
        lambda n: feed_events(b":\r\n\r\n" * n + b"text\r\n\r\n"),
        5,
    ),
    "event in pieces of one byte": (
        lambda n: feed_events(b"data: " + b"a" * n, 1),
        30_000,
    ),
    "lines of an event in pieces of one byte": (
        lambda n: feed_events(b"data: a\n" * n, 1),
        3_500,
    ),
    "comments in pieces of one byte": (lambda n: feed_events(b":\n\n" * n, 1), 10_000),
    "name of a field without end": (lambda n: feed_events(b"a-" * n + b"\n"), 15_000),
    "carriage returns": (lambda n: feed_events(b"data:\r" * n + b"\n\n"), 5_000),
    "event of an engine in pieces of one byte": (
        lambda n: feed_in_pieces(EventParser, b"data: " + b"a" * n, 1),
        50_000,
    ),
    "idle time of a server": (
        lambda n: parse_response(b"Keep-Alive", b"timeout" * n + b" " * n),
        2_000,
    ),
    "limit of a server": (
        lambda n: parse_response(b"Server-Limit", b"1.1," * n),
        2_000,
    ),
    "spaces in credentials": (
        lambda n: parse_request(b"Authorization", b"token" + b" " * n + b"a b"),
        4_000,
    ),
    "parts of a prompt": (
        lambda n: parse_request(b"X-Galenascale-Prompt-Prefix", b"a:1," * n),
        2_000,
    ),
    "digits of a deadline": (
        lambda n: parse_request(b"X-Galenascale-Deadline-Ms", b"9" * n),
        2_000,
    ),
    "tokens of a request": (
        lambda n: parse_request(b"X-Galenascale-Token-Usage", b"9" * n + b",1"),
        2_000,
    ),
}


def processor_time(function, size, repetitions):
    """Return the processor time in seconds of the repetitions."""
    started_at = time.process_time()
    for _ in range(repetitions):
        function(size)
    return time.process_time() - started_at


def growth(function, size):
    """
    Return the time of a long input over that of a short one.

    Other programs make single measurements longer, so the shortest of each
    length count, and both lengths are measured by turns.
    """
    repetitions = 1
    while processor_time(function, size, repetitions) < MIN_TIME_S:
        repetitions *= 2
    times, long_times = [], []
    for _ in range(MEASUREMENTS):
        times.append(processor_time(function, size, repetitions))
        long_times.append(processor_time(function, LENGTH_FACTOR * size, repetitions))
    return min(long_times) / min(times)


@pytest.mark.parametrize("name", READERS_BY_NAME)
def test_time_grows_with_the_length_of_the_input(name):
    """Guards against a reader whose work grows faster than its input."""
    function, size = READERS_BY_NAME[name]
    assert MIN_GROWTH < growth(function, size) < MAX_GROWTH


def scan_again_and_again(n):
    """Read n bytes as a reader would that scans all of them at each byte."""
    data = bytes(n)
    for end in range(n):
        sum(data[:end])


def join_again_and_again(n):
    """Read n pieces as a reader would that copies all of them at each one."""
    data = b""
    for _ in range(n):
        data = bytes(bytearray(data) + b"a" * 64)


# Functions of a size whose work is quadratic, and the smaller size.
QUADRATIC_READERS_BY_NAME = {
    "scans": (scan_again_and_again, 1_500),
    "copies": (join_again_and_again, 1_500),
}


@pytest.mark.parametrize("name", QUADRATIC_READERS_BY_NAME)
def test_quadratic_work_is_found(name):
    """The comparison must tell a reader of quadratic work from others."""
    function, size = QUADRATIC_READERS_BY_NAME[name]
    assert growth(function, size) >= MAX_GROWTH


LINES = [
    b"data: x\n",
    b"data:",
    b"data\r\n",
    b"id: 7\n",
    b"id:" + b"9" * 5000 + b"\n",
    b": c\r\n",
    b"x-a: 1\n",
    b"\n",
    b"\r\n",
    b"\r",
    b"text",
    b"\xff",
]


def read_events(reads):
    """Return (events, pending, is inside an event, error code) of reads."""
    parser = EventStreamParser()
    events = []
    try:
        for read in reads:
            events += parser.feed(read)
    except BackendError as error:
        return None, None, None, error.code
    return events, parser.pending, parser.is_inside_event, None


@given(st.lists(st.sampled_from(LINES)), st.lists(st.integers(0, 80)))
@example([b"data:", b"\r\n", b"\r\n"], [6, 8])
def test_any_split_into_reads_gives_the_same_events(lines, cuts):
    """Guards against events lost, doubled or made up where a read ends."""
    data = b"".join(lines)
    whole = read_events([data])
    assert read_events(split(data, cuts)) == whole
    if whole[0] is not None:
        assert b"".join(event.raw for event in whole[0]) + whole[1] == data


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b"17", 17),
        (" 17 ", 17),
        ("9" * 18, int("9" * 18)),
        ("9" * 19, None),
        (b"9" * 5000, None),
        ("²", None),
        ("٣", None),
        ("-1", None),
        ("", None),
    ],
)
def test_whole_numbers_of_other_programs(text, expected):
    """Guards against an unexpected error for digits that are no number."""
    assert parse_whole_number(text) == expected


@pytest.mark.parametrize("position", ["9" * 5000, "²"])
def test_odd_position_in_a_call_is_an_error_of_the_caller(position):
    """Guards against an unexpected error for a position that is no number."""
    with pytest.raises(GalenascaleError):
        jobs.parse_job_call("GET", f"/lots/j1?After={position}", ())
