"""
Writes the heads of HTTP/1.1 messages (RFC 9112).

Heads hold text of callers, of the store and of other hosts. Whatever would end
a line or a head early, or frame the body in another way, is an error here, so
no module can write it.
"""

import re

from galenascale.errors import UserError

# Fields that concern a single connection (RFC 9110, section 7.6.1), and those
# that frame the body; they are written by the sender of a message itself.
CONNECTION_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
LENGTH_FIELD = b"content-length"
_OWN_FIELDS = CONNECTION_FIELDS | {LENGTH_FIELD}
_METHODS_WITHOUT_BODY = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))
# Tokens, field values and targets (RFC 9110, sections 5.5 and 5.6.2; RFC 9112,
# section 3.2), with bytes outside ASCII in values.
_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_TARGET = re.compile(r"[!-~]+")
# Characters of a wrong value that an error repeats.
_MAX_SHOWN = 60


class InvalidHead(UserError):
    """A part of a head that must not be written; `param` names the part."""

    code = "invalid_head"

    def __init__(self, part, value):
        shown = value[:_MAX_SHOWN]
        super().__init__(
            f"{part} {shown!r} cannot be sent in a head", step="write_head", param=part
        )


def encode_text(part, text):
    """Return Latin-1 text as bytes; raise InvalidHead for other text."""
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError as error:
        raise InvalidHead(part, text) from error


def encode_value(part, text):
    """Return a field value as bytes; raise InvalidHead if it is none."""
    value = encode_text(part, text)
    if _VALUE.fullmatch(value) is None:
        raise InvalidHead(part, text)
    return value


def encode_target(target):
    """Return a request target as bytes; raise InvalidHead if it is none."""
    if _TARGET.fullmatch(target) is None:
        raise InvalidHead("target", target)
    return target.encode()


def check_name(name):
    """Raise InvalidHead for bytes that are no field name."""
    if _TOKEN.fullmatch(name) is None:
        raise InvalidHead("field name", name)


def check_field(name, value):
    """Raise InvalidHead if a field, given as bytes, cannot be written."""
    check_name(name)
    if _VALUE.fullmatch(value) is None:
        raise InvalidHead(f"field {name.decode()}", value)


def encode_request_head(request, fields):
    """
    Return the bytes of the head of a CallerRequest with a body of its length.

    `fields` are the other fields, as pairs of bytes. Raise InvalidHead.
    """
    method = encode_text("method", request.method)
    if _TOKEN.fullmatch(method) is None:
        raise InvalidHead("method", request.method)
    lines = [b"%b %b HTTP/1.1" % (method, encode_target(request.target))]
    for name, value in fields:
        check_field(name, value)
        if name.lower() in _OWN_FIELDS:
            raise InvalidHead("field name", name)
        lines.append(b"%b: %b" % (name, value))
    if request.body or request.method not in _METHODS_WITHOUT_BODY:
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_response_head(status, fields, length):
    """
    Return the head of a response after which the connection closes.

    `status` is an http.HTTPStatus, `fields` are values by name and `length` is
    that of the body in bytes. Raise InvalidHead.
    """
    lines = [f"HTTP/1.1 {status.value} {status.phrase}".encode()]
    for name, value in fields.items():
        pair = (encode_text("field name", name), encode_text(f"field {name}", value))
        check_field(*pair)
        lines.append(b"%b: %b" % pair)
    lines.append(b"Content-Length: %d" % length)
    lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
