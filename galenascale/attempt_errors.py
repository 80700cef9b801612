"""What the end of an attempt means for its request."""

from galenascale.dispatch import contained_error, failed_error
from galenascale.errors import Execution, Refused

# Failures after which another server may serve the request.
RETRIABLE = frozenset(
    (
        "connect_failed",
        "overloaded",
        "leaving",
        "moved",
        "not_loaded",
        "stream_broken",
        "stalled",
    )
)


def final_error(error, execution):
    """Return the error for the caller, truthful about all attempts."""
    if error.code == "request_crashes_servers":
        return contained_error(Execution.FAILED)
    if error.code == "bad_request":
        return error
    details = {"code": error.code, "step": "online", "peer": error.peer}
    if execution == Execution.NOT_RUN and error.execution == Execution.NOT_RUN:
        return Refused(error.message, **details)
    execution = Execution.MAY_HAVE_RUN
    if error.code not in RETRIABLE and error.execution != Execution.NOT_RUN:
        execution = error.execution
    status = 504 if error.code == "deadline_exceeded" else 502
    return failed_error(error.message, status, execution=execution, **details)
