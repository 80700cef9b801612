"""Assignment of partitions in which hosts look for abandoned jobs."""

from galenascale.errors import DecodeError
from galenascale.gateway.jobs.partitions import JOBS_TOPIC
from galenascale.store import STORE_ERRORS

# Name of the consumer group at the store.
GROUP = "job-stewards"
# Lease of a member and interval between renewals, in seconds. The partitions
# of a lost host are reassigned when its lease expires. A lease lasts for three
# renewals, so that a failed one does not end it.
LEASE_S = 3.0
RENEWAL_S = 1.0


class GroupMembership:
    """
    Membership in the consumer group whose members share the partitions.

    The store divides the partitions among the members. This assignment only
    determines which host looks for abandoned jobs in a partition. Claim
    records in the partition determine which host runs a job, so an outdated
    assignment is harmless.
    """

    def __init__(self, context, store_status):
        self._context = context
        self._store_status = store_status
        self._generation = 0
        self.partitions = frozenset()

    async def run(self):
        """Join the group and renew the lease until cancelled."""
        while True:
            await self._renew()
            await self._context.clock.sleep(RENEWAL_S)

    async def _renew(self):
        context = self._context
        lease_s = max(LEASE_S, context.settings.store.min_lease_ms / 1000)
        try:
            membership = await context.store.join(
                GROUP, context.settings.host_id, [JOBS_TOPIC], lease_s, self._generation
            )
        except (DecodeError, *STORE_ERRORS) as error:
            # The assigned partitions are kept: while the store is unavailable,
            # no other host can claim a job either.
            self._store_status.record_failure(error)
            return
        self._store_status.record_answer()
        self._generation = membership.generation
        partitions = frozenset(membership.partitions)
        if partitions != self.partitions:
            context.log.write(
                "partitions_dealt",
                generation=membership.generation,
                partitions=sorted(partitions),
            )
        self.partitions = partitions

    async def leave(self):
        """Leave the group; its other members get the partitions."""
        try:
            await self._context.store.leave(GROUP, self._context.settings.host_id)
        except STORE_ERRORS as error:
            # Without this call the membership ends when its lease expires.
            self._store_status.record_failure(error)
