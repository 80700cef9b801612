"""Decoding of the registration records of backend servers."""

import collections
import re

from galenascale.errors import DecodeError
from galenascale.gateway.servers import ServerEntry
from galenascale.platform.fields import get_field, parse_json_object

SERVERS_TOPIC = "keyed.servers"

_READY = "ready"
_DRAINING = "draining"
# The field that differs in each registration of a running server.
_SEQUENCE = re.compile(rb'"Seq":\s*[0-9]+')
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
    fields = parse_json_object(data, "server entry")
    state = get_field(fields, "State", str)
    if state not in (_READY, _DRAINING):
        raise DecodeError(
            f"server state {state!r} is neither ready nor draining", step="decode"
        )
    address = get_field(fields, "Address", str)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise DecodeError(
            f"server address {address!r} is not a host and a port", step="decode"
        )
    return ServerEntry(
        server_id=server_id,
        service=get_field(fields, "Service", str),
        address=address,
        failure_domain=get_field(fields, "Zone", str),
        slots=max(1, get_field(fields, "Slots", int)),
        draining=state == _DRAINING,
        started_ms=get_field(fields, "born", int, 0),
        sequence=get_field(fields, "Seq", int),
    )
