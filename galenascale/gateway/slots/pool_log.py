"""Log lines of an owner about the state of its pool."""

import attrs

from galenascale.gateway.servers import find_by_key
from galenascale.gateway.slots.tenant_shares import tenant_name

# Seconds between two log lines about a pool in which requests wait.
PRESSURE_INTERVAL_S = 0.5
# Seconds between two log lines about idle servers beside waiting requests, and
# seconds that a request waits before such a line.
IDLE_INTERVAL_S = 1.0
MIN_IDLE_WAIT_S = 1.0
# Seconds between two log lines about servers that differ in speed.
SPEEDS_INTERVAL_S = 10.0
# Idle servers that a line describes.
MAX_IDLE_SERVERS = 4


class PoolLog:
    """Writes what a pool does, each kind of line at most so often."""

    def __init__(self, context, pool, now):
        self._context = context
        self._pool = pool
        self._pressure_at = float("-inf")
        self._idle_at = float("-inf")
        self._speeds_at = now

    def write(self, slots, get_standing, now):
        """
        Write the lines that are due about a SlotPool.

        `get_standing` returns this host's Standing as owner.
        """
        if now - self._pressure_at >= PRESSURE_INTERVAL_S:
            self._write_pressure(slots.pressure(), now)
        if now - self._idle_at >= IDLE_INTERVAL_S:
            self._idle_at = now
            self._write_idle(slots.idle_servers(now), get_standing, now)
        if now - self._speeds_at >= SPEEDS_INTERVAL_S:
            self._speeds_at = now
            self._write_speeds(slots.slowest_servers(now))

    def _write(self, event, **fields):
        self._context.log.write(
            event,
            service=self._pool.service,
            failure_domain=self._pool.failure_domain,
            **fields,
        )

    def _write_pressure(self, pressure, now):
        if pressure is None:
            return
        self._pressure_at = now
        fields = attrs.asdict(pressure)
        key = fields.pop("largest_tenant")
        fields["largest_tenant"] = tenant_name(self._context.configuration, key)
        self._write("pool_full", **fields)

    def _write_idle(self, idle, get_standing, now):
        if idle is None or idle.waited_s < MIN_IDLE_WAIT_S:
            return
        obstacles = [server.obstacle.value for server in idle.servers]
        for obstacle in set(obstacles):
            self._context.metrics.idle_servers.labels(obstacle).inc()
        self._write(
            "servers_idle",
            batch=idle.batch,
            waited_s=round(idle.waited_s, 3),
            obstacles={name: obstacles.count(name) for name in set(obstacles)},
            servers=[
                self._describe(server, now)
                for server in idle.servers[:MAX_IDLE_SERVERS]
            ],
            **attrs.asdict(get_standing()),
        )

    def _describe(self, idle, now):
        """Return what a line tells of an IdleServer."""
        entry = find_by_key(self._context.servers.all_entries(), idle.key)
        limit = None if entry is None else self._context.limits.find(entry)
        return {
            "server": entry and entry.server_id,
            "obstacle": idle.obstacle.value,
            "free": idle.free,
            "tokens": idle.tokens and round(idle.tokens, 3),
            "needed_tokens": idle.needed_tokens,
            "limit": limit and limit.requests_per_s,
            "limit_age_s": limit and round(now - limit.said_at, 3),
        }

    def _write_speeds(self, slowness_by_key):
        """Log how much longer runs take at the slowest servers, if any do."""
        if not slowness_by_key:
            return
        entries = self._context.servers.all_entries()
        slowness_by_id = {
            entry.server_id: round(slowness, 2)
            for key, slowness in slowness_by_key.items()
            if (entry := find_by_key(entries, key)) is not None
        }
        self._write("servers_differ", slowness=slowness_by_id)
