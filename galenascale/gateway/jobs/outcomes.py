"""What becomes of an item after a run, or without one."""

from galenascale.gateway.jobs.item_runs import (
    FAILED_PAUSE_S,
    REFUSED_PAUSE_S,
    over_reason,
)
from galenascale.generated.gateway_messages import ItemState

# Runs without a whole event that break off before an item waits until it may
# be given up: it probably ends each server that runs it.
MAX_BROKEN_RUNS = 6


class ItemOutcomes:
    """Ends items, or lets them wait for another run."""

    def __init__(self, parts, recorder):
        self._parts = parts
        self._recorder = recorder

    def give_up_if_over(self, item, route):
        """Give an item up whose time is over or whose route is gone."""
        if item.task is not None:
            return False
        reason = over_reason(
            item.state.job,
            route,
            self._parts.configuration.version,
            self._parts.clock.wall_ms(),
        )
        if reason is None:
            return False
        self.finish(item, ItemState.GIVEN_UP, reason)
        return True

    def apply(self, item, server, route, end):
        """Let an item go on, wait or end by how its run ended."""
        parts = self._parts
        now = parts.clock.monotonic()
        parts.metrics.items.labels(end.outcome).inc()
        parts.log.write(
            "item_run",
            job=item.state.job_id,
            index=item.index,
            request=item.state.job.items[item.index].item_id,
            server=server.server_id,
            outcome=end.outcome,
            reason=end.reason,
            events=item.events,
            config=parts.configuration.version,
        )
        if end.outcome == "completed":
            self.finish(item, ItemState.COMPLETED, "", item.text())
        elif end.outcome == "cannot_be_done":
            self.finish(item, ItemState.GIVEN_UP, "cannot be done")
        elif end.outcome == "failed":
            item.failures += 1
            if item.failures >= route.attempts:
                self.finish(item, ItemState.GIVEN_UP, "failed too often")
            item.pause(now, FAILED_PAUSE_S, item.failures)
        elif end.outcome in ("refused", "silent"):
            item.pause(now, REFUSED_PAUSE_S, 1)
        else:
            item.broken += 1
            item.pause(now, FAILED_PAUSE_S, item.broken)
            if item.broken >= MAX_BROKEN_RUNS:
                item.not_before = float("inf")

    def finish(self, item, state, reason, text=b""):
        """Record and log the outcome of an item."""
        job_id = item.state.job_id
        self._recorder.add(job_id, item.index, state, text)
        self._parts.log.write(
            "item_finished",
            job=job_id,
            index=item.index,
            outcome=state.name.lower(),
            reason=reason,
        )
        item.finished = True
