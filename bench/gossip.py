"""Cost of gossip for a host in many failure domains, as JSON on stdout.

Hosts exchange encoded messages in memory on a simulated clock, each within the
byte rate of its settings. CPU time and bytes of the HTTP calls that carry the
messages are measured apart, on one connection over loopback, and added.

Example: python bench/gossip.py --hosts 3 9 38
"""

import argparse
import asyncio
import contextlib
import json
import random
import sys
import time
from pathlib import Path

import aiohttp
import attrs

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from galenascale import codec
from galenascale.clock import Clock
from galenascale.generated.messages import (
    GossipMessage,
    HostInfo,
    MembershipSettings,
    ServerLoad,
)
from galenascale.membership import ListedHost, Membership
from galenascale.peers import Peers, PeerServer
from galenascale.peers.auth import Signer
from galenascale.peers.exchange import Exchange, Pace, choose_targets
from galenascale.peers.gossip import HTTP_BYTES

CALLS = 400
SETTINGS = MembershipSettings()
LOADS = 40


@attrs.define
class Cost:
    """Totals over all simulated hosts."""

    exchanges: int = 0
    messages: int = 0
    bytes: int = 0
    # Bytes of each host, sent and received, with HTTP_BYTES for a call.
    by_host: dict = attrs.field(factory=dict)


class Node:
    """One simulated host with its pace."""

    def __init__(self, number, domain, rng):
        info = HostInfo(
            host_id=f"host-{domain:02}-{number:02}",
            incarnation=f"{rng.getrandbits(64):016x}",
            failure_domain=f"domain-{domain:02}",
            url=f"http://10.{domain}.0.{number}:8080",
            peer_url=f"http://10.{domain}.0.{number}:9080",
            generation=1_790_000_000_000 + number,
            ready=True,
            # After three days; its size depends on the digits.
            heartbeat=1_000_000,
        )
        loads = [
            ServerLoad(f"runner-{domain:02}-{index:03}", 3, 2, 100)
            for index in range(LOADS)
        ]
        self.membership = Membership(info, SETTINGS.dead_after_s)
        self.exchange = Exchange(self.membership, loads=lambda: loads)
        self.pace = Pace(SETTINGS.gossip_bytes_per_s)


class Simulation:
    """Rounds of all hosts; messages pass through the codec."""

    def __init__(self, domains, hosts_per_domain, seed):
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.cost = Cost()
        self.nodes_by_id = {}
        for domain in range(domains):
            for number in range(hosts_per_domain):
                node = Node(number, domain, self.rng)
                self.nodes_by_id[node.membership.own.host_id] = node
        own = (node.membership.own for node in self.nodes_by_id.values())
        listed = [
            ListedHost(i.host_id, i.failure_domain, i.url, i.peer_url, "live")
            for i in own
        ]
        for node in self.nodes_by_id.values():
            node.membership.see_host_list(self.now, listed)

    def _carry(self, message, *nodes):
        data = codec.encode(message)
        self.cost.messages += 1
        self.cost.bytes += len(data)
        for node in nodes:
            size = len(data) + HTTP_BYTES / 2
            node.pace.spent(size)
            host_id = node.membership.own.host_id
            self.cost.by_host[host_id] = self.cost.by_host.get(host_id, 0) + size
        return codec.decode(GossipMessage, data)

    def _exchange(self, node, peer):
        self.cost.exchanges += 1
        domain = node.membership.domain_of(peer.membership.own.host_id)
        message = node.exchange.request(self.now, domain)
        while message is not None:
            request = self._carry(message, node, peer)
            answer = peer.exchange.answer(self.now, request)
            answer = self._carry(answer, node, peer)
            if message.hosts or message.wanted:
                node.exchange.finish(self.now, answer)
                return
            message = node.exchange.follow_up(self.now, answer)

    def round(self):
        """Make one round of all hosts."""
        self.now += SETTINGS.gossip_s
        for node in self.nodes_by_id.values():
            node.membership.beat(self.now)
            fanout = node.pace.allowed(self.now, SETTINGS.gossip_fanout)
            if not fanout:
                continue
            for host_id in choose_targets(node.membership, self.now, self.rng, fanout):
                self._exchange(node, self.nodes_by_id[host_id])

    def lowest_local_view(self):
        """Return the fewest live hosts that a host sees in its domain."""
        return min(
            len(
                node.membership.live_hosts(self.now, node.membership.own.failure_domain)
            )
            for node in self.nodes_by_id.values()
        )

    def lowest_domain_count(self):
        """Return the fewest domains of which a host knows a live host."""
        return min(
            len(node.membership.view(self.now).by_domain)
            for node in self.nodes_by_id.values()
        )

    def owners_agreeing(self, shards=8):
        """Return the share of (host, shard) that name the usual owner."""
        agreeing = 0
        for shard in range(shards):
            owners = [
                node.membership.owner_of_shard(self.now, shard)
                for node in self.nodes_by_id.values()
            ]
            agreeing += owners.count(max(set(owners), key=owners.count))
        return agreeing / shards / len(self.nodes_by_id)

    def leaving_spread_s(self, limit=200):
        """Return the time until a host's whole domain knows that it leaves."""
        first = next(iter(self.nodes_by_id.values())).membership
        first.update_own(state="leaving")
        started = self.now
        for _ in range(limit):
            self.round()
            if all(
                node.membership.known_info(first.own.host_id) is not None
                and node.membership.known_info(first.own.host_id).state == "leaving"
                for node in self.nodes_by_id.values()
                if node.membership is not first
                and node.membership.own.failure_domain == first.own.failure_domain
            ):
                return self.now - started
        return None


