"""Load balancing of online requests over backend servers."""

import attrs

# Factor on the weight of servers in the host's own failure domain, which are
# preferred to servers that are as free.
OWN_DOMAIN_WEIGHT = 1.3
# Weight of slots occupied by batch items relative to free slots. Batch items
# yield their slots within some milliseconds.
BATCH_SLOT_WEIGHT = 0.1
# Minimum weight, for servers without a slot for online requests, so that
# requests are spread while all servers are full.
MIN_WEIGHT = 0.01
# Factor on the weight of a server for each request by which its queue exceeds
# the shortest. The shortest queue is not chosen outright, because hosts that
# choose at the same time would all choose it.
QUEUE_LENGTH_DECAY = 0.4
# Factor for the host's own failure domain after a connection failure. A failed
# link between domains affects all servers behind it at once.
RETRY_DOMAIN_WEIGHT = 30.0
# Minimum quality at which this host's own slots on a server are preferred.
# Servers of lower quality get requests by their weight among all servers.
MIN_OWN_SLOT_QUALITY = 0.7


@attrs.frozen
class Candidate:
    """A backend server that may be chosen, with its load and health."""

    server: object
    # In-flight online requests and batch items of all hosts at the server.
    online: int
    batch: int = 0
    # In-flight online requests of this host, and the slots assigned to it.
    local_online: int = 0
    own_slots: int = 0
    # From 0 to 1, from its recent success rate.
    quality: float = 1.0
    unreachable: bool = False
    same_domain: bool = False

    @property
    def free_slots(self):
        """Return the slots without an online request or batch item."""
        return max(0, self.server.slots - self.online - self.batch)

    @property
    def slots_for_online(self):
        """Return the slots without an online request; batch items yield."""
        return max(0, self.server.slots - self.online)

    @property
    def free_own_slots(self):
        """Return the slots of this host that it does not use."""
        return max(0, self.own_slots - self.local_online)


def choose_candidate(candidates, rng, *, retry=False, load_is_stale=False):
    """
    Return the candidate for the next request, or None without candidates.

    Hosts learn of each other's requests with a delay, so a host fills its own
    slots first. After that the choice is random, weighted by the square of
    the free slots, which spreads requests of hosts that choose at the same
    time. Slots occupied by batch get a small weight, so that a burst does not
    hit the only server with a free slot. Without any slot for online
    requests, servers with short queues are preferred.

    `load_is_stale` means that the reported load of other hosts is older than
    most requests last: a server that was free then has since been filled by
    the other hosts. Their online load is then ignored. Their batch load is
    still used, because batch runs last longer.
    """
    usable = [item for item in candidates if not item.unreachable] or list(candidates)
    if not usable:
        return None
    own = [item for item in usable if _has_own_slot(item, load_is_stale)]
    if own and not retry:
        return rng.choices(own, [_own_slot_weight(item) for item in own])[0]
    if load_is_stale and not retry:
        return _choose_by_local_load(usable, rng)
    if any(item.slots_for_online for item in usable):
        domain_weight = RETRY_DOMAIN_WEIGHT if retry else OWN_DOMAIN_WEIGHT
        weights = [_weight(item, domain_weight) for item in usable]
        return rng.choices(usable, weights)[0]
    shortest = min(map(_queue_length, usable))
    weights = [
        QUEUE_LENGTH_DECAY ** (_queue_length(item) - shortest) for item in usable
    ]
    return rng.choices(usable, weights)[0]


def _has_own_slot(item, load_is_stale):
    if not item.free_own_slots or item.quality < MIN_OWN_SLOT_QUALITY:
        return False
    return load_is_stale or item.free_slots > 0


def _own_slot_weight(item):
    return item.free_own_slots * item.quality * _batch_weight(item)


def _choose_by_local_load(usable, rng):
    """Return one of the servers with the fewest requests of this host."""
    least = min(item.local_online for item in usable)
    chosen = [item for item in usable if item.local_online == least]
    weights = [item.quality * _batch_weight(item) for item in chosen]
    return rng.choices(chosen, weights)[0]


def _batch_weight(item):
    has_free_slot = item.batch < item.server.slots
    return 1.0 if has_free_slot else BATCH_SLOT_WEIGHT


def _weight(item, domain_weight):
    slots = item.free_slots**2 + BATCH_SLOT_WEIGHT * item.slots_for_online**2
    weight = max(MIN_WEIGHT, slots) * item.quality
    return weight * domain_weight if item.same_domain else weight


def _queue_length(item):
    return (item.online + 1 - item.server.slots) / item.quality
