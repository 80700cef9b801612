"""Servers that announce in their answers that they are leaving."""

import asyncio

import attrs
import pytest

from galenascale.gateway.servers import (
    LEAVING_BROADCAST_S,
    LEAVING_EXCLUSION_S,
    ServerEntry,
    ServerList,
)
from test.gateway.fleet import gateway_fleet, until
from test.gateway.test_jobs import submit, wait_for_results


def make_entry(server_id="s", started_ms=1, sequence=1, draining=False):
    """Return the entry of a server."""
    return ServerEntry(
        server_id, "llm", "10.0.0.1:1", "a", 8, draining, started_ms, sequence
    )


@attrs.frozen
class Case:
    """An entry read after the announcement; `used`: a server is usable."""

    name: str
    entry: ServerEntry
    after_s: float
    used: bool


@pytest.mark.parametrize(
    "case",
    [
        Case("no new entry", None, 1.0, False),
        Case("still ready in the store", make_entry(sequence=2), 1.0, False),
        Case("restarted under its id", make_entry(started_ms=9), 1.0, True),
        Case("another server", make_entry("t"), 1.0, True),
        Case("announced long ago", None, LEAVING_EXCLUSION_S + 1, True),
    ],
    ids=lambda case: case.name,
)
def test_leaving_announcement_applies_to_one_server_run(case):
    """Guards leaving servers against entries that still say ready."""
    servers = ServerList()
    servers.apply("s", 1, make_entry(), 0.0)
    assert servers.record_leaving(make_entry(), 0.0)
    if case.entry is not None:
        servers.apply(case.entry.server_id, 2, case.entry, 0.0)
    usable = servers.usable("llm", case.after_s)
    assert bool(usable) is case.used
    assert all(servers.is_usable(entry, case.after_s) for entry in usable)


def test_leaving_is_notified_once_and_broadcast_for_limited_time():
    """Guards the log and host messages against repeated announcements."""
    servers = ServerList()
    changes = []
    servers.on_change(lambda change, entry: changes.append(change))
    servers.apply("s", 1, make_entry(), 0.0)
    assert servers.record_leaving(make_entry(), 0.0)
    assert not servers.record_leaving(make_entry(), 1.0)
    assert changes == ["added", "leaving"]
    assert servers.recent_leaving(1.0) == [make_entry().run_key]
    assert servers.recent_leaving(2.0 + LEAVING_BROADCAST_S) == []
    assert not servers.merge_leaving((), 3.0)
    assert not servers.is_usable(make_entry(), 3.0)


def test_servers_that_left_long_ago_are_forgotten():
    """Guards the memory of a host that runs for months."""
    servers = ServerList()
    servers.merge_leaving(range(100), 0.0)
    servers.merge_leaving((7,), LEAVING_EXCLUSION_S)
    servers.recent_leaving(LEAVING_EXCLUSION_S + 1.0)
    assert servers._leaving_at_by_key.keys() == {7}


@pytest.mark.parametrize("path", ["/plain/a", "/once/a", "/chat/a", "/talk/a"])
async def test_leaving_server_gets_no_request_from_any_host(path):
    """Guards a leaving server while its last known entry says ready."""
    service = "llm" if path[1:] in ("chat/a", "talk/a") else "app"
    async with gateway_fleet(hosts=2) as fleet:
        first, second = fleet.runners_of(service)
        second.behaviour.refuse = True
        first.behaviour.leaving = True
        fleet.store.faults.failure_mode_by_client["*"] = "busy"
        reply = await fleet.request(path, data=b"x")
        assert reply.status == 200
        second.behaviour.refuse = False
        servers = fleet.hosts[1].context.servers
        await until(lambda: len(servers.usable(service, 0.0)) == 1)
        for number in range(6):
            request_id = f"later{number}"
            for host in (1, 2):
                reply = await fleet.request(path, request_id=request_id, host=host)
                assert reply.status == 200
        assert len(first.requests) == 1


async def test_refusal_can_announce_leaving():
    """Guards retries against a server that refuses because it leaves."""
    async with gateway_fleet() as fleet:
        leaving, healthy = fleet.runners_of("app")
        leaving.behaviour.leaving = leaving.behaviour.refuse = True
        for number in range(20):
            reply = await fleet.request("/plain/a", request_id=f"r{number}")
            assert reply.status == 200
        assert len(fleet.hosts[0].context.servers.usable("app", 0.0)) == 1
        # The host closes its idle connections to a leaving server.
        await until(lambda: leaving.connections == 0 or not leaving.running)
        assert len(healthy.requests) == 20


async def test_items_and_resumed_runs_avoid_a_leaving_server():
    """Guards a leaving server against new and interrupted items."""
    async with gateway_fleet() as fleet:
        leaving, healthy = fleet.runners_of("llm")
        leaving.behaviour.leaving = True
        healthy.behaviour.refuse = True
        assert await submit(fleet, "job-1", items=1) == 202
        await until(lambda: leaving.requests)
        healthy.behaviour.refuse = False
        await wait_for_results(fleet, "job-1", 1)
        assert await submit(fleet, "job-2", items=6) == 202
        await wait_for_results(fleet, "job-2", 6)
        assert len(leaving.requests) == 1


async def test_restarted_server_is_used_again():
    """Guards a server that restarts with the same id and address."""
    async with gateway_fleet(runners=1) as fleet:
        (runner,) = fleet.runners_of("app")
        runner.behaviour.leaving = True
        assert (await fleet.request("/plain/a")).status == 200
        assert (await fleet.request("/plain/a", request_id="r2")).status == 503
        runner.behaviour.leaving = False
        runner.started_ms = 2
        fleet.register(runner)
        servers = fleet.hosts[0].context.servers
        await until(lambda: servers.usable("app", 0.0))
        assert (await fleet.request("/plain/a", request_id="r3")).status == 200


async def test_item_with_late_body_is_not_sent_to_a_draining_server():
    """
    Guards a server that starts draining between its selection and the send.

    The body of an item that was taken over from another host is first read
    from the store, which may take seconds.
    """
    async with gateway_fleet() as fleet:
        first, second = fleet.runners_of("llm")
        host = fleet.hosts[0]
        bodies = host.runner._bodies
        read = bodies.read
        reading = asyncio.Event()
        resume = asyncio.Event()

        async def read_late(state, index):
            reading.set()
            await resume.wait()
            return await read(state, index)

        bodies.read = read_late
        assert await submit(fleet, "job-1", items=1) == 202
        await reading.wait()
        (item,) = host.runner._items_by_key.values()
        chosen = next(
            r for r in (first, second) if r.server_id == item.server.server_id
        )
        fleet.register(chosen, "draining")
        servers = host.context.servers
        await until(lambda: len(servers.usable("llm", 0.0)) == 1)
        resume.set()
        await wait_for_results(fleet, "job-1", 1)
        assert not chosen.requests
