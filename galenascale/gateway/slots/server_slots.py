"""Slots and pace of the servers of a pool, and the choice of a server."""

import heapq
import math

import attrs

from galenascale.gateway.slots.idle_servers import Obstacle
from galenascale.gateway.slots.memory_hold import MemoryHold
from galenascale.gateway.slots.pace import PaceBucket
from galenascale.gateway.slots.server_speeds import ServerSpeeds

# Seconds for which a server that refused a run gets no other one: it has more
# runs than the pool knows of.
REFUSAL_PAUSE_S = 0.1
# Weight for items of a server without a limit beside limited ones.
UNLIMITED_BATCH_WEIGHT = 0.1
# Weight of the random term that chooses between equally free servers.
JITTER = 1e-3
# Servers that a report of differences names.
MAX_SLOWEST = 8


@attrs.frozen
class Forecast:
    """How soon requests start in a pool."""

    # Infinite if nothing that is known bounds it.
    starts_per_s: float
    # Requests that may start at once, if all servers named limits.
    tokens: float
    has_limits: bool

    def wait_s(self, ahead):
        """Return the seconds until `ahead` more requests have started."""
        if not self.starts_per_s:
            return 0.0
        return max(0.0, ahead - self.tokens) / self.starts_per_s


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
        self._speeds = ServerSpeeds()
        self._by_speed = True
        self._hold = MemoryHold()

    def set(self, servers, by_speed=True):
        """Set the PoolServers that may be granted; faster ones `by_speed`."""
        self._by_speed = by_speed
        self._servers_by_key = {server.key: server for server in servers}
        self._limited = [server for server in servers if server.pace is not None]
        self._speeds.keep(self._servers_by_key.keys())

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

    def startable_count(self, *, batch=False):
        """Return the free slots in which a request, or item, may start now."""
        if not self._buckets_by_key:
            return self.free_count()
        return sum(
            min(free, self._startable_on(key, batch))
            for key, free in self.free_by_key().items()
        )

    def _startable_on(self, key, batch):
        bucket = self._buckets_by_key.get(key)
        return math.inf if bucket is None else bucket.starts(batch=batch)

    def _free_on(self, server):
        return server.slots - max(
            server.reported_runs, self._runs.counts_at(server.key).total
        )

    def has_tokens(self, key):
        """Return True unless a server's limit forbids a request now."""
        return self._allows(key, batch=False)

    def _allows(self, key, *, batch):
        bucket = self._buckets_by_key.get(key)
        return bucket is None or bucket.allows(batch=batch)

    def _limit_weight(self, server, batch):
        """
        Return the weight of a server beside limited ones.

        Requests go to servers without a limit first, so that tokens are left
        for a time in which all slots are in use. Items go to limited servers
        first: each takes one token, and a slot for much longer.
        """
        bucket = self._buckets_by_key.get(server.key)
        if bucket is None:
            return UNLIMITED_BATCH_WEIGHT if batch else 1.0
        return 1.0 if batch else bucket.fullness

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

    def has_memory(self, key, request, *, freed_tokens=0):
        """
        Return True if a server's memory has room for a request.

        `freed_tokens` are those of a run that is about to end.
        """
        server = self._servers_by_key[key]
        if not server.memory_tokens or not request.memory_tokens:
            return True
        used = self._runs.counts_at(key).memory_tokens - freed_tokens
        return used + request.memory_tokens <= server.memory_tokens

    def lacks_memory(self, request):
        """Return True if memory, not slots, keeps a request from a server."""
        return request.memory_tokens > 0 and any(
            self._free_on(server) > 0
            and key not in request.avoid
            and not self.has_memory(key, request)
            for key, server in self._servers_by_key.items()
        )

    def hold_memory(self, request):
        """Leave the server with the most free memory to a request."""
        is_listed = self._hold.server_key in self._servers_by_key
        if not self._hold.is_for(request) or not is_listed:
            self._hold.set(request, self._roomiest(request))

    def _roomiest(self, request):
        """Return the key of the server with the most free memory, or None."""
        free_by_key = {
            key: server.memory_tokens - self._runs.counts_at(key).memory_tokens
            for key, server in self._servers_by_key.items()
            if key not in request.avoid
            and request.memory_tokens <= server.memory_tokens
        }
        return max(free_by_key, key=free_by_key.get, default=None)

    def release_hold(self, queues):
        """Leave the held server to all once its request is in no queue."""
        self._hold.release_unless_in(queues)

    def obstacle(self, key, request, now):
        """
        Return the Obstacle that keeps a request from a server, or None.

        `key` is that of a server with a free slot.
        """
        if key in request.avoid:
            return Obstacle.AVOIDED
        if not self.has_memory(key, request):
            return Obstacle.MEMORY
        if self._hold.request is not None and self._hold.keeps_from(key, request):
            return Obstacle.HELD
        if self._buckets_by_key and not self._allows(key, batch=request.batch):
            return Obstacle.LIMIT
        if now < self._refused_until_by_key.get(key, now):
            return Obstacle.REFUSED
        return None

    def free_by_key(self):
        """Return the free slots of the servers that have some, by key."""
        return {
            key: free
            for key, server in self._servers_by_key.items()
            if (free := self._free_on(server)) > 0
        }

    def pace_of(self, key, request):
        """Return the tokens of a server and those needed; None without any."""
        bucket = self._buckets_by_key.get(key)
        if bucket is None:
            return None, None
        return bucket.tokens, bucket.pace.tokens_needed(batch=request.batch)

    def best(self, request, now):
        """
        Return the best server with a free slot and memory, or None.

        Its free share is weighed by its quality and its speed.
        """
        best = None
        best_score = 0.0
        slowness_by_key = self._slowness_by_key(now)
        for server in self._servers_by_key.values():
            free = self._free_on(server)
            if free <= 0 or self.obstacle(server.key, request, now):
                continue
            weight = self._limit_weight(server, request.batch) if self._limited else 1.0
            score = free / server.slots * server.quality * weight
            score /= slowness_by_key.get(server.key, 1.0)
            score += JITTER * self._rng.random()
            if score > best_score:
                best, best_score = server, score
        return best

    def record_run(self, run, now):
        """Learn how fast a server is from a run that has reached its end."""
        if run.start_seen:
            elapsed_s = now - run.started_at
            self._speeds.record(run.server_key, elapsed_s, run.tokens, now)

    def slowest(self, now):
        """Return the slowness of the MAX_SLOWEST slowest servers, by key."""
        slowness_by_key = self._slowness_by_key(now)
        slowest = heapq.nlargest(MAX_SLOWEST, slowness_by_key, slowness_by_key.get)
        return {key: slowness_by_key[key] for key in slowest}

    def _slowness_by_key(self, now):
        """Return the slowness of the servers that differ from the others."""
        return self._speeds.unlike_by_key(now) if self._by_speed else {}

    def is_held_back(self, avoid):
        """Return True if a limit alone keeps free slots of a server idle."""
        return any(
            not bucket.allows(batch=False)
            and key not in avoid
            and self._free_on(self._servers_by_key[key]) > 0
            for key, bucket in self._buckets_by_key.items()
            if key in self._servers_by_key
        )

    @property
    def has_limits(self):
        """Return True if a server named a limit."""
        return bool(self._limited)

    def forecast(self, mean_run_s, now):
        """
        Return the Forecast of starts in this pool.

        `mean_run_s` is 0 if unknown; only limits tell of a wait then.
        """
        starts_per_s = 0.0
        slowness_by_key = self._slowness_by_key(now)
        for server in self._servers_by_key.values():
            rate = server.slots / mean_run_s if mean_run_s else math.inf
            rate /= slowness_by_key.get(server.key, 1.0)
            if server.pace is not None:
                rate = min(rate, server.pace.requests_per_s)
            starts_per_s += rate
        tokens = 0.0
        if self.all_limited:
            tokens = sum(bucket.tokens for bucket in self._buckets_by_key.values())
        return Forecast(starts_per_s, tokens, self.has_limits)
