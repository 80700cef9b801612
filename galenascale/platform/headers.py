"""HTTP headers of callers' requests and of backend servers' responses."""

import re

from galenascale.errors import UserError
from galenascale.gateway.http_heads import (
    CONNECTION_FIELDS,
    LENGTH_FIELD,
    InvalidHead,
    check_name,
    encode_target,
    encode_text,
    encode_value,
)
from galenascale.gateway.requests import CallerRequest, ResponseHead
from galenascale.gateway.server_limits import NamedLimit
from galenascale.whole_numbers import parse_whole_number

_REQUEST_ID = b"x-galenascale-attempt-id"
_DEADLINE_MS = b"x-galenascale-deadline-ms"
_TARGET_SERVER = b"x-galenascale-target-instance"
_RESUME_AFTER = b"last-event-id"
# Despite its name, this header does not report usage: "PROMPT,OUTPUT" states
# the tokens of the prompt and the most tokens to generate.
_TOKENS = b"x-galenascale-token-usage"
# "ID:TOKENS,...": the parts of the prompt in order. The last one is the
# request's own or that of its session.
_PROMPT_PARTS = b"x-galenascale-prompt-prefix"
_MAX_PROMPT_PARTS = 32
_NOT_RUN = b"x-galenascale-not-executed"
_SIGNATURE = b"x-galenascale-response-signature"
_LEAVING = b"server-leaving"
# Version of the weights that a request expects, and that a server has.
_EXPECTED_VERSION = b"x-galenascale-expect-version"
_WEIGHTS_VERSION = b"x-galenascale-weight-versions"
# Characters of an expected version that are read; no version has as many.
_MAX_VERSION_TEXT = 64
# Requests per second that the server takes from all hosts together.
_LIMIT = b"server-limit"
_RATE = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
# Characters of a limit that go into logs.
_MAX_LIMIT_TEXT = 40
_WAIT_MS = b"x-galenascale-wait-ms"
_AUTHORIZATION = b"authorization"
_TENANT = b"x-galenascale-tenant"

# Status 421 (Misdirected Request): the backend server did not run the request.
_MISDIRECTED = 421

# Headers that a Connection header cannot make hop-by-hop: they are for the
# server, which runs another request without them.
_END_TO_END = frozenset((b"host", _RESUME_AFTER, _AUTHORIZATION))
_END_TO_END_PREFIX = b"x-galenascale-"
# Request headers that the gateway handles itself or replaces by its own value.
_GATEWAY_HEADERS = frozenset((LENGTH_FIELD, b"expect", _DEADLINE_MS, _TARGET_SERVER))
# Headers that an item may not have, as its sender writes them.
_NOT_OF_ITEMS = CONNECTION_FIELDS | _GATEWAY_HEADERS
# Credentials that carry a key of a tenant.
_KEY_CREDENTIALS = re.compile(rb"\s*token\s+(\S+)\s*", re.I)
_KEY_SCHEME = re.compile(rb"\s*token\b", re.I)
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.I)


def find_header(headers, name):
    """Return the first value of a header (name in lower case), or None."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def strip_hop_by_hop_headers(headers):
    """Return the headers without those that apply to a single connection."""
    dropped = set(CONNECTION_FIELDS)
    for key, value in headers:
        if key.lower() == b"connection":
            dropped.update(_connection_options(value))
    return tuple(item for item in headers if item[0].lower() not in dropped)


def _connection_options(value):
    """Return the names of headers that a Connection header may name."""
    names = {part.strip().lower() for part in value.split(b",")}
    return {
        name for name in names - _END_TO_END if not name.startswith(_END_TO_END_PREFIX)
    }


def parse_request(method, target, headers):
    """
    Return the CallerRequest without its body.

    Raise UserError for an invalid header and for a second id.
    """
    if sum(name.lower() == _REQUEST_ID for name, _ in headers) > 1:
        raise UserError(
            f"header {_REQUEST_ID.decode()} is given twice", step="read_request"
        )
    tokens = (find_header(headers, _TOKENS) or b"").split(b",")
    kept = [
        item
        for item in strip_hop_by_hop_headers(headers)
        if item[0].lower() not in _GATEWAY_HEADERS
    ]
    deadline_ms = _parse_int_header(headers, _DEADLINE_MS)
    return CallerRequest(
        request_id=(find_header(headers, _REQUEST_ID) or b"").decode("latin-1"),
        method=method,
        target=target,
        host=(find_header(headers, b"host") or b"").decode("latin-1"),
        headers=tuple(kept),
        timeout_s=None if deadline_ms is None else deadline_ms / 1000,
        resume_after=_parse_int_header(headers, _RESUME_AFTER),
        key=_parse_key(headers),
        prompt_tokens=_parse_token_count(tokens, 0),
        max_output_tokens=_parse_token_count(tokens, 1),
        shared_parts=parse_shared_parts(headers),
        expected_version=parse_expected_version(headers),
    )


def parse_expected_version(headers):
    """
    Return the version of the weights that a request expects, as text.

    None if it expects none.
    """
    for name, value in headers:
        # Servers may read an underscore in a header name as a hyphen.
        if name.lower().replace(b"_", b"-") == _EXPECTED_VERSION:
            return value.decode("latin-1").strip()[:_MAX_VERSION_TEXT]
    return None


def parse_shared_parts(headers):
    """Return the ids of the prompt's parts that other requests may share."""
    value = find_header(headers, _PROMPT_PARTS)
    if value is None:
        return ()
    entries = value.decode("latin-1").split(",")[:-1]
    ids = (entry.partition(":")[0].strip().lower() for entry in entries)
    return tuple(filter(None, ids))[:_MAX_PROMPT_PARTS]


