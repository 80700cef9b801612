"""Owners of shards and slots that move, and signs of leaving servers."""

import asyncio
import types

import pytest

from galenascale import host_methods
from galenascale.clock import FakeClock
from galenascale.embedded import EmbeddedDeployment
from galenascale.generated.messages import (
    CallIntent,
    GiveWayReply,
    GiveWayRequest,
    GossipMessage,
    HostInfo,
    ServerLoad,
)
from galenascale.membership import Membership
from galenascale.peers.exchange import Exchange
from galenascale.shards import make_record
from test.test_stopping import small_deployment, until

SHARD = 0


async def submit_until(host, done, verdicts):
    """Submit one record after the other and keep the verdicts."""
    while not done.is_set():
        call_id = f"call-{host.host_id}-{len(verdicts)}"
        intent = CallIntent(call_id, "t", "s", "d", host.host_id, host.incarnation)
        verdicts[call_id] = None
        record = make_record(intent)
        (verdicts[call_id],) = await host.shards.submit(SHARD, [record], urgent=True)


@pytest.mark.parametrize("graceful", [True, False])
async def test_records_in_flight_survive_the_loss_of_a_shard_owner(graceful):
    """Guards against refused or lost records while a shard's owner moves."""
    async with (
        asyncio.timeout(60),
        EmbeddedDeployment(small_deployment()) as embedded,
    ):
        hosts = list(embedded.hosts_by_id.values())
        await until(lambda: all(len(host.peering.live_ids()) == 3 for host in hosts))
        owner = embedded.hosts_by_id[hosts[0].peering.shard_owner(SHARD)]
        others = [host for host in hosts if host is not owner]
        done, verdicts = asyncio.Event(), {}
        tasks = [
            asyncio.create_task(submit_until(host, done, verdicts))
            for host in others
            for _ in range(4)
        ]
        await until(lambda: len(verdicts) > 40)
        await owner.stop(graceful)
        await until(lambda: others[0].peering.shard_owner(SHARD) != owner.host_id)
        count = len(verdicts)
        await until(lambda: len(verdicts) > count + 40)
        done.set()
        await asyncio.gather(*tasks)
        assert all(verdict.valid for verdict in verdicts.values())
        new_owner = others[0].peering.shard_owner(SHARD)
        assert new_owner == others[1].peering.shard_owner(SHARD)
        state = await others[0].shards.view(SHARD)
        assert state.calls_by_id.keys() >= verdicts.keys()


async def test_representative_forwards_give_way_to_the_owner():
    """Guards against a request that ends at a host without the slots."""
    async with (
        asyncio.timeout(60),
        EmbeddedDeployment(small_deployment(step=1)) as embedded,
    ):
        hosts = list(embedded.hosts_by_id.values())
        await until(lambda: all(len(host.peering.live_ids()) == 9 for host in hosts))
        local, asker = hosts[:3], hosts[-1]
        server = next(
            server
            for server in asker.config.current.servers_by_id.values()
            if server.failure_domain == local[0].settings.failure_domain
        )
        owner = local[0].peering.slot_owner(server)
        (other, *_) = [host for host in local if host.host_id != owner]
        noted = []
        for host in local:
            router = host.online.dispatcher(server.service_name).router
            router.note_peer_online = lambda *args, host=host: noted.append(
                (host.host_id, *args[:3])
            )
        request = GiveWayRequest(server.name, 3, asker.host_id, 1)
        expected = []
        for forwarded, receiver in ((False, owner), (True, other.host_id)):
            request.forwarded = forwarded
            expected.append((receiver, server.name, asker.host_id, 1))
            await asker.peers.call(
                other.host_id, "give_way", request, GiveWayReply, 5.0
            )
            assert noted == expected


def make_listener():
    """Return a host that takes gossip and the ids its requests avoid."""
    membership = Membership(HostInfo("h1", "i1", failure_domain="a"))
    left = []
    host = types.SimpleNamespace(
        clock=FakeClock(),
        membership=membership,
        peering=types.SimpleNamespace(exchange=Exchange(membership)),
        online=types.SimpleNamespace(
            loads=list, peer_loads=lambda *_: None, leaving=left.append
        ),
        config=types.SimpleNamespace(notice=lambda *_: None),
    )
    host_methods.connect_gossip(host)
    host.peering.exchange.config_version = lambda: -1
    host.peering.exchange.config_age_s = lambda: -1.0
    return host, left


@pytest.mark.parametrize("returned", ["not", "after a failure", "by a late report"])
def test_word_of_a_peer_counts_until_the_server_has_returned(returned):
    """Guards against hosts that keep up a "leaving" for each other."""
    host, left = make_listener()
    signs = host.membership.servers
    host_methods.note_sign(host, "s1", "leaving", 999.0)
    assert left.pop() == "s1" and not signs.is_usable(1000.0, "s1")
    host.clock.now_s = 1011.0
    if returned == "after a failure":
        host_methods.note_sign(host, "s1", "connect_failed", 1010.0)
        host_methods.note_sign(host, "s1", "", 1010.5)
        assert not signs.is_usable(1011.0, "s1")
        host_methods.note_sign(host, "s1", "", 1012.0)
    elif returned == "by a late report":
        signs.reported(1011.0, "s1", 1009.9)
        assert not signs.is_usable(1011.0, "s1")
        signs.reported(1011.0, "s1", 1010.1)
    assert signs.is_usable(1011.0, "s1") == (returned != "not")
    message = GossipMessage(
        sender=HostInfo("h2", "i2", failure_domain="a"),
        loads=[ServerLoad("s1", leaving=True)],
        leaving_servers=["s1"],
        leaving_ages_ms=[11_000],
    )
    host.peering.exchange.answer(1011.0, message)
    assert left == (["s1"] if returned == "not" else [])
