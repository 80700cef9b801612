"""
Simulation of servers of one service that differ in speed.

Servers take 0.6, 1 and 1.6 times the mean, and each has spells in which it
takes 2.5 times as long. Prints for each way to learn this how long streams
take from their arrival to their end, and how many start late.
"""

import math
import random

import attrs

from bench.slot_pools import LoadPattern, Simulation
from galenascale.gateway.slots.server_speeds import MIN_SERVER_RUNS, ServerSpeeds

SPEEDS = (0.6, 1.0, 1.6)
SPELL_FACTOR = 2.5
# Seconds of a spell, and mean seconds between the spells of a server.
SPELL_S = 0.6
SPELL_EVERY_S = 4.0
SEEDS = (5, 6, 7)
# Step of the running median, as a logarithm.
MEDIAN_STEP = 0.05
# Weight of the newest run in the average of the last few, and the factor above
# the mean that tells a spell.
RECENT_WEIGHT = 0.5
SPELL_SIGN = 1.5


class NoSpeeds(ServerSpeeds):
    """Servers count as equal."""

    def record(self, server_key, elapsed_s, tokens, now):
        """Learn nothing."""


class SpellSpeeds(ServerSpeeds):
    """The mean, and the last few runs while they are much slower."""

    def __init__(self):
        super().__init__()
        # (average of the last few, monotonic time) by server.
        self._recent_by_key = {}

    def record(self, server_key, elapsed_s, tokens, now):
        """Record a run in both averages."""
        super().record(server_key, elapsed_s, tokens, now)
        server = self._servers_by_key.get(server_key)
        if server is None:
            return
        ratio = math.log(elapsed_s / self._mean_s_by_kind[tokens > 0])
        recent, at = self._recent_by_key.get(server_key, (0.0, -math.inf))
        if now - at > SPELL_S:
            recent = server.ratio
        recent += RECENT_WEIGHT * (ratio - recent)
        self._recent_by_key[server_key] = (recent, now)

    def unlike_by_key(self, now):
        """Return the slowness of the servers, those in a spell by that."""
        found = super().unlike_by_key(now)
        for key, (recent, at) in self._recent_by_key.items():
            slower = recent - self._servers_by_key[key].ratio
            if slower > math.log(SPELL_SIGN) and now - at <= SPELL_S:
                found[key] = math.exp(recent)
        return found


class MedianSpeeds(ServerSpeeds):
    """A running median in place of the mean."""

    def record(self, server_key, elapsed_s, tokens, now):
        """Record a run, and move the median by a step towards it."""
        server = self._servers_by_key.get(server_key)
        former = server.ratio if server is not None else 0.0
        super().record(server_key, elapsed_s, tokens, now)
        server = self._servers_by_key.get(server_key)
        if server is not None and server.runs > MIN_SERVER_RUNS:
            server.ratio = former + math.copysign(MEDIAN_STEP, server.ratio - former)


WAYS = {
    "as before": NoSpeeds,
    "mean": ServerSpeeds,
    "mean and spells": SpellSpeeds,
    "running median": MedianSpeeds,
}


class SpeedSimulation(Simulation):
    """A Simulation of servers with speeds and spells."""

    def __init__(self, pattern, seed, make_speeds, speeds=SPEEDS, spells=True):
        super().__init__(pattern, seed)
        self._speed_rng = random.Random(seed)
        self._speeds = speeds
        self._spells = spells
        self._spell_until = [0.0] * pattern.servers
        self.stream_s = []
        for pool in self.pools:
            # The part of the pool that is compared here.
            pool._servers._speeds = make_speeds()

    def run(self):
        """Run the simulation to its end and return the Totals."""
        if self._spells:
            for server in range(self.pattern.servers):
                self._schedule_spell(server)
        return super().run()

    def _schedule_spell(self, server):
        wait_s = self._speed_rng.expovariate(1.0 / SPELL_EVERY_S)
        self.schedule(wait_s, self._begin_spell, server)

    def _begin_spell(self, server):
        self._spell_until[server] = self.now + SPELL_S
        self._schedule_spell(server)

    def _duration_s(self, task):
        speed = self._speeds[task.server // self.pattern.domains % len(self._speeds)]
        seconds = task.remaining_s * speed
        # A run that begins in a spell is slow until the spell ends.
        left_s = max(0.0, self._spell_until[task.server] - self.now)
        slow_s = min(left_s, seconds * SPELL_FACTOR)
        return seconds + slow_s * (1.0 - 1.0 / SPELL_FACTOR)

    def _finish(self, task, attempt):
        super()._finish(task, attempt)
        if task.attempt == attempt and not task.batch:
            self.stream_s.append(self.now - task.submitted_at)


@attrs.frozen
class SpeedFigures:
    """Seconds of streams, and the share of them that start late."""

    mean_s: float
    worst_twentieth_s: float
    late: float


def run_way(pattern, make_speeds, seeds=SEEDS, **kwargs):
    """Return the SpeedFigures of one way to learn the speeds."""
    times, late, streams = [], 0, 0
    for seed in seeds:
        simulation = SpeedSimulation(pattern, seed, make_speeds, **kwargs)
        totals = simulation.run()
        times += simulation.stream_s
        late += totals.late
        streams += totals.streams
    times.sort()
    return SpeedFigures(
        sum(times) / len(times), times[len(times) * 19 // 20], late / max(1, streams)
    )


HALF = LoadPattern("half full", 61, 3, 45, 8, 250, 250, 1.0, 5.0, 0.6, 0.2)
NEARLY_FULL = attrs.evolve(HALF, name="nearly full", base_per_s=430, burst_per_s=430)
BURSTS = attrs.evolve(HALF, name="bursts", base_per_s=120, burst_per_s=520, burst_s=2.0)


def main():
    """Print the figures of each way under each load."""
    for pattern in (HALF, NEARLY_FULL, BURSTS):
        for name, make_speeds in WAYS.items():
            figures = run_way(pattern, make_speeds)
            print(
                f"{pattern.name:12} {name:16} mean {figures.mean_s:.3f} s  "
                f"95% {figures.worst_twentieth_s:.3f} s  late {figures.late:.4f}"
            )
    for name in ("as before", "mean"):
        kwargs = {"speeds": (1.0,), "spells": False}
        figures = run_way(NEARLY_FULL, WAYS[name], **kwargs)
        print(f"equal servers {name:16} mean {figures.mean_s:.4f} late {figures.late}")


if __name__ == "__main__":
    main()
