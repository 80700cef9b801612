"""
The slots of a pool of backend servers, granted one by one.

Engines admit requests as they come and know no priorities. A pool counts what
runs on each server: it sends requests where a slot is free, lets them wait in
one queue instead of one at each server, and gives items only slots that they
do not need. What it decides it returns; the caller tells the hosts.
"""

import math

from galenascale.gateway.slots.decisions import (
    Forwarded,
    Grant,
    Pressure,
    Queued,
    Refused,
    Spare,
    Yielded,
)
from galenascale.gateway.slots.runs import Run, RunTable
from galenascale.gateway.slots.waiting import WaitingAsks

# Seconds after which a run or an ask counts as over that its host did not name
# again; hosts do so several times in this time.
LEASE_S = 2.5
# Seconds for which a server that refused a run gets no other: more runs there
# than is known here.
REFUSED_PAUSE_S = 0.1
# Seconds after which an item is asked again to make room for a request.
YIELD_AGAIN_S = 0.1
# Weight of the newest run in the mean time of a run, and runs before which no
# wait is forecast.
RUN_WEIGHT = 0.05
MIN_RUNS = 20
# Seconds after which a pool's word of its free slots says nothing any more.
SPARE_MAX_AGE_S = 0.7
# Weight of chance between servers that are as free.
JITTER = 1e-3


