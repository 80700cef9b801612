"""
Memory of a host for accepted jobs.

A host knows all jobs of the partitions that it follows. It keeps the items and
results of those that it runs, and of others while there is room; what it drops
is in the store.
"""

import collections

DEFAULT_BUDGET_BYTES = 32 << 20
# Smallest and largest budget, and its part of the memory of the machine.
MIN_BUDGET_BYTES = 8 << 20
MAX_BUDGET_BYTES = 64 << 20
MEMORY_PART = 1 / 8
MEGABYTE = 1 << 20


class JobMemory:
    """The budget of a host for the JobStates of its partitions, in bytes."""

    def __init__(self, budget_bytes, host_id="", started_ms=0):
        self._budget_bytes = budget_bytes
        self._host_id = host_id
        self._started_ms = started_ms
        # JobStates that may be unloaded, by id, longest unused first.
        self._idle_by_id = collections.OrderedDict()
        self._bytes_by_id = {}
        self._needed_by_id = {}
        self._reserved_by_id = {}
        self.held_bytes = 0
        # Those of open jobs that this host runs or is about to run.
        self.needed_bytes = 0

    @classmethod
    def from_config(cls, settings, started_ms):
        """Return the budget by the settings of a host."""
        part = int(settings.host_memory_mb * MEGABYTE * MEMORY_PART)
        if part:
            part = min(max(part, MIN_BUDGET_BYTES), MAX_BUDGET_BYTES)
        return cls(part or DEFAULT_BUDGET_BYTES, settings.host_id, started_ms)

    def has_room(self, size):
        """Return True if this host may run a further job of `size` bytes."""
        return not self.needed_bytes or self.needed_bytes + size <= self._budget_bytes

    def reserve(self, state):
        """Count a job that this host is about to run."""
        self.release(state)
        size = state.loaded_size()
        self._reserved_by_id[state.job_id] = size
        self.needed_bytes += size

    def release(self, state):
        """Stop to count a job as one that this host is about to run."""
        self.needed_bytes -= self._reserved_by_id.pop(state.job_id, 0)

    def update(self, state):
        """Count a JobState as it is now, and unload others if need be."""
        self.remove(state)
        self._count(state)
        is_own = state.is_run_by(self._host_id, self._started_ms)
        if is_own or not state.is_open:
            self.release(state)
        if is_own and state.is_open:
            self._needed_by_id[state.job_id] = self._bytes_by_id[state.job_id]
            self.needed_bytes += self._needed_by_id[state.job_id]
        elif state.is_loaded:
            self._idle_by_id[state.job_id] = state
        self._unload_idle(state)

    def _count(self, state):
        """Count the memory that a JobState takes now in place of before."""
        size = state.size()
        self.held_bytes += size - self._bytes_by_id.get(state.job_id, 0)
        self._bytes_by_id[state.job_id] = size

    def remove(self, state):
        """Stop to count a JobState."""
        self.held_bytes -= self._bytes_by_id.pop(state.job_id, 0)
        self.needed_bytes -= self._needed_by_id.pop(state.job_id, 0)
        self._idle_by_id.pop(state.job_id, None)

    def _unload_idle(self, used):
        """Unload idle JobStates beyond the budget, but not the one in use."""
        while self.held_bytes > self._budget_bytes and self._idle_by_id:
            job_id, state = next(iter(self._idle_by_id.items()))
            if state is used:
                return
            del self._idle_by_id[job_id]
            state.unload()
            self._count(state)
