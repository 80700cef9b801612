"""Claims jobs whose host was lost or does not run them."""

from galenascale.gateway.jobs.records import encode_record
from galenascale.gateway.load import hash_key as job_key
from galenascale.generated.gateway_messages import JobClaim, JobRecordKind
from galenascale.store import STORE_ERRORS

# Seconds between two scans for abandoned jobs.
SCAN_INTERVAL_S = 0.5
# Seconds after its start in which a host does not take over jobs of hosts that
# it has not heard from.
START_GRACE_S = 3.2
# Seconds after which a job is taken over although its host is alive, if that
# host does not list it as running: it may not know that the job is its own. A
# list counts if it arrived that long after the job was first missed.
STALL_TIMEOUT_S = 2.5
# Outcome of a claim that is in the store.
CLAIMED = "claimed"


class Takeover:
    """Scans the partitions assigned to this host for abandoned jobs."""

    def __init__(
        self, context, partitions, loader, group_membership, started_ms, follow_until
    ):
        self._context = context
        self._loader = loader
        self._partitions = partitions
        self._group_membership = group_membership
        self._started_ms = started_ms
        self._follow_until = follow_until
        self._claiming = set()
        # Monotonic time by job since which its live host has not listed it as
        # running.
        self._idle_since = {}
        self._began_at = context.clock.monotonic()
        self._scanned_at = float("-inf")

    def claim_abandoned(self, group):
        """
        Start a claim of each abandoned job in a task group.

        Those for which there is no room wait until other jobs are finished, or
        for another host.
        """
        now = self._context.clock.monotonic()
        if now - self._scanned_at < SCAN_INTERVAL_S:
            return
        self._scanned_at = now
        for number in self._group_membership.partitions:
            partition = self._partitions.get(number)
            for state in partition.state.jobs_by_id.values():
                if state.job_id in self._claiming or not self._is_abandoned(state):
                    continue
                if self._context.job_memory.has_room(state.loaded_size()):
                    self._context.job_memory.reserve(state)
                    self._claiming.add(state.job_id)
                    group.create_task(self._claim(partition, state))

    def _is_abandoned(self, state):
        if not state.is_open:
            return False
        host_id = self._context.settings.host_id
        if state.is_run_by(host_id, self._started_ms):
            return False
        now = self._context.clock.monotonic()
        peers = self._context.peers
        if peers.is_running(state.runner, state.runner_started_ms, now):
            return self._is_stalled(state, now)
        self._idle_since.pop(state.job_id, None)
        # A silent host counts as lost only once this host had time to hear
        # from the others. A host that restarted or is leaving counts as lost
        # at once.
        restarted = state.runner == host_id or peers.is_alive(state.runner, now)
        return restarted or now - self._began_at >= START_GRACE_S

    def _is_stalled(self, state, now):
        """Return True if a job's live host has not run it for too long."""
        key = job_key(state.job_id)
        unlisted_at = self._context.peers.unlisted_at(state.runner, key)
        if unlisted_at is None:
            self._idle_since.pop(state.job_id, None)
            return False
        since = self._idle_since.setdefault(state.job_id, now)
        return unlisted_at - since > STALL_TIMEOUT_S

    async def _claim(self, partition, state):
        previous_runner = state.runner
        outcome = ""
        try:
            outcome = await self._try_claim(partition, state)
        except STORE_ERRORS as error:
            outcome = str(error)
        finally:
            self._claiming.discard(state.job_id)
            if outcome != CLAIMED:
                self._context.job_memory.release(state)
        self._context.log.write(
            "job_claim",
            job=state.job_id,
            former=previous_runner,
            open_items=len(state.open_indexes()),
            outcome=outcome,
        )

    async def _try_claim(self, partition, state):
        # Meanwhile another host may have claimed the job, or the job's host
        # may have finished it.
        await partition.refresh()
        if not self._is_abandoned(state):
            return "not abandoned"
        await self._loader.items(state)
        claim = JobClaim(
            runner=self._context.settings.host_id, runner_started_ms=self._started_ms
        )
        offset = await partition.append(
            encode_record(JobRecordKind.CLAIM, state.job_id, claim)
        )
        self._follow_until(state.job_id, offset)
        return CLAIMED
