"""How fast the servers of a pool are, learned from the ends of runs."""

import math

import attrs

# Weights of the newest run in the averages of a pool and of a server. A spell
# of half a second has some ten runs of a busy server, which may move its
# average; the next ten move it back.
POOL_WEIGHT = 0.02
SERVER_WEIGHT = 0.1
# Runs of the pool before which nothing is known of any server, and those of a
# server before which it counts as one like the others.
MIN_POOL_RUNS = 20
MIN_SERVER_RUNS = 4
# Factor between a server and the mean that the lengths of runs explain.
NOISE_FACTOR = 1.2
# Largest factor between a server and the mean that is believed.
MAX_FACTOR = 4.0
# Seconds in which what is known of a server without runs fades.
FADING_S = 10.0


@attrs.define
class _Server:
    # Average logarithm of the time of runs as a multiple of the pool's mean.
    ratio: float = 0.0
    runs: int = 0
    # Monotonic time in seconds of the end of the last run.
    updated_at: float = 0.0

    def record(self, ratio, now):
        """Add a run, whose ratio to the mean is a logarithm."""
        self.ratio = self.faded(now)
        # The first runs count more, so that a new server is known soon.
        weight = max(SERVER_WEIGHT, 1.0 / (self.runs + 1))
        self.ratio += weight * (ratio - self.ratio)
        self.runs += 1
        self.updated_at = now

    def faded(self, now):
        """Return the average, which fades without runs."""
        age_s = max(0.0, now - self.updated_at)
        return self.ratio * math.exp(-age_s / FADING_S)

    def slowness(self, now):
        """Return the time of a run as a multiple of the pool's mean."""
        if self.runs < MIN_SERVER_RUNS:
            return 1.0
        value = self.faded(now)
        if abs(value) < math.log(NOISE_FACTOR):
            return 1.0
        return math.exp(value)


class ServerSpeeds:
    """Slowness of the servers of a pool, beside the pool's mean."""

    def __init__(self):
        self._servers_by_key = {}
        # Mean seconds of runs that name no tokens, and for each token of the
        # others, and the numbers of these runs.
        self._mean_s_by_kind = {}
        self._runs_by_kind = {}

    def record(self, server_key, elapsed_s, tokens, now):
        """
        Record a run that ended well after `elapsed_s` seconds.

        `tokens` are those that it was to generate, 0 if unknown.
        """
        if elapsed_s <= 0.0:
            return
        kind = tokens > 0
        time_s = elapsed_s / max(1, tokens)
        mean_s = self._mean_s_by_kind.setdefault(kind, time_s)
        runs = self._runs_by_kind.get(kind, 0) + 1
        weight = max(POOL_WEIGHT, 1.0 / runs)
        self._mean_s_by_kind[kind] = mean_s + weight * (time_s - mean_s)
        self._runs_by_kind[kind] = runs
        if runs < MIN_POOL_RUNS:
            return
        factor = min(max(time_s / mean_s, 1.0 / MAX_FACTOR), MAX_FACTOR)
        server = self._servers_by_key.setdefault(server_key, _Server(updated_at=now))
        server.record(math.log(factor), now)

    def slowness(self, server_key, now):
        """Return the time of a server's runs as a multiple of the mean."""
        server = self._servers_by_key.get(server_key)
        return 1.0 if server is None else server.slowness(now)

    def keep(self, server_keys):
        """Forget the servers that are not among these."""
        for key in self._servers_by_key.keys() - server_keys:
            del self._servers_by_key[key]

    def unlike_by_key(self, now):
        """Return the slowness of the servers that differ from the mean."""
        found = {
            key: server.slowness(now) for key, server in self._servers_by_key.items()
        }
        return {key: slowness for key, slowness in found.items() if slowness != 1.0}
