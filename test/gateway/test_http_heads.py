"""
Heads of requests from text of callers, of the store and of other hosts.

Guards against text that ends a head early: a server would read a second
request, of any route and team, that no caller sent.
"""

import http

import attrs
import httptools
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale.errors import UserError
from galenascale.gateway.http_heads import (
    CONNECTION_FIELDS,
    InvalidHead,
    encode_request_head,
    encode_response_head,
)
from galenascale.gateway.requests import CallerRequest
from galenascale.generated.gateway_messages import JobItem
from galenascale.platform import headers, jobs

HOST = "front.example"
# Text that is likely to break a head, and any other.
TEXT = st.one_of(
    st.lists(
        st.sampled_from(
            ["\r\n", "\n", "\r", "\0", ":", " ", "\t", "a", "é", "\x85", "�", "GET / "]
        ),
        max_size=6,
    ).map("".join),
    st.text(max_size=8),
    st.sampled_from(["Content-Length", "transfer-encoding", "Host", "TE", "X-A", ""]),
)
OWN_NAMES = {
    b"host",
    b"content-length",
    b"x-galenascale-attempt-id",
    b"x-galenascale-deadline-ms",
    b"x-galenascale-target-instance",
}


@attrs.define
class ReadRequest:
    """A request as a strict server reads it."""

    method: bytes = b""
    target: bytes = b""
    fields: list = attrs.field(factory=list)
    body: bytes = b""

    def values(self, name):
        """Return the values of a header, by its name in lower case."""
        return [value for key, value in self.fields if key.lower() == name]


class StrictServer:
    """Collects the requests in the bytes that it is sent."""

    def __init__(self):
        self.requests = []

    def on_message_begin(self):
        """Begin the next request."""
        self.requests.append(ReadRequest())

    def on_url(self, url):
        """Add a part of the target."""
        self.requests[-1].target += url

    def on_header(self, name, value):
        """Add a header."""
        self.requests[-1].fields.append((name, value))

    def on_body(self, body):
        """Add a part of the body."""
        self.requests[-1].body += body


def read_requests(data):
    """Return the ReadRequests in the bytes."""
    server = StrictServer()
    parser = httptools.HttpRequestParser(server)
    parser.feed_data(data)
    for request in server.requests:
        request.method = parser.get_method()
    return server.requests


def item_request(item, host):
    """Return the CallerRequest that runs an item; raise InvalidHead."""
    return CallerRequest(
        request_id=item.item_id,
        method="POST",
        target=item.path,
        host=host,
        headers=headers.build_item_headers(item, host),
        body=b"body",
    )


def encode(request):
    """Return the bytes that a server gets for a CallerRequest."""
    fields = headers.build_backend_headers(request, "server-1", 1.5, None)
    return encode_request_head(request, fields) + request.body


def check_item_bytes(item, host):
    """Fail unless a server reads one request, that of the item."""
    (read,) = read_requests(encode(item_request(item, host)))
    assert read.method == b"POST"
    assert read.target == item.path.encode()
    assert read.body == b"body"
    assert read.values(b"host") == [host.encode("latin-1").strip(b" \t")]
    assert read.values(b"x-galenascale-attempt-id") == [item.item_id.encode("latin-1")]
    sent = {
        name.lower().encode("latin-1"): value.encode("latin-1").strip(b" \t")
        for name, value in item.headers.items()
    }
    names = {name.lower() for name, _ in read.fields}
    assert names <= OWN_NAMES | sent.keys()
    for name in names - OWN_NAMES:
        assert set(read.values(name)) <= {
            value.encode("latin-1").strip(b" \t")
            for key, value in item.headers.items()
            if key.lower().encode("latin-1") == name
        }


def job_of(**fields):
    """Return the request that submits a job of one item."""
    item = {"Id": "item-0", "Path": "/jobs/0", "Headers": {}, **fields}
    body = orjson.dumps({"Items": [item]})
    return CallerRequest("job-1", "POST", "/jobs/x", HOST, (), body=body)


@given(TEXT, TEXT, st.dictionaries(TEXT, TEXT, max_size=3))
def test_submitted_item_is_refused_or_is_one_request(item_id, path, fields):
    """Whatever text an item holds, a server reads that item and no more."""
    try:
        submission = jobs.parse_submission(
            job_of(Id=item_id, Path=f"/{path}", Headers=fields)
        )
    except UserError as error:
        assert error.http_status == 400
        return
    check_item_bytes(submission.items[0], HOST)


@given(TEXT, TEXT, st.dictionaries(TEXT, TEXT, max_size=3), TEXT)
def test_stored_item_has_a_defect_or_is_one_request(item_id, path, fields, host):
    """A job in the store may come from a build that checked less."""
    item = JobItem(item_id=item_id, path=f"/{path}", headers=fields)
    try:
        headers.check_item(item, host)
    except InvalidHead:
        with pytest.raises(InvalidHead):
            encode(item_request(item, host))
        return
    check_item_bytes(item, host)


