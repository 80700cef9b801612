"""Output of unfinished items in the store, for the host that goes on."""

from galenascale.store import STORE_ERRORS

# Seconds between two records of what runs. A lost host costs its items as much
# work at most.
INTERVAL_S = 2.0
# Events that are worth a record.
MIN_EVENTS = 10


def by_job(items, min_events=1):
    """Return the items with so many unrecorded events, by job."""
    items_by_job = {}
    for item in items:
        if not item.finished and item.unrecorded_events >= min_events:
            items_by_job.setdefault(item.state.job_id, []).append(item)
    return items_by_job


class ProgressKeeper:
    """Records the output of a host's items as it grows."""

    def __init__(self, parts, recorder, items):
        self._parts = parts
        self._recorder = recorder
        # Function that returns the open items.
        self._items = items

    async def run(self):
        """Record until cancelled."""
        while True:
            await self._parts.clock.sleep(INTERVAL_S)
            for job_id, items in by_job(self._items(), MIN_EVENTS).items():
                try:
                    await self._recorder.record_progress(job_id, items)
                except STORE_ERRORS:
                    # The loss of the store has been logged; next time again.
                    break

    async def hand_over(self, items):
        """Record all that is known of items; raise as the store does."""
        await self._recorder.flush()
        for job_id, unfinished in by_job(items).items():
            await self._recorder.record_progress(job_id, unfinished)
