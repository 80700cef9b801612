"""What becomes of an item after a run, or without one."""

from galenascale.gateway.jobs.item_runs import (
    FAILED_BACKOFF_S,
    REFUSED_BACKOFF_S,
    give_up_reason,
)
from galenascale.generated.gateway_messages import ItemState

# Runs without a whole event that break off before an item waits until it may
# be given up: it probably ends each server that runs it.
MAX_BROKEN_RUNS = 6


class RunResultHandler:
    """Ends items, or lets them wait for another run."""

    def __init__(self, parts, recorder):
        self._parts = parts
        self._recorder = recorder

    def give_up_if_expired(self, item, route):
        """Give an item up whose time is over or whose route is gone."""
        if item.task is not None:
            return False
        reason = give_up_reason(
            item.state.job,
            route,
            self._parts.configuration.version,
            self._parts.clock.wall_ms(),
        )
        if reason is None:
            return False
        self.finish(item, ItemState.GIVEN_UP, reason)
        return True

    def handle(self, item, server, route, result):
        """Let an item go on, wait or end by how its run ended."""
        parts = self._parts
        now = parts.clock.monotonic()
        parts.metrics.items.labels(result.outcome).inc()
        parts.log.write(
            "item_run",
            job=item.state.job_id,
            index=item.index,
            request=item.state.job.items[item.index].item_id,
            server=server.server_id,
            outcome=result.outcome,
            reason=result.reason,
            events=item.events,
            config=parts.configuration.version,
        )
        if result.outcome == "completed":
            self.finish(item, ItemState.COMPLETED, "", item.text())
        elif result.outcome == "cannot_be_done":
            self.finish(item, ItemState.GIVEN_UP, "cannot be done")
        elif result.outcome == "failed":
            item.failures += 1
            if item.failures >= route.attempts:
                self.finish(item, ItemState.GIVEN_UP, "failed too often")
            item.back_off(now, FAILED_BACKOFF_S, item.failures)
        elif result.outcome in ("refused", "silent"):
            item.back_off(now, REFUSED_BACKOFF_S, 1)
        else:
            item.broken_runs += 1
            item.back_off(now, FAILED_BACKOFF_S, item.broken_runs)
            if item.broken_runs >= MAX_BROKEN_RUNS:
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
