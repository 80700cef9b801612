"""Decoding of the registration records of backend servers."""

import collections
import ipaddress
import re

from galenascale.errors import DecodeError
from galenascale.gateway.servers import ServerEntry
from galenascale.platform.fields import get_field, parse_json_object

SERVERS_TOPIC = "keyed.servers"

_READY = "ready"
_DRAINING = "draining"
# The field that differs in each registration of a running server.
_SEQUENCE = re.compile(rb'"Seq":\s*[0-9]+')
# Ids, services and failure domains: text without control characters.
_NAME = re.compile(r"[!-~]([ -~]{0,254}[!-~])?")
_PORT = re.compile(r"[0-9]{1,5}")
_MAX_PORT = 65535
# More slots than any server has; each slot costs memory.
MAX_SLOTS = 1 << 16
_MAX_NUMBER = (1 << 63) - 1
# Characters of a wrong value that go into logs.
_MAX_SHOWN = 60
# Largest number of servers whose last registrations are kept.
MAX_KNOWN_SERVERS = 1 << 15


class ServerDecoder:
    """Decodes registrations; those that repeat the last one are not parsed."""

    def __init__(self):
        # (registration without its number, ServerEntry) by server id.
        self._known_by_id = collections.OrderedDict()

    def decode(self, server_id, data):
        """
        Return the ServerEntry that a backend server registered under its id.

        Its sequence is that of the first of equal registrations. Raise
        DecodeError if the data is not a valid registration.
        """
        content = _SEQUENCE.sub(b"", data, count=1)
        known = self._known_by_id.get(server_id)
        if known is not None and known[0] == content:
            return known[1]
        entry = decode_server(server_id, data)
        self._known_by_id[server_id] = (content, entry)
        if len(self._known_by_id) > MAX_KNOWN_SERVERS:
            self._known_by_id.popitem(last=False)
        return entry


def decode_server(server_id, data):
    """
    Return the ServerEntry that a backend server registered under its id.

    Raise DecodeError if the data is not a valid registration.
    """
    _check_name("id", server_id)
    fields = parse_json_object(data, "server entry")
    state = get_field(fields, "State", str)
    if state not in (_READY, _DRAINING):
        raise DecodeError(
            f"server state {state!r} is neither ready nor draining", step="decode"
        )
    return ServerEntry(
        server_id=server_id,
        service=_check_name("service", get_field(fields, "Service", str)),
        address=_check_address(get_field(fields, "Address", str)),
        failure_domain=_check_name("zone", get_field(fields, "Zone", str)),
        slots=max(1, _get_number(fields, "Slots", MAX_SLOTS)),
        draining=state == _DRAINING,
        started_ms=_get_number(fields, "born", _MAX_NUMBER, 0),
        sequence=_get_number(fields, "Seq", _MAX_NUMBER),
    )


def _check_name(field, name):
    """Return a name that can be sent in headers; raise DecodeError."""
    if _NAME.fullmatch(name) is None:
        raise DecodeError(f"server {field} is not a name", step="decode")
    return name


def _check_address(address):
    """Return an IP address and port; raise DecodeError if it is none."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        host = ""
    is_port = _PORT.fullmatch(port) and 0 < int(port) <= _MAX_PORT
    if not host or not is_port:
        raise DecodeError(
            f"server address {address[:_MAX_SHOWN]!r} is not an IP address and a port",
            step="decode",
        )
    return address


def _get_number(fields, name, largest, *default):
    """Return a whole number from 0 to `largest`; raise DecodeError."""
    number = get_field(fields, name, int, *default)
    if not 0 <= number <= largest:
        raise DecodeError(f"field {name} is out of range", step="decode")
    return number
