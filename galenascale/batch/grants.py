"""The shard owner's side of claims: which chunks a host may work on next.

The owner proposes claims and gathers them into few appends. Log order decides,
so a second owner at the same time can never grant a chunk twice.
"""

from galenascale.errors import GalenascaleError
from galenascale.generated.messages import (
    ChunkClaim,
    ChunkRef,
    WorkGrant,
    WorkReply,
    WorkRequest,
)
from galenascale.logs import get_logger
from galenascale.shards import make_record

log = get_logger("grants")

SUBMIT_TIMEOUT_S = 3.0
# A job within this share of its time to the due time goes before others.
LATE_SHARE = 0.25
MAX_TAKEN_EARLY = 10_000


class GrantService:
    """Grants chunks of the shards to the hosts that ask for work."""

    def __init__(self, shards, clock, settings, is_gone=None):
        self._shards = shards
        self._clock = clock
        self._settings = settings
        # is_gone(host id, incarnation) -> True if that process was seen to end
        self._is_gone = is_gone or (lambda host_id, incarnation: False)
        # Chunks that were taken before their lease lapsed. Each is so only
        # once: two partitioned hosts would take it from each other for ever.
        self._taken_early = {}
        # Chunks with a proposed claim that is not read back yet.
        self._proposed = set()
        # Items granted by tenant, for equal shares between tenants.
        self._granted_by_tenant = {}

    async def grant(self, request: WorkRequest):
        """Return a WorkReply with the claims that are in the log."""
        try:
            follower = self._shards.follower(request.shard)
            state = await follower.refresh(max_age_s=self._settings.idle_poll_s)
            chosen = self._choose(state, follower, request)
            if not chosen:
                return WorkReply()
            return WorkReply(await self._claim(request, chosen))
        except GalenascaleError as error:
            log.warning("Cannot grant work of shard %d: %s.", request.shard, error)
            return WorkReply(error_code=error.code)

    def _choose(self, state, follower, request):
        """Return (job, chunk, superseded offset) of about `max_items`."""
        chosen, items = [], 0
        for job in self._jobs_in_order(state, request.service_name):
            for chunk, superseded in self._free_chunks(job, follower):
                chosen.append((job, chunk, superseded))
                items += job.open_by_chunk[chunk]
                self._count(job, chunk)
                if items >= request.max_items:
                    return chosen
        return chosen

    def _jobs_in_order(self, state, service):
        now_ms = self._clock.wall_ms()
        jobs = [
            job
            for job in state.jobs_by_id.values()
            if job.created.service_name == service and not job.ended
        ]
        return sorted(
            jobs,
            key=lambda job: (
                not is_late(job.created, now_ms),
                self._granted_by_tenant.get(job.created.tenant, 0),
                job.created.due_ms,
                job.offset,
            ),
        )

    def _free_chunks(self, job, follower):
        margin_ms = self._settings.lease_margin_ms
        for chunk, open_items in enumerate(job.open_by_chunk):
            if not open_items or (job.created.job_id, chunk) in self._proposed:
                continue
            claim = job.claims_by_chunk.get(chunk)
            if claim is None:
                yield chunk, -1
            elif follower.lease_lapsed(claim, margin_ms):
                yield chunk, claim.offset
            elif self._may_take_early(job, chunk, claim):
                self._note_taken_early(job, chunk)
                yield chunk, claim.offset

    def _may_take_early(self, job, chunk, claim):
        """
        Return True if the holder of a claim seems to be gone.

        Without an intent a wrong guess can cost a second run of a repeatable
        item but nothing else: intents are valid only under the current claim.
        """
        return (
            (job.created.job_id, chunk) not in self._taken_early
            and self._is_gone(claim.holder, claim.incarnation)
            and not _has_intent(job, chunk)
        )

    def _note_taken_early(self, job, chunk):
        self._taken_early[job.created.job_id, chunk] = True
        while len(self._taken_early) > MAX_TAKEN_EARLY:
            self._taken_early.pop(next(iter(self._taken_early)))

    def _count(self, job, chunk):
        tenant = job.created.tenant
        granted = self._granted_by_tenant.get(tenant, 0)
        self._granted_by_tenant[tenant] = granted + job.open_by_chunk[chunk]

    async def _claim(self, request, chosen):
        keys = {(job.created.job_id, chunk) for job, chunk, _ in chosen}
        self._proposed |= keys
        try:
            records = [
                make_record(
                    ChunkClaim(
                        job.created.job_id,
                        chunk,
                        request.host_id,
                        request.incarnation,
                        self._settings.lease_ms,
                        superseded,
                    )
                )
                for job, chunk, superseded in chosen
            ]
            verdicts = await self._shards.submit(
                request.shard, records, SUBMIT_TIMEOUT_S
            )
        finally:
            self._proposed -= keys
        return [
            self._make_grant(job, chunk, verdict.offset)
            for (job, chunk, _), verdict in zip(chosen, verdicts, strict=True)
            if verdict.valid
        ]

    def _make_grant(self, job, chunk, offset):
        created, ref = job.created, job.created.chunks[chunk]
        remaining = job.open_items_of(chunk)
        return WorkGrant(
            job_id=created.job_id,
            chunk=chunk,
            claim_offset=offset,
            lease_ms=self._settings.lease_ms,
            ref=ChunkRef(
                job.chunk_positions[chunk],
                ref.first_item,
                ref.item_count,
                ref.size_bytes,
            ),
            remaining=remaining,
            idempotent=created.idempotent,
            endpoint=created.endpoint,
            tenant=created.tenant,
            model=created.model,
            due_ms=created.due_ms,
            doubtful=[item for item in remaining if item in job.intents_by_item],
        )


def _has_intent(job, chunk):
    return any(item in job.intents_by_item for item in job.items_of(chunk))


def is_late(created, now_ms):
    """Return True if little of the time to a job's due time is left."""
    whole = created.due_ms - created.created_ms
    return created.due_ms - now_ms < whole * LATE_SHARE
