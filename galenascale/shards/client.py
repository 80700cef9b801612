"""Submission of records to the owner of their shard, and views of shards.

The owner gathers records of all hosts into few appends. Which host that is
matters for cost only: log order decides what is valid, so a host that does not
reach the owner appends by itself.
"""

import asyncio

from galenascale.errors import GalenascaleError, PeerError
from galenascale.generated.messages import SubmitReply, SubmitRequest, VerdictMessage
from galenascale.ledger import Verdict, VerdictStatus
from galenascale.logs import get_logger
from galenascale.shards.follower import ShardFollower
from galenascale.shards.ids import FLEET
from galenascale.shards.writer import ShardWriter
from galenascale.store import STORE_ERRORS, StoreOutcomeUnknown, StoreUnavailable

log = get_logger("shard")

# Time for the owner's answer beyond the time that it may take itself.
OWNER_ANSWER_MARGIN_S = 0.5
DRAIN_POLL_S = 0.02
ERRORS_BY_CODE = {
    StoreUnavailable.code: StoreUnavailable,
    StoreOutcomeUnknown.code: StoreOutcomeUnknown,
}


class Shards:
    """Followers and writers of shards, made when they are first used."""

    def __init__(
        self, log_client, clock, settings, host_id, ownership=None, peers=None
    ):
        self.count = settings.shards
        self._log_client = log_client
        self._clock = clock
        self._settings = settings
        self._host_id = host_id
        # Function from a shard number to the host id of its owner.
        self._ownership = ownership or (lambda shard: host_id)
        self._peers = peers
        self._followers_by_shard = {}
        self._writers_by_shard = {}
        self._tasks = []
        self._closed = False

    def owner(self, shard):
        """Return the host id of the owner in this host's view."""
        return self._ownership(shard) or self._host_id

    def owned(self):
        """Return the shards that this host owns in its own view."""
        return [
            shard for shard in range(self.count) if self.owner(shard) == self._host_id
        ]

    def kept(self):
        """Return the owned shards, with the fleet stream if it is owned."""
        owned = self.owned()
        return [*owned, FLEET] if self.owner(FLEET) == self._host_id else owned

    def follower(self, shard):
        """Return the follower of a shard; it reads nothing by itself."""
        if shard not in self._followers_by_shard:
            self._followers_by_shard[shard] = ShardFollower(
                self._log_client, shard, self._clock
            )
        return self._followers_by_shard[shard]

    def _writer(self, shard):
        if shard not in self._writers_by_shard:
            writer = ShardWriter(
                self._log_client,
                self.follower(shard),
                self._clock,
                self._settings,
                self._host_id,
            )
            self._writers_by_shard[shard] = writer
            self._tasks.append(asyncio.create_task(writer.run()))
        return self._writers_by_shard[shard]

    async def view(self, shard, max_age_s=0.0):
        """Return the ShardState read to the end of the log."""
        return await self.follower(shard).refresh(max_age_s)

    async def submit(self, shard, records, timeout_s=10.0, urgent=False):
        """
        Return the verdicts of the records once they were read back.

        Raise StoreUnavailable (not appended) or StoreOutcomeUnknown.
        """
        owner = self.owner(shard)
        if owner == self._host_id or self._peers is None:
            return await self._writer(shard).submit(records, timeout_s, urgent)
        try:
            return await self._submit_to(owner, shard, records, timeout_s, urgent)
        except STORE_ERRORS:
            raise
        except GalenascaleError as error:
            log.warning("Owner %s of shard %d is away: %s.", owner, shard, error)
        try:
            return await self._writer(shard).submit(records, timeout_s, urgent)
        except StoreUnavailable as error:
            # The owner may have appended them before its answer was lost.
            raise StoreOutcomeUnknown(
                error.message, step="submit", peer=owner
            ) from error

    async def _submit_to(self, owner, shard, records, timeout_s, urgent):
        request = SubmitRequest(shard, records, timeout_s, urgent)
        reply = await self._peers.call(
            owner, "submit", request, SubmitReply, timeout_s + OWNER_ANSWER_MARGIN_S
        )
        if reply.error_code:
            error_type = ERRORS_BY_CODE.get(reply.error_code, StoreOutcomeUnknown)
            raise error_type("owner could not append", step="submit", peer=owner)
        return [_to_verdict(message) for message in reply.verdicts]

    async def handle_submit(self, request):
        """Answer another host's SubmitRequest with a SubmitReply."""
        if request.shard != FLEET and not 0 <= request.shard < self.count:
            return SubmitReply(error_code="unknown_shard")
        if self._closed:
            # The sender then appends by itself.
            raise PeerError("owner has stopped", step="submit")
        try:
            verdicts = await self._writer(request.shard).submit(
                request.records, request.timeout_s, request.urgent
            )
        except GalenascaleError as error:
            if self._closed:
                raise PeerError("owner has stopped", step="submit") from error
            return SubmitReply(error_code=error.code)
        return SubmitReply([_to_message(verdict) for verdict in verdicts])

    def appends(self):
        """Return the number of appends that this host made."""
        return sum(writer.appends for writer in self._writers_by_shard.values())

    async def drain(self):
        """Return once no submitted records wait for their verdicts."""
        while any(writer.waiting for writer in self._writers_by_shard.values()):
            await self._clock.sleep(DRAIN_POLL_S)

    async def close(self):
        """Stop the writers; what still waits gets its error."""
        self._closed = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def _to_message(verdict):
    return VerdictMessage(
        verdict.record_id,
        verdict.offset,
        verdict.index,
        verdict.status.value,
        verdict.reason,
        verdict.entity_id,
    )


def _to_verdict(message):
    return Verdict(
        message.record_id,
        message.offset,
        message.index,
        VerdictStatus(message.status),
        message.reason,
        message.entity_id,
    )
