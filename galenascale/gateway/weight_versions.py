"""
Versions of the weights of backend servers, as their answers name them.

A server does not run a request that expects other weights. What is known of a
server lapses, as its weights may change: one request tries again then.
"""

import collections

import attrs

from galenascale.whole_numbers import parse_whole_number

# Seconds for which an answer tells of the weights of its server.
MAX_AGE_S = 5.0
# Most servers that are known, and most refused versions of each.
MAX_KNOWN = 1 << 13
MAX_REFUSED = 16


@attrs.frozen
class _Known:
    """What the last answer of a server said of its weights."""

    # None if it did not say.
    version: int | None
    # Versions that the server refused; a few at most.
    refused: frozenset = frozenset()
    # Monotonic time in seconds.
    said_at: float = 0.0


class WeightVersions:
    """The weights of all servers that answered this host."""

    def __init__(self):
        self._known_by_incarnation = collections.OrderedDict()

    def observe(self, incarnation, head, request, now):
        """Record what a ResponseHead says of a server's weights."""
        expected = request.expected_version
        if head.weights_version is None and expected is None:
            return
        known = self._known_by_incarnation.get(incarnation)
        refused = frozenset() if known is None else known.refused
        if head.misdirected and expected is not None:
            refused = _add(refused, expected, MAX_REFUSED)
        else:
            refused -= {expected}
        if known is not None and known.version != head.weights_version:
            # The weights changed.
            refused &= {expected}
        self._set(incarnation, _Known(head.weights_version, refused, now))

    def _set(self, incarnation, known):
        self._known_by_incarnation[incarnation] = known
        self._known_by_incarnation.move_to_end(incarnation)
        if len(self._known_by_incarnation) > MAX_KNOWN:
            self._known_by_incarnation.popitem(last=False)

    def record_send(self, incarnation, expected, now):
        """
        Record that a request was sent to a server that had other weights.

        Others wait for its answer.
        """
        known = self._known_by_incarnation.get(incarnation)
        if expected is not None and known is not None and _differs(known, expected):
            self._set(incarnation, attrs.evolve(known, said_at=now))

    def excludes(self, incarnation, expected, now):
        """Return True if a server has other weights than a request expects."""
        return (
            expected is not None
            and self.retry_after_s(incarnation, expected, now) > 0.0
        )

    def retry_after_s(self, incarnation, expected, now):
        """Return the seconds until a request may try a server, 0.0 for now."""
        known = self._known_by_incarnation.get(incarnation)
        if known is None or not _differs(known, expected):
            return 0.0
        return max(0.0, known.said_at + MAX_AGE_S - now)

    def remove(self, incarnation):
        """Forget a run of a server that ended."""
        self._known_by_incarnation.pop(incarnation, None)


def _differs(known, expected):
    if expected in known.refused:
        return True
    # Only the server knows what it takes a text that is no number for.
    number = parse_whole_number(expected)
    return None not in (number, known.version) and number != known.version


def _add(refused, expected, most):
    """Return refused versions with one more, and at most so many."""
    kept = list(refused - {expected})[: most - 1]
    return frozenset((*kept, expected))
