"""Which partitions this host watches for jobs whose host is gone."""

from galenascale.errors import DecodeError
from galenascale.gateway.jobs.partitions import JOBS_TOPIC
from galenascale.store import STORE_ERRORS

GROUP = "job-stewards"
# Lease of a member, and the seconds between two renewals: a host that is gone
# is replaced after the lease, and three renewals may fail before it ends.
LEASE_S = 3.0
RENEWAL_S = 1.0


class GroupMembership:
    """
    Membership in the group to whose members the store deals the partitions.

    The deal only says who looks for abandoned jobs. Claims in the log decide
    who runs a job, so that a deal which is out of date does no harm.
    """

    def __init__(self, parts, link):
        self._parts = parts
        self._link = link
        self._generation = 0
        self.partitions = frozenset()

    async def run(self):
        """Renew the membership until cancelled."""
        while True:
            await self._renew()
            await self._parts.clock.sleep(RENEWAL_S)

    async def _renew(self):
        parts = self._parts
        lease_s = max(LEASE_S, parts.settings.store.min_lease_ms / 1000)
        try:
            membership = await parts.store.join(
                GROUP, parts.settings.host_id, [JOBS_TOPIC], lease_s, self._generation
            )
        except (DecodeError, *STORE_ERRORS) as error:
            # The partitions stay watched: without the store no one else can
            # claim a job either.
            self._link.failed(error)
            return
        self._link.answered()
        self._generation = membership.generation
        partitions = frozenset(membership.partitions)
        if partitions != self.partitions:
            parts.log.write(
                "partitions_dealt",
                generation=membership.generation,
                partitions=sorted(partitions),
            )
        self.partitions = partitions

    async def leave(self):
        """Give the partitions to the other members."""
        try:
            await self._parts.store.leave(GROUP, self._parts.settings.host_id)
        except STORE_ERRORS as error:
            # The lease ends by itself.
            self._link.failed(error)
