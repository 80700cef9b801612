"""Decoding of the entries by which backend servers register."""

from galenascale.errors import DecodeError
from galenascale.gateway.servers import ServerEntry
from galenascale.platform.fields import get, load_object

SERVERS_TOPIC = "keyed.servers"

_READY = "ready"
_DRAINING = "draining"


def decode_server(server_id, data):
    """
    Return the entry that a backend server registered under its id.

    Raise DecodeError for bytes that no backend server writes.
    """
    fields = load_object(data, "server entry")
    state = get(fields, "State", str)
    if state not in (_READY, _DRAINING):
        raise DecodeError(f"server state {state!r} does not exist", step="decode")
    address = get(fields, "Address", str)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise DecodeError(f"server address {address!r} is not valid", step="decode")
    return ServerEntry(
        server_id=server_id,
        service=get(fields, "Service", str),
        address=address,
        failure_domain=get(fields, "Zone", str),
        slots=max(1, get(fields, "Slots", int)),
        draining=state == _DRAINING,
        started_ms=get(fields, "born", int, 0),
        sequence=get(fields, "Seq", int),
    )
