"""Rounds of gossip between entry hosts."""

import asyncio
import random

from galenascale import codec
from galenascale.errors import GalenascaleError, UserError
from galenascale.generated.messages import GossipMessage
from galenascale.logs import get_logger
from galenascale.peers.exchange import Pace, choose_targets

log = get_logger("gossip")

METHOD = "gossip"
MAX_OPEN_ROUNDS = 16

# Headers of a request and its answer, measured by bench/gossip.py.
HTTP_BYTES = 520


class Gossip:
    """Tells peers and asks them, every `gossip_s` and when they call."""

    def __init__(self, exchange, peers, clock, settings, rng=None):
        """Take an Exchange, the Peers and MembershipSettings."""
        self._exchange = exchange
        self._membership = exchange.membership
        self._peers = peers
        self._clock = clock
        self._settings = settings
        self._rng = rng or random.Random()
        self._pace = Pace(settings.gossip_bytes_per_s)

    def register(self, server):
        """Serve gossip on a PeerServer."""
        server.register(METHOD, GossipMessage, GossipMessage, self._answer)

    async def _answer(self, sender, message):
        if message.sender.host_id != sender:
            raise UserError("gossip names another sender", step="gossip")
        answer = self._exchange.answer(self._clock.monotonic(), message)
        self._pace.spent(
            len(codec.encode(message)) + len(codec.encode(answer)) + HTTP_BYTES
        )
        return answer

    async def run(self):
        """
        Start rounds for ever; an error ends only its round.

        A round that waits for a silent peer does not hold up the next one.
        """
        rounds = set()
        try:
            while True:
                if len(rounds) < MAX_OPEN_ROUNDS:
                    task = asyncio.create_task(self._guarded_round())
                    rounds.add(task)
                    task.add_done_callback(rounds.discard)
                # Random intervals keep hosts from making rounds in step.
                await self._clock.sleep(
                    self._settings.gossip_s * self._rng.uniform(0.9, 1.1)
                )
        finally:
            for task in rounds:
                task.cancel()
            await asyncio.gather(*rounds, return_exceptions=True)

    async def _guarded_round(self):
        try:
            await self.round()
        except Exception:
            log.exception("A round of gossip failed.")

    async def round(self):
        """Make one round: exchange messages with a few peers at once."""
        now = self._clock.monotonic()
        self._membership.beat(now)
        fanout = self._pace.allowed(now, self._settings.gossip_fanout)
        if fanout > 0:
            targets = choose_targets(self._membership, now, self._rng, fanout)
            await asyncio.gather(*(self._exchange_with(peer) for peer in targets))

    async def tell_all(self):
        """Tell each live host of the domain, before this host leaves."""
        now = self._clock.monotonic()
        self._membership.beat(now)
        own = self._membership.own
        hosts = self._membership.live_hosts(now, own.failure_domain)
        await asyncio.gather(
            *(
                self._exchange_with(info.host_id)
                for info in hosts
                if info.host_id != own.host_id
            )
        )

    async def _exchange_with(self, host_id):
        domain = self._membership.domain_of(host_id)
        try:
            message = self._exchange.request(self._clock.monotonic(), domain)
            answer = await self._send(host_id, message)
            more = self._exchange.follow_up(self._clock.monotonic(), answer)
            if more is not None:
                answer = await self._send(host_id, more)
                self._exchange.finish(self._clock.monotonic(), answer)
        except GalenascaleError as error:
            log.debug("No exchange with %s: %s.", host_id, error)

    async def _send(self, host_id, message):
        answer = await self._peers.call(
            host_id, METHOD, message, GossipMessage, self._settings.dead_after_s / 2
        )
        if answer.sender.host_id != host_id:
            raise UserError("answer names another sender", step="gossip", peer=host_id)
        self._pace.spent(
            len(codec.encode(message)) + len(codec.encode(answer)) + HTTP_BYTES
        )
        return answer
