"""Configuration and server list during store faults, on running hosts."""

import asyncio

import pytest

from galenascale.store import PartitionTrimmed
from test.gateway.fleet import ROUTES, gateway_fleet, make_route, until


async def test_new_configuration_is_installed_on_all_hosts():
    """Guards against missed changes of routes and return to old versions."""
    async with gateway_fleet(hosts=3) as fleet:
        fleet.write_config([*ROUTES[1:], make_route("added", "idempotent", "app")])
        for number in (1, 2, 3):
            host = fleet.hosts[number - 1]
            await until(lambda host=host: host.context.configuration.version == 2, 2.0)
            assert (await fleet.request("/added/x", host=number)).status == 200
            assert (await fleet.request("/plain/x", host=number)).status == 404
        fleet.version = 0
        fleet.write_config(ROUTES)
        await asyncio.sleep(0.5)
        assert [host.context.configuration.version for host in fleet.hosts] == [2, 2, 2]


async def test_host_without_store_access_follows_its_peers(monkeypatch):
    """Guards a host that cannot reach the store against stale state."""
    async with gateway_fleet(hosts=2) as fleet:
        first = fleet.hosts[0]
        # Nothing listens there.
        monkeypatch.setattr(first.context.store, "_url", "http://127.0.0.1:9")
        fleet.write_config([*ROUTES, make_route("added", "idempotent", "app")])
        leaving = fleet.runners_of("app")[0]
        fleet.register(leaving, state="draining")
        await until(lambda: first.context.configuration.version == 2, 6.0)
        await until(lambda: len(first.context.servers.usable("app", 1e12)) == 1, 6.0)


async def test_host_that_starts_without_store_fetches_state_from_peer():
    """Guards a new host against staying unready during a store outage."""
    async with gateway_fleet(hosts=1) as fleet:
        fleet.store.faults.failure_mode_by_client["*"] = "busy"
        second = await fleet.add_host(2)
        assert not second.ready
        await until(lambda: second.ready, 6.0)
        assert (await fleet.request("/plain/x", host=2, data=b"x")).status == 200


async def test_online_requests_need_no_store():
    """Guards online requests during an outage of the store."""
    async with gateway_fleet() as fleet:
        fleet.store.faults.failure_mode_by_client["*"] = "silent"
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
async def test_malformed_server_entry_is_ignored(value):
    """Guards the other servers against one malformed entry."""
    async with gateway_fleet() as fleet:
        offset = fleet.store.write_key("keyed.servers", "odd", value)
        servers = fleet.hosts[0].context.servers
        await until(lambda: servers.position > offset, 3.0)
        ids = {entry.server_id for entry in servers.all_entries()}
        assert ids == {runner.server_id for runner in fleet.runners}


async def test_malformed_configuration_is_not_installed():
    """Guards the installed configuration against a malformed one."""
    async with gateway_fleet() as fleet:
        fleet.store.write_key("keyed.op", "config", b'{"Version": 9, "Routes": 3}')
        await asyncio.sleep(0.3)
        assert fleet.hosts[0].context.configuration.version == 1
        assert (await fleet.request("/plain/x", data=b"x")).status == 200


async def test_trimmed_topic_is_read_from_snapshot():
    """Guards changes that the store trims before they are read."""
    async with gateway_fleet() as fleet:
        for topic in ("keyed.op", "keyed.servers"):
            fleet.unregister(fleet.runners_of("app")[0])
            fleet.write_config(ROUTES[1:])
            partition = fleet.store.state.partition(topic, 0)
            partition.trim(partition.next_offset)
        context = fleet.hosts[0].context
        await until(lambda: context.configuration.version == 3, 3.0)
        await until(lambda: len(context.servers.all_entries()) == 3, 3.0)


async def test_stale_snapshots_are_requested_with_delay(monkeypatch):
    """Guards the store against a busy loop of reads of a trimmed topic."""
    async with gateway_fleet() as fleet:

        async def read_trimmed(*args, **fields):
            raise PartitionTrimmed(99)

        store = fleet.hosts[0].context.store
        monkeypatch.setattr(store, "read_keyed", read_trimmed)
        fleet.store.calls.clear()
        await asyncio.sleep(1.5)
        assert len(fleet.store.calls) < 40


async def test_change_during_outage_is_installed_soon_after_recovery():
    """
    Guards against reads that still block after a store outage.

    The store stops responding, the operator writes a change, and the store
    recovers. Hosts have to install the change within 3 s. A read that began
    during the outage would block until its timeout.
    """
    async with gateway_fleet(hosts=2) as fleet:
        fleet.store.faults.failure_mode_by_client["*"] = "silent"
        statuses = [host.store_status for host in fleet.hosts]
        await until(lambda: all(status.is_up is False for status in statuses), 6.0)
        for outage_s in (0.3, 0.7, 1.1):
            await asyncio.sleep(outage_s)
            fleet.write_config()
            fleet.store.faults.failure_mode_by_client.clear()
            await until(
                lambda: all(
                    host.context.configuration.version == fleet.version
                    for host in fleet.hosts
                ),
                2.5,
            )
            fleet.store.faults.failure_mode_by_client["*"] = "silent"
            await until(lambda: all(status.is_up is False for status in statuses), 6.0)
