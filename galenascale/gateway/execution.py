"""What a status tells a caller about the run of its request.

Some statuses promise that a request has not run and never will. Only a server
that states so, or the gateway if it knows, may give this promise.
"""

from galenascale.errors import Execution

# Timeout, misdirected request, too many requests, service unavailable.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Promises nothing.
BAD_GATEWAY = 502


def is_failure(head):
    """
    Return True if a ResponseHead reports a failure of its server.

    Besides errors these are statuses with which the caller would be promised
    that its request did not run, although the server does not state it.
    """
    return head.status >= 500 or is_unfounded_promise(head)


def is_unfounded_promise(head):
    """Return True if a ResponseHead must not be passed on to a caller."""
    return head.status in NOT_RUN_STATUSES and not head.not_run


def caller_status(error):
    """Return the HTTP status with which a caller gets a GalenascaleError."""
    may_have_run = error.execution is not Execution.NOT_RUN
    if may_have_run and error.http_status in NOT_RUN_STATUSES:
        return BAD_GATEWAY
    return error.http_status
