"""Choice of the backend server for an online request."""

import attrs

# Preference for servers of the own failure domain where others are as free.
OWN_DOMAIN_WEIGHT = 1.3
# Weight of the slots that only batch takes, against free ones: batch gives
# them back within some milliseconds.
BATCH_SLOT_WEIGHT = 0.1
# Weight of a server without any slot for online requests, so that requests
# spread while all servers are full.
MIN_WEIGHT = 0.01
# Weight of a server for each request more in its queue than in the shortest:
# hosts that choose at the same moment do not all choose that one.
QUEUE_LENGTH_DECAY = 0.4
# Preference for the own failure domain once a send broke off: links between
# domains fail for all servers behind them at once.
RETRY_DOMAIN_WEIGHT = 30.0
# Least quality of a server whose own slots are preferred; others get requests
# by their weight among all servers.
MIN_OWN_SLOT_QUALITY = 0.7


@attrs.frozen
class Candidate:
    """A backend server that may get the request, with what is known of it."""

    server: object
    # Requests of all hosts at the server.
    online: int
    batch: int = 0
    # Online requests of this host at the server, and its share of the slots.
    local_online: int = 0
    own_slots: int = 0
    # 0 to 1, from its successes.
    quality: float = 1.0
    unreachable: bool = False
    same_domain: bool = False

    @property
    def free_slots(self):
        """Return the slots without a known request; at least 0."""
        return max(0, self.server.slots - self.online - self.batch)

    @property
    def slots_for_online(self):
        """Return the slots without a known online request; at least 0."""
        return max(0, self.server.slots - self.online)

    @property
    def free_own_slots(self):
        """Return this host's slots that it does not use; at least 0."""
        return max(0, self.own_slots - self.local_online)


def choose_candidate(candidates, rng, *, retry=False, load_is_stale=False):
    """
    Return the candidate for the next request, or None without candidates.

    Hosts see each other's requests late. So a host fills its own slots first.
    Then the choice is random, weighted by the square of the free slots: hosts
    that choose at the same moment spread out. Slots of batch count a little,
    so that a burst does not fall on the one server with a free slot. Without
    any slot short queues are preferred.

    If what is known of the other hosts is older than most requests last, the
    server that was free then is the one that all others have filled since. It
    is left out of the choice but for batch, whose runs last longer.
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
