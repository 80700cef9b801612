"""Decoding of the registration records of backend servers."""

from galenascale.errors import DecodeError
from galenascale.gateway.servers import ServerEntry
from galenascale.platform.fields import get_field, parse_json_object

SERVERS_TOPIC = "keyed.servers"

_READY = "ready"
_DRAINING = "draining"


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
