"""What a pool is told and what it decides, for its owner to pass on."""

import attrs

from galenascale.gateway.slots.wait_queue import SlotRequest


@attrs.frozen
class PoolServer:
    """A backend server of the pool that may get requests."""

    key: int
    slots: int
    # 0 to 1, from its successes.
    quality: float = 1.0
    # Requests there that other sources tell of.
    reported_runs: int = 0


@attrs.define
class FreeSlots:
    """What a pool tells other pools of its slots."""

    # Slots for requests and, of these, for items.
    free: int
    free_for_batch: int
    # Slots of items that would make room.
    preemptible: int
    # Monotonic time in seconds at which it was told.
    received_at: float = 0.0


@attrs.frozen
class Grant:
    """An ask gets a slot of a server."""

    request: SlotRequest
    server_key: int


@attrs.frozen
class Queued:
    """An ask waits."""

    request: SlotRequest
    # Forecast in seconds.
    wait_s: float


@attrs.frozen
class Refused:
    """An ask is turned down, as it would wait for too long."""

    request: SlotRequest
    # Forecast in seconds.
    wait_s: float


@attrs.frozen
class Pressure:
    """How full a pool is in which something waits."""

    slots: int
    online: int
    batch: int
    waiting_online: int
    waiting_batch: int


@attrs.frozen
class Forwarded:
    """Another pool is to decide on an ask."""

    request: SlotRequest
    pool_key: int


@attrs.frozen
class Preempted:
    """A running item is to make room for a request."""

    host: str
    number: int
