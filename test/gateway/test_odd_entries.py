"""Entries of servers, and addresses of hosts, that another writer left."""

import orjson
import pytest

from galenascale.errors import DecodeError
from galenascale.gateway.peer_table import PeerTable
from galenascale.generated.gateway_messages import HostStatus
from galenascale.platform.servers import decode_server
from test.gateway.fleet import gateway_fleet, until


def make_entry(**fields):
    """Return a registration, as bytes."""
    entry = {
        "Service": "app",
        "Address": "127.0.0.1:9",
        "Zone": "a",
        "Version": "v1",
        "Slots": 8,
        "State": "ready",
        "ColdLeftMs": 0,
        "Seq": 1,
        "born": 1,
    }
    return orjson.dumps(entry | fields)


ODD_ENTRIES = {
    "port out of range": make_entry(Address="127.0.0.1:99999"),
    "port 0": make_entry(Address="127.0.0.1:0"),
    "port of other digits": make_entry(Address="127.0.0.1:\u00b2\u00b2"),
    "port of thousands of digits": make_entry(Address="127.0.0.1:" + "9" * 9000),
    "name with NUL": make_entry(Address="a\0b:80"),
    "name to look up": make_entry(Address="host.example:80"),
    "name with a label too long": make_entry(Address="a" * 300 + ":80"),
    "no address": make_entry(Address=":80"),
    "slots beyond all servers": make_entry(Slots=2**62),
    "negative slots": make_entry(Slots=-1),
    "start beyond 64 bits in messages": make_entry(born=2**64 - 1),
    "negative start": make_entry(born=-5),
    "number too large": make_entry().replace(b'"Seq":1', b'"Seq":' + b"9" * 400),
    "deeply nested": b"[" * 100_000,
    "nested in a field": make_entry().replace(
        b'"ColdLeftMs":0', b'"x":' + b"[" * 5000 + b"]" * 5000
    ),
    "service that is too long": make_entry(Service="s" * 10_000),
    "line break in the zone": make_entry(Zone="a\r\nb"),
    "bytes of no text": b"\xff\xfe\x00",
}


# Records without a readable key.
ODD_RECORDS = (b"", b"\x05ab", b"\x02\xff\xfe{}")


@pytest.mark.parametrize("data", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_odd_entry_names_no_server(data):
    """Guards hosts against entries that no server writes."""
    with pytest.raises(DecodeError):
        decode_server("odd", data)


@pytest.mark.parametrize("server_id", ["a\r\nX-Other: 1", "", "\u00e9", "s" * 1000])
def test_odd_server_id_names_no_server(server_id):
    """Guards requests against ids that would change their headers."""
    with pytest.raises(DecodeError):
        decode_server(server_id, make_entry())


# Guards hosts against odd entries that end their checks, or what follows them.
async def test_host_serves_on_beside_odd_entries():
    """All odd entries at once, beside sound servers that come later."""
    async with gateway_fleet(runners=1) as fleet:
        for number, data in enumerate(ODD_ENTRIES.values()):
            fleet.store.write_key("keyed.servers", f"odd-{number}", data)
        fleet.store.write_key("keyed.servers", "a\r\nX-Other: 1", make_entry())
        for record in ODD_RECORDS:
            fleet.store.state.append("keyed.servers", 0, [record])
        await fleet.add_runner("app-late", "app")
        servers = fleet.hosts[0].context.servers
        await until(lambda: len(servers.usable("app", 0.0)) == 2)
        for number in range(20):
            reply = await fleet.request("/plain/a", request_id=f"r{number}")
            assert reply.status == 200
        await until(lambda: len(servers.all_entries()) == 3)
        assert fleet.hosts[0].store_status.is_up
        assert not fleet.hosts[0].context.health.due_checks(1e9)


@pytest.mark.parametrize("address", ["", "a\0b", "host.example", "1.2.3", "9" * 9000])
def test_odd_address_names_no_host(address):
    """
    Guards the socket for messages between hosts, which such addresses close.

    They would come from a record in the store or from another host's message.
    """
    table = PeerTable("127.0.0.1")
    table.add_address(address, 0.0)
    table.update(HostStatus(host_id="odd", address=address, started_ms=1), 0.0)
    assert table.addresses(0.0) == []
    assert table.alive(0.0) == []