RAW = TEXT.map(lambda text: text.encode("utf-8", "replace"))


@given(TEXT, TEXT, st.lists(st.tuples(RAW, RAW), max_size=4))
def test_head_of_any_fields_is_refused_or_one_request(method, target, fields):
    """The writer of heads must not rely on the checks of its callers."""
    request = CallerRequest("r1", method, target, HOST, (), body=b"body")
    try:
        data = encode_request_head(request, fields) + request.body
    except InvalidHead:
        return
    try:
        (read,) = read_requests(data)
    except httptools.HttpParserError:
        # A method that the server does not know, or a target of another form.
        assert len(data.split(b"\r\n")) == len(fields) + 4
        return
    assert len(read.fields) == len(fields) + 1
    assert read.body == b"body"


def fields_of(name):
    """Return the fields of an item that has one header."""
    return {"Headers": {name: "1"}}


REFUSED_ITEMS = {
    "line break in the id": ({"Id": "a\r\nX-A: 1"}, "Id"),
    "line feed in the id": ({"Id": "a\nb"}, "Id"),
    "id outside Latin-1": ({"Id": "a€"}, "Id"),
    "empty id": ({"Id": ""}, "Id"),
    "id with a space at its end": ({"Id": "a "}, "Id"),
    "line break in the path": ({"Path": "/jobs/a\r\nX-A: 1"}, "target"),
    "control character in the path": ({"Path": "/jobs/\x7f"}, "target"),
    "path outside ASCII": ({"Path": "/jobs/é"}, "target"),
    "path without a slash": ({"Path": "jobs/a"}, "Path"),
    "line break in a value": ({"Headers": {"X-A": "1\r\nX-B: 2"}}, "X-A"),
    "value outside Latin-1": ({"Headers": {"X-A": "€"}}, "X-A"),
    "value that is no text": ({"Headers": {"X-A": 1}}, "Headers"),
    "colon in a name": ({"Headers": {"X-A: 1\r\nX-B": "2"}}, "X-A"),
    "empty name": ({"Headers": {"": "2"}}, "name"),
    "name outside Latin-1": ({"Headers": {"X-€": "2"}}, "X-€"),
    "negative tokens": ({"Tokens": -1}, "Tokens"),
    "tokens of 2^31": ({"Tokens": 1 << 31}, "Tokens"),
    "body that is no base64": ({"Body": "a"}, "Body"),
    **{
        f"header {name}": (fields_of(name), name)
        for name in (
            "Content-Length",
            "content-length",
            "Expect",
            "X-Galenascale-Target-Instance",
            "X-Galenascale-Deadline-Ms",
            *sorted(name.decode().title() for name in CONNECTION_FIELDS),
        )
    },
}


@pytest.mark.parametrize("name", REFUSED_ITEMS)
def test_refusal_of_a_job_names_item_and_field(name):
    """A caller must learn at once which item cannot run, and why."""
    fields, part = REFUSED_ITEMS[name]
    with pytest.raises(UserError) as raised:
        jobs.parse_submission(job_of(**fields))
    assert raised.value.http_status == 400
    assert raised.value.message.startswith("job is not valid: item 0: ")
    assert part in raised.value.message


@pytest.mark.parametrize(
    ("fields", "message"),
    [({"X-A": "1\r\nX-B: 2"}, "field X-A"), ({"X A": "1"}, "field name")],
)
def test_response_of_the_host_has_no_other_fields(fields, message):
    """Refusals that the HTTP library does not write are checked as well."""
    with pytest.raises(InvalidHead, match=message):
        encode_response_head(http.HTTPStatus.BAD_REQUEST, fields, 0)


@pytest.mark.parametrize(
    "option", ["X-Galenascale-Attempt-Id", "Host", "Last-Event-Id", "Authorization"]
)
def test_connection_header_drops_no_field_of_the_request(option):
    """A server would run another request, or one that nobody can match."""
    sent = (
        (b"Host", HOST.encode()),
        (b"X-Galenascale-Attempt-Id", b"r1"),
        (b"Last-Event-Id", b"3"),
        (b"Authorization", b"Basic a"),
        (b"Connection", b"close, X-Mine, " + option.encode()),
        (b"X-Mine", b"1"),
    )
    kept = headers.parse_request("POST", "/x/", sent).headers
    assert kept == sent[:4]


def test_second_id_is_refused():
    """A server may take either id, so the answer to the other is lost."""
    field = (b"X-Galenascale-Attempt-Id", b"r1")
    with pytest.raises(UserError, match="twice"):
        headers.parse_request("POST", "/x/", (field, field))
