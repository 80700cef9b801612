"""
Lists of the jobs that a host runs, as its statuses tell them to other hosts.

A status must fit in a datagram, whatever the number of jobs. If there are too
many for one list, they are divided into shards by their keys, and each status
lists a random one of these. Relays drop statuses that a newer one replaces, so
shards in turn might miss the same ones each time.
"""

import attrs

# Mean number of jobs that a status lists at most, at 5 bytes each.
MAX_LISTED_JOBS = 2000
MAX_SHARDS = 1 << 12


@attrs.frozen
class JobShard:
    """Keys of the jobs of a shard, its number, and the number of shards."""

    jobs: list[int]
    number: int
    count: int


def draw_shard(keys, rng):
    """Return a random JobShard of the keys of all jobs of a host."""
    full_lists = max(0, len(keys) - 1) // MAX_LISTED_JOBS
    # A power of two changes rarely; a change starts the lists anew.
    count = min(1 << full_lists.bit_length(), MAX_SHARDS)
    if count == 1:
        return JobShard(list(keys), 0, 1)
    number = rng.randrange(count)
    return JobShard([key for key in keys if key % count == number], number, count)


@attrs.frozen
class _ListedShard:
    jobs: frozenset
    # Monotonic time in seconds.
    received_at: float


class ListedJobs:
    """The newest list of each shard of the jobs of another host."""

    def __init__(self):
        self._shard_count = 1
        self._by_shard = {}

    def update(self, status, now):
        """Apply the list of a HostStatus, unless its shard is impossible."""
        if not 0 <= status.job_shard < status.job_shards <= MAX_SHARDS:
            return
        if status.job_shards != self._shard_count:
            self._shard_count = status.job_shards
            self._by_shard.clear()
        jobs = frozenset(status.active_jobs)
        self._by_shard[status.job_shard] = _ListedShard(jobs, now)

    def unlisted_at(self, key):
        """
        Return when the host last listed the shard of a job without the job.

        The time is monotonic, in seconds. Return None if the newest list of
        the shard contains the job, or if none has arrived.
        """
        shard = self._by_shard.get(key % self._shard_count)
        if shard is None or key in shard.jobs:
            return None
        return shard.received_at
