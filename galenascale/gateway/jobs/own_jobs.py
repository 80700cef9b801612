"""The open jobs that a host runs, and which of them it opens next."""

from galenascale.gateway.jobs.partitions import RETRY_INTERVAL_S
from galenascale.store import STORE_ERRORS

# Open items from which on no further jobs are opened.
MAX_OPEN_ITEMS = 4000


class OwnJobs:
    """
    Finds the open jobs of this host, and loads their items.

    `on_loaded` is called once the items of a job were loaded.
    """

    def __init__(self, context, partitions, loader, started_ms, on_loaded):
        self._context = context
        self._partitions = partitions
        self._loader = loader
        self._started_ms = started_ms
        self._on_loaded = on_loaded
        # Ids of all of them, and of those that are being loaded.
        self.ids = set()
        self._loading = set()

    def clear(self):
        """Forget the loads, which ended with their task group."""
        self._loading.clear()

    def find(self, numbers):
        """Return the JobStates of open own jobs in partitions, by number."""
        host_id = self._context.settings.host_id
        jobs = [
            state
            for number in numbers
            for state in self._partitions.get(number).state.jobs_by_id.values()
            if state.is_open and state.is_run_by(host_id, self._started_ms)
        ]
        self.ids = {state.job_id for state in jobs}
        return jobs

    def load(self, group, state):
        """Load the items of a job in a task group, unless that is done."""
        if state.job_id not in self._loading:
            self._loading.add(state.job_id)
            group.create_task(self._load(state))

    async def _load(self, state):
        try:
            await self._loader.items(state)
        except STORE_ERRORS:
            # The next round tries again; the loss of the store is logged.
            await self._context.clock.sleep(RETRY_INTERVAL_S)
        finally:
            self._loading.discard(state.job_id)
        self._on_loaded()


def choose_jobs(own_jobs, opened_ids):
    """
    Return the JobStates of which items may run now, at least one.

    Each scheduling round looks at all open items, so further jobs wait until
    those that are open have fewer. Those that are due first come first.
    """
    jobs = [state for state in own_jobs if state.job_id in opened_ids]
    waiting = [state for state in own_jobs if state.job_id not in opened_ids]
    waiting.sort(key=lambda state: state.job.accepted_ms + state.job.due_ms)
    count = sum(state.open_count for state in jobs)
    for state in waiting:
        if jobs and count >= MAX_OPEN_ITEMS:
            break
        jobs.append(state)
        count += state.open_count
    return jobs
