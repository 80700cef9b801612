"""
What an answer says of the request, and what of the server that gave it.

Nothing that a caller puts into a request may put a server out of use for
others. An answer counts against a server only if the request did not bring it
about.
"""

import enum

from galenascale.generated.gateway_messages import SlotOutcome

# Too many requests, service unavailable.
STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503


class Meaning(enum.Enum):
    """What an answer says."""

    # The server ran the request, whatever came of it.
    RAN = "ran"
    # Of the server: it has no room for a request.
    FULL = "full"
    # Of the server: another one has its address.
    OTHER_SERVER = "other_server"
    # Of the request: it expects other weights than the server has.
    OTHER_WEIGHTS = "other_weights"
    # Of the request: the server does not run such a one.
    REJECTED = "rejected"

    @property
    def is_of_request(self):
        """Return True if it says nothing against the server."""
        return self in (Meaning.OTHER_WEIGHTS, Meaning.REJECTED)


def find_meaning(head, request):
    """Return the Meaning of a ResponseHead for the CallerRequest."""
    if head.misdirected:
        # An expected version may be the reason, whatever else is.
        expects = request.expected_version is not None
        return Meaning.OTHER_WEIGHTS if expects else Meaning.OTHER_SERVER
    if not head.not_run:
        return Meaning.RAN
    if head.status in (STATUS_TOO_MANY, STATUS_UNAVAILABLE):
        return Meaning.FULL
    return Meaning.REJECTED


def refusal_outcome(meaning):
    """Return the SlotOutcome of a run that a server refused."""
    if meaning is Meaning.OTHER_SERVER:
        return SlotOutcome.GONE
    if meaning.is_of_request:
        return SlotOutcome.UNUSED
    return SlotOutcome.REFUSED
