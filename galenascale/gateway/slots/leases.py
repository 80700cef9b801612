"""The slots that a host holds and its pending requests for slots."""

import asyncio

import attrs

from galenascale.gateway.polling_timeout import polling_timeout
from galenascale.gateway.slots.wait_queue import SlotRequest

# Seconds between two messages to the owner that renew a pending request: for
# online requests, and for batch items and held slots. An owner drops whatever
# was not renewed within the lease time.
ONLINE_RENEWAL_INTERVAL_S = 0.1
RENEWAL_INTERVAL_S = 0.7
# Seconds after a grant in which a request goes to a server that named a limit;
# later it would count in a window in which others were granted.
PACED_GRANT_TTL_S = 0.5


class SlotRefused(Exception):  # noqa: N818
    """
    The owner refused, as it forecasts a wait of `wait_s` seconds.

    `limited` says that the limits of all servers are the reason, and
    `beyond_share` that the tenant uses more than its share of the slots.
    """

    def __init__(self, wait_s, limited=False, beyond_share=False):
        cause = " as all servers named limits" if limited else ""
        if beyond_share:
            cause += " as the tenant uses more than its share"
        super().__init__(f"wait of {wait_s:.3f} s for a slot{cause}")
        self.wait_s = wait_s
        self.limited = limited
        self.beyond_share = beyond_share


@attrs.define(eq=False)
class Lease:
    """A slot that this host holds until it releases the lease."""

    number: int
    pool: object
    server_key: int
    batch: bool
    # Monotonic times in seconds: the latest start that is in time, and the
    # owner's last message about the slot.
    start_by: float
    confirmed_at: float
    # Key of the tenant; 0 if there are no tenants.
    tenant: int = 0
    # Tokens of an engine's memory that the run may need; 0 if unknown.
    memory_tokens: int = 0
    # Address of the host that counts the slot as used; None if unknown.
    owner: str | None = None
    # Monotonic time in seconds at which the grant that the owner counted
    # against the limit of the server arrived; None if it counted none.
    paced_at: float | None = None
    # Called with the lease if the owner needs the slot for an online request.
    on_preempt: object = None


@attrs.define(eq=False)
class PendingRequest:
    """A slot request that was sent and has neither a slot nor a refusal."""

    request: SlotRequest
    # The pool that was requested, or the one whose owner answered since, and
    # the address of its owner.
    pool: object
    owner: str
    # Monotonic times in seconds of the last message from an owner and of the
    # last one to it.
    confirmed_at: float
    sent_at: float
    # Called with the Lease, a SlotRefused, or None if no owner decides.
    on_result: object
    answered: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def interval_s(self):
        """Return the seconds between two messages that renew the request."""
        return RENEWAL_INTERVAL_S if self.request.batch else ONLINE_RENEWAL_INTERVAL_S

    async def wait_for_answer(self, timeout_s):
        """Return True if an owner answers within `timeout_s` seconds."""
        try:
            async with polling_timeout(timeout_s):
                await self.answered.wait()
        except TimeoutError:
            return False
        return True


def is_paced(lease, now):
    """Return True while a lease allows a send to a server with a limit."""
    if lease is None or lease.paced_at is None:
        return False
    return now - lease.paced_at <= PACED_GRANT_TTL_S
