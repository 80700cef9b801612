"""How many items run at which backend server, and which of them.

Engines admit requests as they come, so batch must leave the slots free that
online requests are about to need, and gives slots back when online load rises.
Hosts see each other's requests late. So each free slot has one host that may
fill it, and each slot that is given back one host that does, by hashing over
what all hosts are told: hosts that decide at the same moment do not start or
interrupt twice.
"""

import attrs

from galenascale.hashing import HashRing, rendezvous_rank

# Slots of each server that batch leaves free for online requests, which arrive
# before the load of the last tenth of a second is known.
RESERVED_SLOTS = 1
# Seconds after a start at a server for which this host starts no other there:
# until then the others' starts are not yet known.
SETTLE_S = 0.2
# Seconds after an interruption for which this host starts no item there: a run
# of less time costs the engine more than it gains, as it reads all again.
INTERRUPT_SETTLE_S = 0.5
# Milliseconds and events of a whole run before one was seen, and the weight of
# the newest one in the means.
FIRST_RUN_MS = 5000
FIRST_EVENTS = 200
RUN_WEIGHT = 0.1
# The rest of an output whose end is not known.
MAX_PROGRESS = 0.95


@attrs.frozen
class ServerLoad:
    """Known load of a server that may run items."""

    server: object
    online: int
    # Items there by the host that runs them.
    batch_by_host: dict
    paused: bool = False
    # This host started an item there a moment ago.
    settling: bool = False

    @property
    def batch(self):
        """Return the items of all hosts."""
        return sum(self.batch_by_host.values())


def plan_starts(loads, host_id, hosts_with_items):
    """
    Return the servers on which this host starts items now, one for each.

    Servers with the most free slots come first.
    """
    starts = []
    ring = HashRing.of(hosts_with_items)
    for load in loads:
        if load.paused or load.settling:
            continue
        batch_slots = load.server.slots - RESERVED_SLOTS - load.online
        for unit in range(load.batch, batch_slots):
            if ring.owner(load.server.server_id, unit) == host_id:
                starts.append((batch_slots - unit, load.server))
    starts.sort(key=lambda start: start[0], reverse=True)
    return [server for _, server in starts]


def plan_interrupts(load, host_id):
    """
    Return how many of this host's items a server should give up.

    Slots above the server's are given back; the reserve is kept only by not
    starting.
    """
    excess = min(load.online + load.batch - load.server.slots, load.batch)
    if excess <= 0:
        return 0
    for host in rendezvous_rank(load.server.server_id, load.batch_by_host):
        if excess <= 0:
            return 0
        given_back = min(excess, load.batch_by_host[host])
        if host == host_id:
            return given_back
        excess -= given_back
    return 0


class RunEstimate:
    """Mean length of whole runs, from those that were completed."""

    def __init__(self):
        self._run_ms = FIRST_RUN_MS
        self._events = FIRST_EVENTS

    def completed(self, run_ms, events):
        """Note a run from the first event to the last."""
        self._run_ms += RUN_WEIGHT * (run_ms - self._run_ms)
        self._events += RUN_WEIGHT * (events - self._events)

    def left_ms(self, item):
        """Return the milliseconds of a run that an item probably needs."""
        return self._run_ms * (1 - self.progress(item))

    def progress(self, item):
        """Return the share of the output that was read, below 1."""
        return min(MAX_PROGRESS, len(item.texts) / self._events)


def start_order(item, now_ms, estimate):
    """
    Return the sort key of an item that waits.

    Items that can still be finished in time come before those that cannot;
    among them those that have begun, then those that are due first.
    """
    slack_ms = item.due_at_ms - now_ms - estimate.left_ms(item)
    return (slack_ms < 0, -estimate.progress(item), item.due_at_ms)


def interrupt_order(item, now_ms, estimate):
    """
    Return the sort key of a running item; the first is interrupted.

    Items that are late anyway come first, then those with the most time.
    """
    slack_ms = item.due_at_ms - now_ms - estimate.left_ms(item)
    return (slack_ms >= 0, -slack_ms)
