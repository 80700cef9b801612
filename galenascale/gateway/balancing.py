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


@attrs.frozen
class Candidate:
    """A backend server that may get the request, with what is known of it."""

    server: object
    # Requests of all hosts at the server.
    online: int
    batch: int = 0
    # 0 to 1, from its successes.
    quality: float = 1.0
    paused: bool = False
    same_domain: bool = False

    @property
    def free_slots(self):
        """Return the slots without a known request; at least 0."""
        return max(0, self.server.slots - self.online - self.batch)

    @property
    def slots_for_online(self):
        """Return the slots without a known online request; at least 0."""
        return max(0, self.server.slots - self.online)


# Weight of a server for each request more in its queue than in the shortest:
# hosts that choose at the same moment do not all choose that one.
QUEUE_WEIGHT = 0.4
# Preference for the own failure domain once a send broke off: links between
# domains fail for all servers behind them at once.
RETRY_DOMAIN_WEIGHT = 30.0


def choose(candidates, rng, *, retry=False):
    """
    Return the candidate for the next request, or None without candidates.

    Hosts see each other's requests late, so the choice is random, weighted by
    the square of the free slots: hosts that choose at the same moment spread
    out. Slots of batch count a little, so that a burst does not fall on the
    one server with a free slot. Without any slot short queues are preferred.
    """
    usable = [item for item in candidates if not item.paused] or list(candidates)
    if not usable:
        return None
    if any(item.slots_for_online for item in usable):
        domain_weight = RETRY_DOMAIN_WEIGHT if retry else OWN_DOMAIN_WEIGHT
        weights = [_weight(item, domain_weight) for item in usable]
        return rng.choices(usable, weights)[0]
    shortest = min(map(_queue, usable))
    weights = [QUEUE_WEIGHT ** (_queue(item) - shortest) for item in usable]
    return rng.choices(usable, weights)[0]


def _weight(item, domain_weight):
    slots = item.free_slots**2 + BATCH_SLOT_WEIGHT * item.slots_for_online**2
    weight = max(MIN_WEIGHT, slots) * item.quality
    return weight * domain_weight if item.same_domain else weight


def _queue(item):
    return (item.online + 1 - item.server.slots) / item.quality
