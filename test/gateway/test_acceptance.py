"""Acceptance of jobs: what a failure says, and to whom."""

from galenascale.errors import Execution
from galenascale.gateway.jobs.acceptance import _JobWrite
from galenascale.store import StoreFenced, StoreUnavailable


class Quotas:
    """Records what is released."""

    def __init__(self):
        self.released = []

    def release(self, scope, job_id, tokens):
        """Record a release."""
        self.released.append((scope.name, job_id, tokens))


class Context:
    """The part of a GatewayContext that a failed write uses."""

    def __init__(self):
        self.quotas = Quotas()


class Route:
    """A route of batch jobs."""

    name = "jobs"


def test_failure_tells_an_overtaken_write_from_a_silent_store():
    """Guards operators against a store that is blamed for other writers."""
    context = Context()
    write = _JobWrite(context, None, Route(), "one")
    fenced = write.failure("j", StoreFenced("offset is 7", step="append"))
    silent = write.failure("j", StoreUnavailable("no route", step="append"))
    assert "store does not answer" not in fenced.message
    assert "store does not answer" in silent.message
    for error in (fenced, silent):
        assert (error.http_status, error.execution) == (503, Execution.NOT_RUN)
    assert context.quotas.released == [("jobs/one", "j", 0)] * 2
