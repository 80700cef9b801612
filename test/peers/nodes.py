"""Entry hosts' peer parts on loopback, driven by tests."""

import random

import aiohttp

from galenascale.clock import FakeClock
from galenascale.generated.messages import HostInfo, MembershipSettings, TlsSettings
from galenascale.membership import Membership
from galenascale.peers import Gossip, Peers, PeerServer
from galenascale.peers.auth import Signer
from galenascale.peers.exchange import Exchange
from galenascale.tls import make_peer_contexts

SECRET = b"0123456789abcdef"


class Node:
    """A peer server, its client and gossip on one fake clock."""

    def __init__(self, host_id, clock, tls=None):
        self.clock = clock
        self.signer = Signer(host_id, SECRET, clock)
        server_tls, self.client_tls = make_peer_contexts(tls or TlsSettings())
        self.server = PeerServer(self.signer, server_tls, max_body_bytes=4096)
        self.membership = Membership(HostInfo(host_id, f"i-{host_id}", "a"))

    async def start(self, stack):
        """Listen until the stack closes and return the node."""
        await self.server.start(stack, "127.0.0.1", 0)
        self.session = await stack.enter_async_context(aiohttp.ClientSession())
        scheme = "https" if self.client_tls else "http"
        self.url = f"{scheme}://127.0.0.1:{self.server.port}"
        self.membership.update_own(peer_url=self.url)
        self.peers = Peers(
            self.session, self.signer, self.membership.peer_url, self.client_tls
        )
        self.gossip = Gossip(
            Exchange(self.membership),
            self.peers,
            self.clock,
            MembershipSettings(),
            random.Random(3),
        )
        self.gossip.register(self.server)
        return self

    def cut_off(self, cut):
        """Cut this node off from all others, or connect it again."""
        self.peers.blocked = self.server.blocked = lambda host_id: cut


async def start_nodes(stack, names, tls=None):
    """Return nodes by name that know each other as seeds."""
    clock = FakeClock()
    nodes = {name: await Node(name, clock, tls).start(stack) for name in names}
    urls = {name: node.url for name, node in nodes.items()}
    for node in nodes.values():
        node.membership._seed_peers.update(urls)
    return nodes
