"""Configuration and servers through faults of the store, on whole hosts."""

import asyncio

import pytest

from galenascale.store import PartitionTrimmed
from test.gateway.fleet import ROUTES, gateway_fleet, make_route, until


async def test_new_configuration_is_in_force_on_all_hosts():
    """Guards added and removed routes, and versions against going back."""
    async with gateway_fleet(hosts=3) as fleet:
        fleet.write_config([*ROUTES[1:], make_route("added", "idempotent", "app")])
        for number in (1, 2, 3):
            host = fleet.hosts[number - 1]
            await until(lambda host=host: host.parts.configuration.version == 2, 2.0)
            assert (await fleet.request("/added/x", host=number)).status == 200
            assert (await fleet.request("/plain/x", host=number)).status == 404
        fleet.version = 0
        fleet.write_config(ROUTES)
        await asyncio.sleep(0.5)
        assert [host.parts.configuration.version for host in fleet.hosts] == [2, 2, 2]


async def test_host_cut_off_from_the_store_follows_its_peers(monkeypatch):
    """Guards a host that the store turns away against an old configuration."""
    async with gateway_fleet(hosts=2) as fleet:
        first = fleet.hosts[0]
        # Nothing listens there.
        monkeypatch.setattr(first.parts.store, "_url", "http://127.0.0.1:9")
        fleet.write_config([*ROUTES, make_route("added", "idempotent", "app")])
        leaving = fleet.of("app")[0]
        fleet.register(leaving, state="draining")
        await until(lambda: first.parts.configuration.version == 2, 6.0)
        await until(lambda: len(first.parts.servers.usable("app", 1e12)) == 1, 6.0)


async def test_host_that_starts_without_the_store_asks_its_peers():
    """Guards a new host while the store is away against serving nothing."""
    async with gateway_fleet(hosts=1) as fleet:
        fleet.store.faults.refusal_by_caller["*"] = "busy"
        second = await fleet.add_host(2)
        assert not second.ready
        await until(lambda: second.ready, 6.0)
        assert (await fleet.request("/plain/x", host=2, data=b"x")).status == 200


async def test_online_requests_need_no_store():
    """Guards callers against an outage of the store."""
    async with gateway_fleet() as fleet:
        fleet.store.faults.refusal_by_caller["*"] = "silent"
        for number in range(3):
            reply = await fleet.request(f"/plain/{number}", data=b"x")
            assert reply.status == 200


@pytest.mark.parametrize(
    "value",
    [
        b"not json",
        b"[]",
        b'{"Service": "app"}',
        b'{"Service":7,"Address":"1.2.3.4:5","Zone":"a","Slots":1,"State":"ready",'
        b'"Seq":1}',
        b'{"Service":"app","Address":"1.2.3.4:5","Zone":"a","Slots":1,"State":"odd",'
        b'"Seq":1}',
        b'{"Service":"app","Address":"nowhere","Zone":"a","Slots":1,"State":"ready",'
        b'"Seq":1}',
    ],
)
async def test_entry_that_cannot_be_read_names_no_server(value):
    """Guards the other servers against one broken entry."""
    async with gateway_fleet() as fleet:
        offset = fleet.store.write_key("keyed.servers", "odd", value)
        servers = fleet.hosts[0].parts.servers
        await until(lambda: servers.position > offset, 3.0)
        ids = {entry.server_id for entry in servers.all_entries()}
        assert ids == {runner.server_id for runner in fleet.runners}


async def test_configuration_that_cannot_be_read_leaves_the_last_one_in_force():
    """Guards service against a broken configuration."""
    async with gateway_fleet() as fleet:
        fleet.store.write_key("keyed.op", "config", b'{"Version": 9, "Routes": 3}')
        await asyncio.sleep(0.3)
        assert fleet.hosts[0].parts.configuration.version == 1
        assert (await fleet.request("/plain/x", data=b"x")).status == 200


async def test_forgotten_history_is_read_anew():
    """Guards changes that are made while the store drops its history."""
    async with gateway_fleet() as fleet:
        for topic in ("keyed.op", "keyed.servers"):
            fleet.unregister(fleet.of("app")[0])
            fleet.write_config(ROUTES[1:])
            partition = fleet.store.state.partition(topic, 0)
            partition.trim(partition.next_offset)
        parts = fleet.hosts[0].parts
        await until(lambda: parts.configuration.version == 3, 3.0)
        await until(lambda: len(parts.servers.all_entries()) == 3, 3.0)


async def test_stale_snapshots_are_not_asked_for_without_a_pause(monkeypatch):
    """Guards the store against calls in a loop while its reads are behind."""
    async with gateway_fleet() as fleet:

        async def read_trimmed(*args, **fields):
            raise PartitionTrimmed(99)

        store = fleet.hosts[0].parts.store
        monkeypatch.setattr(store, "read_keyed", read_trimmed)
        fleet.store.calls.clear()
        await asyncio.sleep(1.5)
        assert len(fleet.store.calls) < 40


async def test_change_during_an_outage_is_in_force_soon_after_it():
    """
    Guards the configuration after an outage against reads from before.

    The store falls silent, the operator writes a change, the store is back:
    hosts are held to the change 3 s later.
    """
    async with gateway_fleet(hosts=2) as fleet:
        fleet.store.faults.refusal_by_caller["*"] = "silent"
        links = [host.link for host in fleet.hosts]
        await until(lambda: all(link.up is False for link in links), 6.0)
        for outage_s in (0.3, 0.7, 1.1):
            await asyncio.sleep(outage_s)
            fleet.write_config()
            fleet.store.faults.refusal_by_caller.clear()
            await until(
                lambda: all(
                    host.parts.configuration.version == fleet.version
                    for host in fleet.hosts
                ),
                2.5,
            )
            fleet.store.faults.refusal_by_caller["*"] = "silent"
            await until(lambda: all(link.up is False for link in links), 6.0)