async def measure_call(message):
    """Return (CPU s of client and server, HTTP bytes) of one call."""
    clock = Clock()
    async with contextlib.AsyncExitStack() as stack:
        server = PeerServer(Signer("host-b", bytes(16), clock))

        async def answer(sender, request):
            return message

        server.register("gossip", GossipMessage, GossipMessage, answer)
        await server.start(stack, "127.0.0.1", 0)
        sizes = []
        proxy = await asyncio.start_server(
            lambda r, w: _relay(r, w, server.port, sizes), "127.0.0.1", 0
        )
        stack.callback(proxy.close)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        ports = [proxy.sockets[0].getsockname()[1], server.port]
        signer = Signer("host-a", bytes(16), clock)
        for port in ports:
            peers = Peers(session, signer, lambda _, p=port: f"http://127.0.0.1:{p}")
            await peers.call("host-b", "gossip", message, GossipMessage, 5.0)
            sizes_before, started = sum(sizes), time.process_time()
            for _ in range(CALLS):
                await peers.call("host-b", "gossip", message, GossipMessage, 5.0)
            cpu_s = (time.process_time() - started) / CALLS
            if port == ports[0]:
                size = (sum(sizes) - sizes_before) / CALLS
    return cpu_s, size - 2 * len(codec.encode(message))


async def _relay(reader, writer, port, sizes):
    """Pass bytes through in both directions and record their counts."""
    peer_reader, peer_writer = await asyncio.open_connection("127.0.0.1", port)

    async def copy(source, target):
        while data := await source.read(65536):
            sizes.append(len(data))
            target.write(data)
        target.close()

    await asyncio.gather(copy(reader, peer_writer), copy(peer_reader, writer))


def measure(domains, hosts_per_domain, warm_up, rounds, seed):
    """Return the figures of one size of failure domain."""
    simulation = Simulation(domains, hosts_per_domain, seed)
    for _ in range(warm_up):
        simulation.round()
    simulation.cost = Cost()
    lowest_local, lowest_domains = hosts_per_domain, domains
    agreement = 1.0
    cpu_s = 0.0
    for _ in range(rounds):
        started = time.process_time()
        simulation.round()
        cpu_s += time.process_time() - started
        lowest_local = min(lowest_local, simulation.lowest_local_view())
        lowest_domains = min(lowest_domains, simulation.lowest_domain_count())
        agreement = min(agreement, simulation.owners_agreeing())
    cost, hosts = simulation.cost, len(simulation.nodes_by_id)
    own = next(iter(simulation.nodes_by_id.values()))
    message = own.exchange.request(simulation.now, own.membership.own.failure_domain)
    call_cpu_s, call_http_bytes = asyncio.run(measure_call(message))
    seconds = rounds * SETTINGS.gossip_s
    calls = cost.messages / 2
    # A message is coded twice in each part; the call's share covers that too.
    cpu = (cpu_s + calls * call_cpu_s) / hosts / seconds
    wire_bytes = 2 * (cost.bytes + calls * call_http_bytes) / hosts / seconds
    return {
        "hosts_per_domain": hosts_per_domain,
        "hosts": hosts,
        "exchanges_per_host_round": round(cost.exchanges / hosts / rounds, 2),
        "calls_per_exchange": round(calls / cost.exchanges, 3),
        "message_bytes": round(cost.bytes / cost.messages, 1),
        "http_bytes_per_call": round(call_http_bytes, 1),
        "bytes_per_host_round": round(wire_bytes * SETTINGS.gossip_s, 1),
        "bytes_per_host_s": round(wire_bytes),
        "most_bytes_of_a_host_s": round(max(cost.by_host.values()) / seconds),
        "core_cpu_ms_per_host_round": round(1000 * cpu_s / hosts / rounds, 4),
        "call_cpu_ms": round(1000 * call_cpu_s, 4),
        "cpu_percent_of_core": round(100 * cpu, 3),
        "fewest_live_hosts_seen_in_domain": lowest_local,
        "fewest_domains_seen": lowest_domains,
        "lowest_agreement_on_shard_owners": round(agreement, 4),
        "leaving_known_in_domain_s": simulation.leaving_spread_s(),
    }


def main():
    """Print the figures for each size of failure domain."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", type=int, nargs="+", default=[3, 9, 38])
    parser.add_argument("--domains", type=int, default=25)
    parser.add_argument("--warm-up", type=int, default=60)
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    results = [
        measure(options.domains, count, options.warm_up, options.rounds, options.seed)
        for count in options.hosts
    ]
    settings = attrs.asdict(SETTINGS)
    print(
        json.dumps(
            {"domains": options.domains, "settings": settings, "results": results}
        )
    )


if __name__ == "__main__":
    main()
