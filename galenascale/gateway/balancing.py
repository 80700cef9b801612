"""Choice of the backend server for a request."""

import attrs

# Preference for servers of the own failure domain where others are as free.
OWN_DOMAIN_WEIGHT = 1.3


@attrs.frozen
class Candidate:
    """A backend server that may get the request, with what is known of it."""

    server: object
    # Requests of all hosts at the server.
    in_flight: int
    # 0 to 1, from its successes.
    quality: float = 1.0
    paused: bool = False
    same_domain: bool = False

    @property
    def free_slots(self):
        """Return the slots without a known request; negative if it queues."""
        return self.server.slots - self.in_flight


def choose(candidates, rng):
    """
    Return the candidate for the next request, or None without candidates.

    Hosts see each other's requests late, so the choice among servers with free
    slots is random, weighted by the square of the free slots: hosts that
    choose at the same moment spread out. Without free slots the shortest queue
    counts.
    """
    usable = [item for item in candidates if not item.paused] or list(candidates)
    if not usable:
        return None
    free = [item for item in usable if item.free_slots > 0]
    if free:
        weights = [_weight(item) for item in free]
        return rng.choices(free, weights)[0]
    return min(usable, key=lambda item: (_queue_share(item), rng.random()))


def _weight(item):
    weight = item.free_slots**2 * item.quality
    return weight * OWN_DOMAIN_WEIGHT if item.same_domain else weight


def _queue_share(item):
    return (item.in_flight + 1) / (item.server.slots * item.quality)
