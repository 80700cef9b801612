"""Decides whether an item is finished, runs again or waits after a run."""

from galenascale.gateway.jobs.item_runs import give_up_reason
from galenascale.gateway.jobs.open_items import FAILED_BACKOFF_S, REFUSED_BACKOFF_S
from galenascale.generated.gateway_messages import ItemState


class RunResultHandler:
    """Finishes items, or schedules another run of them."""

    def __init__(self, context, recorder):
        self._context = context
        self._recorder = recorder

    def give_up_if_expired(self, item, route):
        """
        Give an item up if it cannot be sent, has expired or lost its route.

        Return True if it was given up. A running item is never given up.
        """
        if item.task is not None:
            return False
        reason = item.defect or give_up_reason(
            item.state.job,
            route,
            self._context.configuration.version,
            self._context.clock.wall_ms(),
        )
        if reason is None:
            return False
        self.finish(item, ItemState.GIVEN_UP, reason)
        return True

    def handle(self, item, server, route, result):
        """Log a run; finish the item or delay its next run, by the result."""
        context = self._context
        now = context.clock.monotonic()
        context.metrics.items.labels(result.outcome).inc()
        context.log.write(
            "item_run",
            job=item.state.job_id,
            index=item.index,
            request=item.state.items[item.index].item_id,
            server=server.server_id,
            outcome=result.outcome,
            reason=result.reason,
            events=item.events,
            config=context.configuration.version,
        )
        if result.outcome == "completed":
            self.finish(item, ItemState.COMPLETED, "", item.text())
        elif result.outcome == "cannot_be_done":
            self.finish(item, ItemState.GIVEN_UP, "item cannot be processed")
        elif result.outcome == "failed":
            item.failures += 1
            if item.failures >= route.max_attempts:
                self.finish(item, ItemState.GIVEN_UP, "too many failed runs")
            else:
                item.back_off(now, FAILED_BACKOFF_S, item.failures)
        elif result.outcome in ("refused", "unsuitable", "silent"):
            item.back_off(now, REFUSED_BACKOFF_S, 1)
        else:
            item.broken_runs += 1
            item.back_off(now, FAILED_BACKOFF_S, item.broken_runs)

    def finish(self, item, state, reason, text=b""):
        """Queue the outcome of an item for the store, and log it."""
        job_id = item.state.job_id
        self._recorder.add(job_id, item.index, state, text)
        self._context.log.write(
            "item_finished",
            job=job_id,
            index=item.index,
            outcome=state.name.lower(),
            reason=reason,
        )
        item.finished = True
