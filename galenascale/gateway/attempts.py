"""Whether and where a request is sent next, and how it ends otherwise."""

import attrs

from galenascale.errors import Execution, GalenascaleError

# Sends of one request that servers refused without running it. A request that
# so many refuse finds no room in its time.
MAX_REFUSALS = 12
# Pause in seconds before a request is offered again to servers that refused
# it.
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.16
MIN_RETRY_AFTER_S = 0.05
# Seconds that must be left to send a request.
MIN_REMAINING_S = 0.005


class RequestFailed(GalenascaleError):
    """A request that is given up; `retry_after_s` says when to come back."""

    def __init__(self, message, *, http_status, retry_after_s=None, **kwargs):
        super().__init__(message, **kwargs)
        self.http_status = http_status
        self.retry_after_s = retry_after_s


def not_run_error(message, *, code, retry_after_s=None, http_status=503):
    """Return the end of a request that surely has not run."""
    return RequestFailed(
        message,
        code=code,
        http_status=http_status,
        retry_after_s=retry_after_s,
        execution=Execution.NOT_RUN,
    )


def may_have_run_error(message, *, code, http_status=502):
    """Return the end of a request of which it is not known whether it ran."""
    return RequestFailed(
        message,
        code=code,
        http_status=http_status,
        execution=Execution.MAY_HAVE_RUN,
    )


@attrs.define
class AttemptPlan:
    """The sends of one request so far, and what may follow."""

    route: object
    # Monotonic times in seconds.
    arrived_at: float
    deadline: float
    # Sends that may have run.
    runs: int = 0
    # Runs among these that ended with their server or its link.
    lost_runs: int = 0
    refusals: int = 0
    backoff_s: float = INITIAL_BACKOFF_S
    # Incarnations that got the request and must not get it again.
    tried: set = attrs.field(factory=set)
    # A send broke off, or a server could not be reached.
    had_connection_failure: bool = False
    # Incarnations that refused it for now.
    refused: set = attrs.field(factory=set)

    def remaining_s(self, now):
        """Return the seconds in which the request may still be served."""
        return self.deadline - now

    def may_run(self):
        """Return True if one more run of the request is allowed."""
        if self.runs == 0:
            return True
        counted = self.runs - self.lost_runs
        return self.route.repeatable and counted < self.route.attempts

    def excludes(self, incarnation):
        """Return True if a server must not get the request now."""
        return incarnation in self.tried or incarnation in self.refused

    def record_send(self, incarnation):
        """Note a send that may run."""
        self.runs += 1
        self.tried.add(incarnation)

    def record_refusal(self, incarnation):
        """Note that the last send surely did not run."""
        self.runs -= 1
        self.tried.discard(incarnation)
        self.refused.add(incarnation)
        self.refusals += 1

    def record_unreachable(self, incarnation):
        """Note a server to which nothing was sent."""
        self.refused.add(incarnation)
        self.had_connection_failure = True

    def record_server_loss(self):
        """
        Note that a server that broke off has ended or is out of reach.

        One such run does not count among the attempts. More might each be the
        work of a request that crashes the servers.
        """
        self.lost_runs = 1

    def next_backoff_s(self, now):
        """
        Return the seconds to wait before servers that refused are asked again.

        Return None if the request is refused instead: waiting is worth it only
        while the answer can still be on time.
        """
        in_time = self.arrived_at + self.route.objective_s > now + self.backoff_s
        if self.refusals >= MAX_REFUSALS or not in_time or not self.refused:
            return None
        backoff_s = self.backoff_s
        self.backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
        self.refused.clear()
        return backoff_s

    def make_error(self, reason, now, retry_after_s=None):
        """Return the error that truthfully ends the request."""
        if self.runs:
            status = 504 if self.remaining_s(now) <= 0 else 502
            return may_have_run_error(reason, code="may_have_run", http_status=status)
        return not_run_error(reason, code="no_server", retry_after_s=retry_after_s)
