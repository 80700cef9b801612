"""Attempt limits and backoff of one request, and the errors that end it."""

import attrs

from galenascale.errors import Execution, GalenascaleError

# Maximum number of attempts that servers refuse without running the request. A
# request refused that often will not find a free slot in its remaining time.
MAX_REFUSALS = 12
# Backoff in seconds before a request is sent again to servers that refused it;
# doubles up to the maximum.
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.16
# Remaining seconds below which a request is no longer sent.
MIN_REMAINING_S = 0.005


class RequestFailed(GalenascaleError):
    """A request that cannot be served; `retry_after_s` may be None."""

    def __init__(self, message, *, http_status, retry_after_s=None, **kwargs):
        super().__init__(message, **kwargs)
        self.http_status = http_status
        self.retry_after_s = retry_after_s


def not_run_error(message, *, code, retry_after_s=None, http_status=503):
    """Return the error for a request that certainly did not run."""
    return RequestFailed(
        message,
        code=code,
        http_status=http_status,
        retry_after_s=retry_after_s,
        execution=Execution.NOT_RUN,
    )


def may_have_run_error(message, *, code, http_status=502):
    """Return the error for a request that may have run."""
    return RequestFailed(
        message,
        code=code,
        http_status=http_status,
        execution=Execution.MAY_HAVE_RUN,
    )


@attrs.define
class AttemptPlan:
    """The attempts of one request so far, and which may follow."""

    route: object
    # Monotonic times in seconds.
    arrived_at: float
    deadline: float
    # Attempts that may have run.
    runs: int = 0
    # Of these, runs exempt from the attempt limit; see record_server_loss().
    lost_runs: int = 0
    # Attempts that servers refused without running the request.
    refusals: int = 0
    # The next backoff in seconds.
    backoff_s: float = INITIAL_BACKOFF_S
    # Server incarnations that may have run the request; not tried again.
    tried: set = attrs.field(factory=set)
    # Whether a response was incomplete or a server unreachable.
    had_connection_failure: bool = False
    # Server incarnations that are skipped until the next backoff.
    refused: set = attrs.field(factory=set)
    # Server incarnations that have other weights than the request expects.
    other_weights: frozenset = frozenset()

    def remaining_s(self, now):
        """Return the seconds until the deadline."""
        return self.deadline - now

    def may_run(self):
        """Return True if one more run of the request is allowed."""
        if self.runs == 0:
            return True
        counted = self.runs - self.lost_runs
        return self.route.repeatable and counted < self.route.max_attempts

    def excludes(self, incarnation):
        """Return True if the request must not be sent to a server now."""
        return (
            incarnation in self.tried
            or incarnation in self.refused
            or incarnation in self.other_weights
        )

    def record_send(self, incarnation):
        """Record an attempt that the server may run."""
        self.runs += 1
        self.tried.add(incarnation)

    def record_refusal(self, incarnation):
        """Record that the server refused the last attempt without running."""
        self.runs -= 1
        self.tried.discard(incarnation)
        self.refused.add(incarnation)
        self.refusals += 1

    def record_unreachable(self, incarnation):
        """Record a server to which the request could not be sent."""
        self.refused.add(incarnation)
        self.had_connection_failure = True

    def record_limited(self, incarnation):
        """Record a server whose limit allows no request now."""
        self.refused.add(incarnation)

    def record_server_loss(self):
        """
        Record that a server crashed or became unreachable during a run.

        Only one such run is exempt from the attempt limit, because the request
        itself may be crashing the servers.
        """
        self.lost_runs = 1

    def next_backoff_s(self, now):
        """
        Return the seconds to wait before retrying servers that refused.

        Return None if there is no such server, after MAX_REFUSALS, or if the
        request would miss its latency objective; it is then refused.
        """
        in_time = self.arrived_at + self.route.objective_s > now + self.backoff_s
        if self.refusals >= MAX_REFUSALS or not in_time or not self.refused:
            return None
        backoff_s = self.backoff_s
        self.backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
        self.refused.clear()
        return backoff_s

    def make_version_error(self, retry_after_s):
        """Return the error while no server has the expected weights."""
        reason = "no backend server has the expected version of the weights"
        if self.runs:
            return may_have_run_error(reason, code="may_have_run")
        return not_run_error(
            reason,
            code="version_not_served",
            http_status=421,
            retry_after_s=retry_after_s,
        )

    def make_error(self, reason, now, retry_after_s=None):
        """Return the final error, which states if the request may have run."""
        if self.runs:
            status = 504 if self.remaining_s(now) <= 0 else 502
            return may_have_run_error(reason, code="may_have_run", http_status=status)
        return not_run_error(reason, code="no_server", retry_after_s=retry_after_s)
