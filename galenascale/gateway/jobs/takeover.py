"""Claiming of jobs whose host is gone."""

from galenascale.gateway.jobs.records import encode_record
from galenascale.gateway.load import hash_key as job_key
from galenascale.generated.gateway_messages import JobClaim, JobRecordKind
from galenascale.store import STORE_ERRORS

# Seconds between two looks for abandoned jobs.
SCAN_INTERVAL_S = 0.5
# Seconds after its start for which a host takes no jobs of silent hosts over.
START_GRACE_S = 3.2
# Seconds after which a job is taken over that its living host does not name
# among those it runs: it may not know that it is its.
STALL_TIMEOUT_S = 2.5


class Takeover:
    """Looks through the partitions that were dealt to this host."""

    def __init__(self, parts, partitions, group_membership, started_ms, follow_until):
        self._parts = parts
        self._partitions = partitions
        self._group_membership = group_membership
        self._started_ms = started_ms
        self._follow_until = follow_until
        self._claiming = set()
        # Monotonic time by job since which its living host does not run it.
        self._idle_since = {}
        self._began_at = parts.clock.monotonic()
        self._scanned_at = float("-inf")

    def claim_abandoned(self, group):
        """Claim abandoned jobs in tasks of a group."""
        now = self._parts.clock.monotonic()
        if now - self._scanned_at < SCAN_INTERVAL_S:
            return
        self._scanned_at = now
        for number in self._group_membership.partitions:
            partition = self._partitions.get(number)
            for state in partition.state.jobs_by_id.values():
                if state.job_id not in self._claiming and self._is_abandoned(state):
                    self._claiming.add(state.job_id)
                    group.create_task(self._claim(partition, state))

    def _is_abandoned(self, state):
        if state.cancelled or state.finished:
            return False
        host_id = self._parts.settings.host_id
        if state.is_run_by(host_id, self._started_ms):
            return False
        now = self._parts.clock.monotonic()
        peers = self._parts.peers
        if peers.is_running(state.runner, state.runner_started_ms, now):
            return self._is_stalled(state, now)
        self._idle_since.pop(state.job_id, None)
        # A silent host counts as gone only once this one heard the others; one
        # that started anew or leaves does at once.
        restarted = state.runner == host_id or peers.is_heard(state.runner, now)
        return restarted or now - self._began_at >= START_GRACE_S

    def _is_stalled(self, state, now):
        """Return True if the living host of a job does not run it for long."""
        if self._parts.peers.runs_job(state.runner, job_key(state.job_id)):
            self._idle_since.pop(state.job_id, None)
            return False
        since = self._idle_since.setdefault(state.job_id, now)
        return now - since > STALL_TIMEOUT_S

    async def _claim(self, partition, state):
        previous_runner = state.runner
        try:
            outcome = await self._try_claim(partition, state)
        except STORE_ERRORS as error:
            outcome = str(error)
        finally:
            self._claiming.discard(state.job_id)
        self._parts.log.write(
            "job_claim",
            job=state.job_id,
            former=previous_runner,
            open_items=len(state.open_indexes()),
            outcome=outcome,
        )

    async def _try_claim(self, partition, state):
        # Another steward may have claimed it, or its host finished it.
        await partition.refresh()
        if not self._is_abandoned(state):
            return "not abandoned"
        claim = JobClaim(
            runner=self._parts.settings.host_id, runner_started_ms=self._started_ms
        )
        offset = await partition.append(
            encode_record(JobRecordKind.CLAIM, state.job_id, claim)
        )
        self._follow_until(state.job_id, offset)
        return "claimed"
