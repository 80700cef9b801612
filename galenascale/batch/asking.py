"""Requests for work to the owners of the shards."""

import asyncio
import collections

from galenascale.errors import PeerError
from galenascale.generated.messages import WorkReply, WorkRequest
from galenascale.logs import get_logger

log = get_logger("batch")

ASK_TIMEOUT_S = 5.0


class WorkAsker:
    """
    Asks for chunks of one service at a time.

    Shards that are known to have work are asked at once and share the number
    of items. Only if they give nothing the others are asked, all together:
    each round costs the time of one group commit.
    """

    def __init__(self, host, grants, holdings):
        self._host_id = host.host_id
        self._incarnation = host.incarnation
        self._shards = host.shards
        self._clock = host.clock
        self._peers = host.peers
        self._idle_poll_s = host.settings.batch.idle_poll_s
        self._grants = grants
        self._holdings = holdings
        self._shards_with_work = collections.defaultdict(set)
        self._asking = set()
        self._noticed = asyncio.Event()

    def notice(self, service, shard):
        """Note that a shard has new work; pauses between requests end."""
        self._shards_with_work[service].add(shard)
        self._noticed.set()

    def is_asking(self, service):
        """Return whether a request of a service is under way."""
        return service in self._asking

    async def ask(self, service, wanted):
        """Get about `wanted` items; without any, return after a pause."""
        self._asking.add(service)
        self._noticed.clear()
        try:
            known = self._shards_with_work[service]
            got = await self._ask_all(sorted(known), service, wanted)
            if not got:
                others = set(range(self._shards.count)) - known
                got = await self._ask_all(sorted(others), service, wanted)
            if not got:
                await self._clock.wait_any([self._noticed.wait()], self._idle_poll_s)
        finally:
            self._asking.discard(service)

    async def _ask_all(self, shards, service, wanted):
        if not shards:
            return 0
        share = -(-wanted // len(shards))
        counts = await asyncio.gather(
            *(self._ask_shard(shard, service, share) for shard in shards)
        )
        return sum(counts)

    async def _ask_shard(self, shard, service, wanted):
        request = WorkRequest(self._host_id, self._incarnation, service, wanted, shard)
        leased_at = self._clock.monotonic()
        self._shards_with_work[service].discard(shard)
        reply = await self._request(request)
        if reply.grants:
            self._shards_with_work[service].add(shard)
        counts = await asyncio.gather(
            *(
                self._holdings.hold(shard, service, grant, leased_at)
                for grant in reply.grants
            )
        )
        return sum(counts)

    async def _request(self, request):
        owner = self._shards.owner(request.shard)
        if owner == self._host_id or self._peers is None:
            return await self._grants.grant(request)
        try:
            return await self._peers.call(
                owner, "work", request, WorkReply, ASK_TIMEOUT_S
            )
        except PeerError as error:
            log.warning("Owner %s gives no work: %s.", owner, error)
            return await self._grants.grant(request)