def parse_output_tokens(headers):
    """Return the most tokens that a request may generate; 0 if not stated."""
    return _parse_token_count((find_header(headers, _TOKENS) or b"").split(b","), 1)


def _parse_key(headers):
    """Return the key of a tenant; None without one, empty if not clear."""
    values = [value for name, value in headers if name.lower() == _AUTHORIZATION]
    if not values:
        return None
    match = _KEY_CREDENTIALS.fullmatch(values[0])
    return match[1] if match and len(values) == 1 else b""


def replace_credentials(headers, tenant):
    """
    Return the headers with the name of the tenant in place of its key.

    `tenant` is the name, empty for a request without a key, or None in a
    configuration without tenants, which leaves the headers as they are.
    """
    if tenant is None:
        return list(headers)
    kept = [item for item in headers if not _is_identity(*item, tenant)]
    if tenant:
        kept.append((b"X-Galenascale-Tenant", tenant.encode()))
    return kept


def _is_identity(name, value, tenant):
    # Servers may read an underscore in a header name as a hyphen.
    name = name.lower().replace(b"_", b"-")
    if name == _AUTHORIZATION:
        # Other credentials of an anonymous request are for the server.
        return bool(tenant) or _KEY_SCHEME.match(value) is not None
    return name == _TENANT


def _parse_int_header(headers, name):
    value = find_header(headers, name)
    if value is None:
        return None
    number = parse_whole_number(value)
    if number is None:
        raise UserError(
            f"header {name.decode()} must be a whole number of at least 0",
            step="read_request",
        )
    return number


def _parse_token_count(parts, index):
    # A malformed count is not rejected, as only an estimate depends on it.
    if index < len(parts):
        return parse_whole_number(parts[index]) or 0
    return 0


def parse_wait_s(headers):
    """Return the seconds that a call may wait for results, 0 if not stated."""
    return (_parse_int_header(headers, _WAIT_MS) or 0) / 1000


def build_backend_headers(request, server_id, remaining_s, resume_after):
    """Return the headers of a request to a backend server."""
    headers = [
        item
        for item in replace_credentials(request.headers, request.tenant)
        if item[0].lower() != _RESUME_AFTER
    ]
    if resume_after is not None:
        headers.append((b"Last-Event-Id", b"%d" % resume_after))
    headers.append((b"X-Galenascale-Deadline-Ms", b"%d" % max(1, remaining_s * 1000)))
    headers.append((b"X-Galenascale-Target-Instance", server_id.encode()))
    return headers


def build_item_headers(item, host):
    """
    Return the headers of the request that runs an item of a job.

    `host` is that of the job. Raise InvalidHead for an item whose id or
    headers cannot be sent.
    """
    item_id = encode_value("Id", item.item_id)
    if not item_id.strip() or item_id != item_id.strip():
        # Servers read such an id without its spaces, and answer another one.
        raise InvalidHead("Id", item.item_id)
    headers = [
        (b"Host", encode_value("host", host)),
        (b"X-Galenascale-Attempt-Id", item_id),
    ]
    for name, value in item.headers.items():
        header = (
            encode_text("name of a header", name),
            encode_value(f"value of header {name!r}", value),
        )
        check_name(header[0])
        key = header[0].lower()
        if key in _NOT_OF_ITEMS:
            raise InvalidHead("header", name)
        if key not in (_REQUEST_ID, b"host"):
            headers.append(header)
    return tuple(headers)


def check_item(item, host):
    """
    Return the headers of the request that runs an item.

    Raise InvalidHead if it cannot be sent.
    """
    encode_target(item.path)
    return build_item_headers(item, host)


def parse_limit(headers):
    """
    Return the NamedLimit in a response head, or None.

    Of several rates the lowest counts.
    """
    values = [value for name, value in headers if name.lower() == _LIMIT]
    if not values:
        return None
    text = b",".join(values).decode("latin-1")
    rates = [
        float(part) for part in map(str.strip, text.split(",")) if _RATE.fullmatch(part)
    ]
    return NamedLimit(text[:_MAX_LIMIT_TEXT], min(rates, default=None))


def parse_response_head(status, headers):
    """Return the ResponseHead of a backend server's response."""
    keep_alive = _KEEP_ALIVE_TIMEOUT.search(find_header(headers, b"keep-alive") or b"")
    length = find_header(headers, b"content-length")
    version = find_header(headers, _WEIGHTS_VERSION)
    return ResponseHead(
        status=status,
        headers=strip_hop_by_hop_headers(headers),
        request_id=(find_header(headers, _REQUEST_ID) or b"").decode("latin-1"),
        signed=bool(find_header(headers, _SIGNATURE)),
        not_run=find_header(headers, _NOT_RUN) is not None or status == _MISDIRECTED,
        misdirected=status == _MISDIRECTED,
        leaving=find_header(headers, _LEAVING) == b"1",
        limit=parse_limit(headers),
        weights_version=None if version is None else parse_whole_number(version),
        keep_alive_s=float(keep_alive[1]) if keep_alive else None,
        length=None if length is None else parse_whole_number(length),
    )
