"""What a host asks of the owners of pools, and what it holds."""

import asyncio

import attrs

from galenascale.gateway.slots.wait_queue import SlotRequest

# Seconds between two messages that name what this host waits for: requests,
# and items and held slots. An owner forgets what was not named in its lease.
ONLINE_RENEWAL_INTERVAL_S = 0.1
RENEWAL_INTERVAL_S = 0.7


class SlotRefused(Exception):  # noqa: N818
    """The owner forecasts a wait of `wait_s` seconds, too long to allow."""

    def __init__(self, wait_s):
        super().__init__(f"wait of {wait_s:.3f} s for a slot")
        self.wait_s = wait_s


@attrs.define(eq=False)
class Lease:
    """A slot that this host holds until it releases it."""

    number: int
    pool: object
    server_key: int
    batch: bool
    start_by: float
    confirmed_at: float
    # Address that counts it; None if that is not known.
    owner: str | None = None
    # Called if the owner wants the slot back for a request.
    on_preempt: object = None


@attrs.define(eq=False)
class PendingRequest:
    """An ask that has no slot yet."""

    request: SlotRequest
    # The pool that was asked last, or whose owner answered, and its address.
    pool: object
    owner: str
    confirmed_at: float
    sent_at: float
    # Called with the Lease, a SlotRefused, or None if no owner can say.
    on_result: object
    answered: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def interval_s(self):
        """Return the seconds between two messages about the ask."""
        return RENEWAL_INTERVAL_S if self.request.batch else ONLINE_RENEWAL_INTERVAL_S

    async def wait_for_answer(self, timeout_s):
        """Return True if an owner answers in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.answered.wait()
        except TimeoutError:
            return False
        return True