class SlotPool:
    """Decides who gets the slots of some servers of one service."""

    def __init__(self, rng):
        self._rng = rng
        self._servers_by_key = {}
        self._runs = RunTable()
        self._online_asks = WaitingAsks()
        self._batch_asks = WaitingAsks()
        self._refused_until_by_server = {}
        self._spares_by_pool = {}
        self._mean_run_s = 0.0
        self._completed = 0

    def set_servers(self, servers):
        """Set the servers that may be granted."""
        self._servers_by_key = {server.key: server for server in servers}

    @property
    def has_servers(self):
        """Return True if there is a server to grant."""
        return bool(self._servers_by_key)

    @property
    def in_use(self):
        """Return True if the pool has runs or asks."""
        return bool(self._runs or self._online_asks or self._batch_asks)

    def spare(self):
        """Return the Spare to tell other pools."""
        free = max(0, self._free_slots() - len(self._online_asks))
        return Spare(
            free=free,
            free_for_batch=max(0, free - self.reserve()),
            batch=len(self._runs.items()),
        )

    def pressure(self):
        """Return the Pressure while something waits, else None."""
        if not (self._online_asks or self._batch_asks):
            return None
        return Pressure(
            slots=sum(server.slots for server in self._servers_by_key.values()),
            online=self._runs.online,
            batch=self._runs.batch,
            waiting_online=len(self._online_asks),
            waiting_batch=len(self._batch_asks),
        )

    def learn_spare(self, pool_key, spare, now):
        """Take in what another pool has free; return the decisions."""
        spare.at = now
        self._spares_by_pool[pool_key] = spare
        return self._serve(now)

    # What hosts say of their requests and items.

    def ask(self, ask, now):
        """Decide on a host's ask; return the decisions."""
        ask.seen_at = now
        run = self._runs.get(ask.run_id)
        if run is not None:
            # The grant was lost, or the ask came twice.
            run.seen_at = now
            return [Grant(ask, run.server_key)]
        waiting = self._batch_asks if ask.batch else self._online_asks
        waiting.add(ask)
        decisions = self._serve(now)
        if waiting.has(ask):
            decisions.append(self._queue_or_refuse(ask, waiting, now))
        return decisions

    def _queue_or_refuse(self, ask, waiting, now):
        wait_s = self._wait_s(ask, waiting, now)
        if ask.refusable and not ask.returned and now + wait_s > ask.start_by:
            waiting.remove(ask.run_id)
            return Refused(ask, wait_s)
        return Queued(ask, wait_s)

    def _wait_s(self, ask, waiting, now):
        """Return how long an ask will probably wait for a slot."""
        slots = sum(server.slots for server in self._servers_by_key.values())
        if self._completed < MIN_RUNS or not slots:
            return 0.0
        return (waiting.ahead_of(ask, now) + 1) * self._mean_run_s / slots

    def hold(self, run, now):
        """Count a run that a host has; return what items yield for it."""
        self._online_asks.remove(run.run_id)
        self._batch_asks.remove(run.run_id)
        known = self._runs.get(run.run_id)
        if known is None:
            run.seen_at = now
            self._runs.add(run)
        else:
            known.seen_at = now
        return self._make_room(run.server_key, now)

    def end(self, run_id, now, *, refused=False):
        """End a run or an ask; return the decisions."""
        waited = self._online_asks.remove(run_id) or self._batch_asks.remove(run_id)
        run = self._runs.get(run_id)
        if run is None:
            return self._serve(now) if waited else []
        self._runs.remove(run)
        if refused:
            self._refused_until_by_server[run.server_key] = now + REFUSED_PAUSE_S
        elif not run.batch:
            self._note_run_time(now - run.began_at)
        return self._serve(now)

    def _note_run_time(self, elapsed_s):
        if not self._completed:
            self._mean_run_s = elapsed_s
        self._completed += 1
        self._mean_run_s += RUN_WEIGHT * (elapsed_s - self._mean_run_s)

    def tick(self, now):
        """Drop what hosts no longer name; return the decisions."""
        self._runs.expire(now - LEASE_S)
        self._online_asks.forget(now - LEASE_S)
        self._batch_asks.forget(now - LEASE_S)
        for pool_key, spare in list(self._spares_by_pool.items()):
            if now - spare.at > SPARE_MAX_AGE_S:
                del self._spares_by_pool[pool_key]
        again = [
            self._yield(run, now)
            for run in self._runs
            if run.yielded_at is not None and now - run.yielded_at > YIELD_AGAIN_S
        ]
        return again + self._serve(now)

    # Decisions.

    def reserve(self):
        """
        Return the free slots that items leave to requests.

        The number of requests that run at a moment varies by its square root.
        """
        return math.ceil(math.sqrt(self._runs.online + 1))

    def _free_of(self, server):
        return server.slots - max(server.told, self._runs.at(server.key).total)

    def _free_slots(self):
        servers = self._servers_by_key.values()
        return sum(max(0, self._free_of(server)) for server in servers)

    def _best_server(self, avoid, now):
        """Return the server with the largest free share, or None."""
        best = None
        best_rank = 0.0
        for server in self._servers_by_key.values():
            free = self._free_of(server)
            if free <= 0 or server.key in avoid:
                continue
            if now < self._refused_until_by_server.get(server.key, now):
                continue
            rank = free / server.slots * server.quality + JITTER * self._rng.random()
            if rank > best_rank:
                best, best_rank = server, rank
        return best

    def _serve(self, now):
        """Return the decisions on the asks that need not wait longer."""
        decisions = []
        for ask in self._online_asks.in_order(now):
            placed = self._place_online(ask, now)
            if placed:
                self._online_asks.remove(ask.run_id)
                decisions += placed
        if self._online_asks:
            return decisions
        for ask in self._batch_asks.in_order(now):
            placed = self._place_batch(ask, now)
            if placed:
                self._batch_asks.remove(ask.run_id)
                decisions += placed
        return decisions

    def _place_online(self, ask, now):
        server = self._best_server(ask.avoid, now)
        if server is not None:
            return [self._grant(ask, server.key, now)]
        forwarded = self._forward(ask, lambda spare: spare.free)
        if forwarded:
            return forwarded
        item = self._item_to_yield(ask.avoid)
        if item is not None:
            return [self._yield(item, now), self._grant(ask, item.server_key, now)]
        if self._servers_by_key.keys() <= ask.avoid:
            return self._forward(ask, lambda spare: 1)
        return self._forward(ask, lambda spare: spare.batch)

    def _place_batch(self, ask, now):
        if self._free_slots() > self.reserve():
            server = self._best_server(ask.avoid, now)
            if server is not None:
                return [self._grant(ask, server.key, now)]
        return self._forward(ask, lambda spare: spare.free_for_batch)

    def _grant(self, ask, server_key, now):
        slack_s = ask.start_by - now
        self._runs.add(
            Run(ask.host, ask.number, server_key, ask.batch, slack_s, now, now)
        )
        return Grant(ask, server_key)

    def _forward(self, ask, slots_of):
        """Pass an ask on to the pool that has the most of some slots."""
        spares_by_pool = self._spares_by_pool
        if ask.forwarded or not spares_by_pool:
            return []
        key = max(spares_by_pool, key=lambda key: slots_of(spares_by_pool[key]))
        spare = spares_by_pool[key]
        if slots_of(spare) <= 0:
            return []
        if spare.free > 0:
            spare.free -= 1
            spare.free_for_batch -= 1
        else:
            spare.batch -= 1
        return [Queued(ask, 0.0), Forwarded(ask, key)]

    def _item_to_yield(self, avoid):
        for run in self._runs.items():
            if run.server_key in self._servers_by_key and run.server_key not in avoid:
                return run
        return None

    def _make_room(self, server_key, now):
        """Let items yield on a server that has more runs than slots."""
        server = self._servers_by_key.get(server_key)
        count = self._runs.at(server_key)
        if server is None or not count.batch or count.total <= server.slots:
            return []
        excess = count.total - server.slots - self._runs.leaving(server_key)
        there = [run for run in self._runs.items() if run.server_key == server_key]
        return [self._yield(run, now) for run in there[: max(0, excess)]]

    def _yield(self, run, now):
        run.yielded_at = now
        return Yielded(run.host, run.number)
