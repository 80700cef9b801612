"""Gossip of three hosts over loopback, with a cut and its end."""

import asyncio
import contextlib
import math

import pytest

from galenascale.errors import UserError
from galenascale.generated.messages import GossipMessage, HostInfo
from galenascale.peers.exchange import Pace
from test.peers.nodes import start_nodes

NAMES = ["h1", "h2", "h3"]


async def rounds(nodes, count):
    """Drive rounds of all nodes on the shared fake clock."""
    for _ in range(count):
        for node in nodes.values():
            node.clock.now_s += 0.1
            await node.gossip.round()


def live(node):
    """Return the ids of the hosts that a node holds as live."""
    hosts = node.membership.live_hosts(node.clock.monotonic())
    return [info.host_id for info in hosts]


async def test_cut_off_host_is_dropped_and_taken_back():
    """Guards against views that stay divided after a partition."""
    async with contextlib.AsyncExitStack() as stack:
        nodes = await start_nodes(stack, NAMES)
        await rounds(nodes, 4)
        assert [live(node) for node in nodes.values()] == [NAMES] * 3
        nodes["h3"].cut_off(True)
        nodes["h1"].membership.servers.leaving(nodes["h1"].clock.monotonic(), "x")
        await rounds(nodes, 12)
        assert [live(node) for node in nodes.values()] == [
            ["h1", "h2"],
            ["h1", "h2"],
            ["h3"],
        ]
        assert not nodes["h3"].membership.servers.is_leaving("x")
        nodes["h3"].cut_off(False)
        await rounds(nodes, 6)
        assert [live(node) for node in nodes.values()] == [NAMES] * 3
        assert all(node.membership.servers.is_leaving("x") for node in nodes.values())
        owners = {
            node.membership.owner_of_shard(node.clock.monotonic(), 1)
            for node in nodes.values()
        }
        assert len(owners) == 1


async def test_refused_connection_is_a_sign_of_death_and_stop_is_told():
    """Guards against waiting out the silence of a host that ended."""
    async with contextlib.AsyncExitStack() as stack:
        nodes = await start_nodes(stack, NAMES[:2])
        await rounds(nodes, 3)
        nodes["h1"].membership.update_own(state="leaving")
        await nodes["h1"].gossip.tell_all()
        infos = nodes["h2"].membership.live_hosts(nodes["h2"].clock.monotonic())
        assert [info.state for info in infos] == ["leaving", "live"]
        nodes["h2"].peers.on_refused = lambda host_id: nodes[
            "h2"
        ].membership.host_failed(nodes["h2"].clock.monotonic(), host_id)
        nodes["h1"].membership._seed_peers.clear()
        nodes["h2"].membership.known_info("h1").peer_url = "http://127.0.0.1:1"
        await nodes["h2"].gossip.round()
        assert live(nodes["h2"]) == ["h2"]


async def test_rounds_survive_errors():
    """Guards against a loop that ends with the first error."""
    async with contextlib.AsyncExitStack() as stack:
        nodes = await start_nodes(stack, ["h1"])
        node, calls = nodes["h1"], []

        async def fail():
            calls.append(1)
            raise KeyError("bug")

        node.gossip.round = fail
        task = asyncio.create_task(node.gossip.run())
        await node.clock.advance(1.0)
        assert len(calls) > 3 and not task.done()
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task


def test_pace_keeps_to_its_rate():
    """Guards the budget of bytes against large fleets."""
    pace, spent = Pace(16000.0, 1300.0), 0
    for turn in range(400):
        for _ in range(pace.allowed(turn * 0.25, 3)):
            pace.spent(4000)
            spent += 4000
    assert 0.9 * 16000 * 100 < spent < 1.05 * 16000 * 100
    assert math.isclose(pace.exchange_bytes, 4000, rel_tol=0.01)


async def test_gossip_in_the_name_of_another_host_is_refused():
    """Guards against a host that speaks for another one."""
    async with contextlib.AsyncExitStack() as stack:
        nodes = await start_nodes(stack, NAMES[:2])
        message = GossipMessage(sender=HostInfo("h3", "i", "a", heartbeat=1))
        with pytest.raises(UserError, match="another sender"):
            await nodes["h1"].peers.call("h2", "gossip", message, GossipMessage, 5.0)
        assert live(nodes["h2"]) == ["h2"]
