"""Slots and pace of the servers of a pool, and the choice of a server."""

import math

from galenascale.gateway.slots.pace import (
    BATCH_TOKENS,
    ONLINE_TOKENS,
    PaceBucket,
)

# Seconds for which a server that refused a run gets no other one: it has more
# runs than the pool knows of.
REFUSAL_PAUSE_S = 0.1
# Weight of the random term that chooses between equally free servers.
JITTER = 1e-3


class ServerSlots:
    """The servers that a pool may grant, beside the RunTable of its runs."""

    def __init__(self, rng, runs):
        self._rng = rng
        self._runs = runs
        self._servers_by_key = {}
        # The servers that named a limit, and their buckets.
        self._limited = []
        self._buckets_by_key = {}
        self._refused_until_by_key = {}

    def set(self, servers):
        """Set the PoolServers that may be granted."""
        self._servers_by_key = {server.key: server for server in servers}
        self._limited = [server for server in servers if server.pace is not None]

    def __bool__(self):
        """Return True if there is a server to grant."""
        return bool(self._servers_by_key)

    def get(self, key):
        """Return the PoolServer with a key, or None."""
        return self._servers_by_key.get(key)

    def are_within(self, keys):
        """Return True if all servers are among these keys."""
        return self._servers_by_key.keys() <= keys

    @property
    def slots(self):
        """Return the number of slots of all servers."""
        return sum(server.slots for server in self._servers_by_key.values())

    @property
    def all_limited(self):
        """Return True if there are servers and all named limits."""
        return 0 < len(self._limited) == len(self._servers_by_key)

    def refill(self, now):
        """Add the tokens of limited servers since the last call."""
        if not self._limited and not self._buckets_by_key:
            return
        former = self._buckets_by_key
        self._buckets_by_key = {}
        for server in self._limited:
            bucket = former.get(server.key) or PaceBucket.start(server.pace, now)
            bucket.pace = server.pace
            bucket.refill(now)
            self._buckets_by_key[server.key] = bucket

    def free_count(self):
        """Return the free slots, whatever the servers' pace."""
        servers = self._servers_by_key.values()
        return sum(max(0, self._free_on(server)) for server in servers)

    def startable_count(self):
        """Return the free slots in which a request may start now."""
        if not self._buckets_by_key:
            return self.free_count()
        return sum(
            max(0, min(self._free_on(server), self._whole_tokens(key)))
            for key, server in self._servers_by_key.items()
        )

    def _free_on(self, server):
        return server.slots - max(
            server.reported_runs, self._runs.counts_at(server.key).total
        )

    def _whole_tokens(self, key):
        bucket = self._buckets_by_key.get(key)
        return math.inf if bucket is None else math.floor(bucket.tokens)

    def has_tokens(self, key, needed=ONLINE_TOKENS):
        """Return True unless a server's limit forbids a run now."""
        bucket = self._buckets_by_key.get(key)
        return bucket is None or bucket.tokens >= needed

    def _fullness(self, key, needed):
        """
        Return the share of its tokens that a server has, 0 if too few.

        Servers without a limit go first, so that tokens are left for a time
        in which all slots are in use.
        """
        bucket = self._buckets_by_key.get(key)
        if bucket is None:
            return 1.0
        return bucket.fullness if bucket.tokens >= needed else 0.0

    def spend(self, key):
        """Count a run at a server; return True if it has a limit."""
        bucket = self._buckets_by_key.get(key)
        if bucket is None:
            return False
        bucket.spend()
        return True

    def pause(self, key, now):
        """Grant no run at a server for a moment, as it refused one."""
        self._refused_until_by_key[key] = now + REFUSAL_PAUSE_S

    def best(self, avoid, now, *, batch=False):
        """Return the server with the best free share and quality, or None."""
        needed = BATCH_TOKENS if batch else ONLINE_TOKENS
        best = None
        best_score = 0.0
        for server in self._servers_by_key.values():
            free = self._free_on(server)
            if free <= 0 or server.key in avoid:
                continue
            fullness = self._fullness(server.key, needed) if self._limited else 1.0
            if not fullness:
                continue
            if now < self._refused_until_by_key.get(server.key, now):
                continue
            score = free / server.slots * server.quality * fullness
            score += JITTER * self._rng.random()
            if score > best_score:
                best, best_score = server, score
        return best

    def is_held_back(self, avoid):
        """Return True if a limit alone keeps free slots of a server idle."""
        return any(
            bucket.tokens < ONLINE_TOKENS
            and key not in avoid
            and self._free_on(self._servers_by_key[key]) > 0
            for key, bucket in self._buckets_by_key.items()
            if key in self._servers_by_key
        )

    @property
    def has_limits(self):
        """Return True if a server named a limit."""
        return bool(self._limited)

    def wait_s(self, ahead, mean_run_s):
        """
        Return the forecast seconds until `ahead` more runs may start.

        `mean_run_s` is 0 if unknown; only limits tell of a wait then.
        """
        starts_per_s = self.starts_per_s(mean_run_s)
        if self.all_limited:
            tokens = sum(bucket.tokens for bucket in self._buckets_by_key.values())
            ahead = max(0.0, ahead - tokens)
        return ahead / starts_per_s if starts_per_s else 0.0

    def starts_per_s(self, mean_run_s):
        """Return the most runs a second; infinite if nothing bounds them."""
        runs_per_s = 0.0
        for server in self._servers_by_key.values():
            rate = server.slots / mean_run_s if mean_run_s else math.inf
            if server.pace is not None:
                rate = min(rate, server.pace.requests_per_s)
            runs_per_s += rate
        return runs_per_s
