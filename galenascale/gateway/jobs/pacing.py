"""How many items run at which backend server.

Engines admit requests as they come, so batch must leave the slots free that
online requests are about to need, and gives slots back when online load rises.
Hosts see each other's requests late; what one of them starts or interrupts is
limited, so that hosts that decide at the same moment do not overshoot.
"""

import math

import attrs

# Slots of each server that batch leaves free for online requests, which arrive
# before the load of the last tenth of a second is known.
RESERVED_SLOTS = 1
# Share of the free slots that one host fills at a time.
START_SHARE = 0.5


@attrs.frozen
class ServerLoad:
    """Known load of a server that may run items."""

    server: object
    online: int
    batch: int
    # Part of `batch` that this host runs.
    own_batch: int
    paused: bool = False

    @property
    def free(self):
        """Return the slots left for batch; negative if it took too many."""
        return self.server.slots - RESERVED_SLOTS - self.online - self.batch


def plan_starts(loads, waiting):
    """Return the servers on which to start items now, one for each item."""
    free_by_server = {item.server: item.free for item in loads if not item.paused}
    total = sum(max(0, free) for free in free_by_server.values())
    count = min(waiting, math.ceil(total * START_SHARE))
    starts = []
    for _ in range(count):
        server = max(free_by_server, key=free_by_server.get)
        if free_by_server[server] <= 0:
            break
        free_by_server[server] -= 1
        starts.append(server)
    return starts


def plan_interrupts(load, rng):
    """
    Return how many of this host's items a server should give up.

    Slots above the server's are given back; the reserve is kept only by not
    starting. Each host takes its share of the excess, rounded at random.
    """
    excess = load.online + load.batch - load.server.slots
    if excess <= 0 or load.own_batch == 0:
        return 0
    share = min(excess, load.batch) * load.own_batch / load.batch
    whole = math.floor(share)
    return min(load.own_batch, whole + (rng.random() < share - whole))
