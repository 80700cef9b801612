"""Entry hosts that gossip in memory on one simulated clock."""

import random

from galenascale import codec
from galenascale.generated.messages import GossipMessage, HostInfo
from galenascale.membership import Membership
from galenascale.peers.exchange import Exchange, choose_targets

GOSSIP_S = 0.25


def carry(message):
    """Return the message as its receiver decodes it."""
    return codec.decode(GossipMessage, codec.encode(message))


class Fleet:
    """Exchanges by host id; a host that was killed has none."""

    def __init__(self, domains_by_id):
        self.domains_by_id = domains_by_id
        self.now = 1000.0
        self.rng = random.Random(7)
        self.incarnations = 0
        self.exchanges_by_id = {}
        self.cut = lambda a, b: False
        for host_id in domains_by_id:
            self.start(host_id)

    def start(self, host_id, generation=None):
        """Start a host, or replace its process."""
        self.incarnations += 1
        info = HostInfo(
            host_id=host_id,
            incarnation=f"i{self.incarnations}",
            failure_domain=self.domains_by_id[host_id],
            peer_url=f"http://{host_id}",
            generation=self.incarnations if generation is None else generation,
        )
        seeds = dict.fromkeys(self.domains_by_id, "http://seed")
        self.exchanges_by_id[host_id] = Exchange(Membership(info, 2.0, seeds))

    def membership(self, host_id):
        """Return the Membership of a running host."""
        return self.exchanges_by_id[host_id].membership

    def exchange(self, a, b):
        """Let a host contact another one."""
        own, peer = self.exchanges_by_id[a], self.exchanges_by_id.get(b)
        if peer is None:
            own.membership.host_failed(self.now, b)
        if peer is None or self.cut(a, b):
            return
        request = own.request(self.now, own.membership.domain_of(b))
        answer = carry(peer.answer(self.now, carry(request)))
        more = own.follow_up(self.now, answer)
        if more is not None:
            own.finish(self.now, carry(peer.answer(self.now, carry(more))))

    def rounds(self, count):
        """Let each host make rounds of gossip."""
        for _ in range(count):
            self.now += GOSSIP_S
            for host_id in list(self.exchanges_by_id):
                membership = self.membership(host_id)
                membership.beat(self.now)
                for peer in choose_targets(membership, self.now, self.rng, 3):
                    self.exchange(host_id, peer)
