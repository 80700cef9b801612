"""Entry hosts as a whole, without a platform."""

import contextlib

from galenascale.generated.messages import (
    Empty,
    HostSettings,
    MembershipSettings,
    StopSettings,
)
from galenascale.host import Host


def make_host(name, seeds):
    """Return a host whose own rounds are too rare to matter."""
    return Host.from_config(
        HostSettings(
            host_id=name,
            failure_domain="a",
            platform_url="http://127.0.0.1:1",
            peer_secret="0123456789abcdef",
            membership=MembershipSettings(gossip_s=3600.0, dead_after_s=600.0),
            stop=StopSettings(grace_s=0.0, drain_announce_s=0.0),
            seed_peers=seeds,
        )
    )


async def test_hosts_meet_by_seeds_and_tell_that_they_leave():
    """Guards the wiring of membership, peers and gossip in a host."""
    async with contextlib.AsyncExitStack() as stack:
        first = make_host("h1", {})
        called = []

        async def record(sender, _):
            called.append(sender)
            return Empty()

        first.peering.server.register("record", Empty, Empty, record)
        await first.start()
        stack.push_async_callback(first.stop)
        second = make_host("h2", {"h1": first.membership.own.peer_url})
        await second.start()
        for host in (second, first):
            await host.peering.gossip.round()
            now = host.clock.monotonic()
            infos = host.membership.live_hosts(now)
            assert [info.host_id for info in infos] == ["h1", "h2"]
            assert infos[1].incarnation == second.incarnation
            assert infos[1].url == f"http://127.0.0.1:{second.port}"
        await second.peers.call("h1", "record", Empty(), Empty, 5.0)
        assert called == ["h2"]
        await second.stop()
        now = first.clock.monotonic()
        assert first.membership.live_hosts(now)[1].state == "leaving"
        assert first.membership.slot_owner(now, "server", "a") == "h1"
