"""Inputs and decisions of a slot pool; its owner sends the decisions."""

import attrs

from galenascale.gateway.slots.pace import Pace
from galenascale.gateway.slots.wait_queue import SlotRequest


@attrs.frozen
class PoolServer:
    """A backend server of the pool that may be granted."""

    key: int
    slots: int
    # Between 0 and 1, from the outcomes of its recent requests.
    quality: float = 1.0
    # Requests and items at the server, according to the hosts' load reports.
    reported_runs: int = 0
    # Pace at which this host may grant it; None unless it named a limit.
    pace: Pace | None = None
    # Tokens that its memory holds; 0 if unknown.
    memory_tokens: int = 0


@attrs.define
class FreeSlots:
    """Slots that a pool offers to the other pools of its service."""

    # Free slots for online requests, and those of them for batch items.
    free: int
    free_for_batch: int
    # Slots of items that can be preempted.
    preemptible: int
    # Forecast seconds until one more online request starts, and how many start
    # a second; the rate is 0 if unknown.
    wait_s: float = 0.0
    starts_per_s: float = attrs.field(default=0.0, eq=False)
    # Seconds that a request loses by going there.
    crossing_s: float = attrs.field(default=0.0, eq=False)
    # Monotonic time in seconds at which the report arrived.
    received_at: float = 0.0
    # Slots of the tenants that hold most of them for requests, by key. They
    # change all the time, and alone are no reason for a new report.
    slots_by_tenant: dict = attrs.field(factory=dict, eq=False)

    @property
    def total_wait_s(self):
        """Return the seconds until a request of another pool starts there."""
        return self.wait_s + self.crossing_s


@attrs.frozen
class Grant:
    """A request gets a slot of a server."""

    request: SlotRequest
    server_key: int
    # Whether the server named a limit, which the run was counted against.
    paced: bool = False
    # Whether another server had free slots that its limit kept idle.
    passed_over: bool = False


@attrs.frozen
class Queued:
    """A request waits in the queue of the pool."""

    request: SlotRequest
    # Forecast wait in seconds.
    wait_s: float
    # Whether a limit keeps free slots idle.
    limited: bool = False
    # Whether its tenant uses more than its share of the slots.
    beyond_share: bool = False


@attrs.frozen
class Refused:
    """A request is rejected, as it would wait too long."""

    request: SlotRequest
    # Forecast wait in seconds.
    wait_s: float
    # Whether all servers named limits.
    limited: bool = False
    # Whether its tenant uses more than its share of the slots.
    beyond_share: bool = False


@attrs.frozen
class Pressure:
    """Slots, runs and waiting requests of a pool with a queue."""

    slots: int
    online: int
    batch: int
    waiting_online: int
    waiting_batch: int
    # Waiting requests beyond the shares of their tenants.
    beyond_share: int
    # Key of the tenant that holds most slots for requests, and their number;
    # 0 if there are no tenants.
    largest_tenant: int
    largest_tenant_slots: int


@attrs.frozen
class Forwarded:
    """A request is passed on to another pool."""

    request: SlotRequest
    pool_key: int
    # Why: "free_slot" or "shorter_wait" there.
    reason: str


@attrs.frozen
class Preempted:
    """A running item has to free its slot for an online request."""

    host: str
    number: int


def limit_effect(decision):
    """Return how limits of servers affected a request, or None."""
    match decision:
        case Grant(passed_over=True):
            return "elsewhere"
        case Queued(limited=True):
            return "waited"
        case Refused(limited=True):
            return "refused"
    return None


def beyond_share_effect(decision):
    """Return how its tenant's share of slots affected a request, or None."""
    match decision:
        case Queued(beyond_share=True):
            return "waited"
        case Refused(beyond_share=True):
            return "refused"
    return None
