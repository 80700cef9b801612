"""
Placement of online requests by what hosts know of each other's load.

A fleet of hosts sends a burst of requests to backend servers with a number of
slots and a queue behind them. Prints, for each source of knowledge, the share
of requests that went to a server that was not among the best (the fewest
requests at that moment), and the share that waited for a slot for so long that
the first event is late.
"""

import random

import attrs

from galenascale.gateway.balancing import Candidate, choose_candidate
from galenascale.gateway.slot_shares import SlotShares

SLOTS = 7
MEAN_RUN_S = 0.67
# Wait for a slot after which the first event misses its objective of 308 ms.
LONGEST_WAIT_S = 0.28
BURST_S = (2.0, 4.0)
# Load outside of the burst, as a share of the burst's.
CALM_SHARE = 0.3
SEEDS = range(5, 11)


@attrs.frozen
class Server:
    """The part of an entry that the choice reads."""

    server_id: str
    slots: int = SLOTS


@attrs.frozen
class Run:
    """One request of a host at a server."""

    host: int
    sent_at: float
    end_at: float


@attrs.frozen
class Sight:
    """What a host knows when it chooses; choose_candidate() uses all of it."""

    name: str
    # Age in seconds of the other hosts' load; None if it is not known.
    load_age_s: float | None = None
    uses_own_slots: bool = True
    # Whether the load that is known is taken for what it is now.
    trusts_load: bool = True


BLIND = Sight("nothing, blind choice")
FULL = Sight("everything, at once", load_age_s=0.0)
SIGHTS = (
    BLIND,
    Sight("own requests", uses_own_slots=False, trusts_load=False),
    Sight("own requests and own slots", trusts_load=False),
    Sight("load 0.8 s old", 0.8, uses_own_slots=False),
    Sight("load 0.8 s old and own slots", 0.8, trusts_load=False),
    Sight("load 0.1 s old", 0.1, uses_own_slots=False),
    Sight("load 0.1 s old and own slots", 0.1),
    FULL,
)


@attrs.frozen
class Placed:
    """Where one request of the burst went."""

    waited_s: float
    was_best: bool


@attrs.frozen
class Shares:
    """Shares of the requests of a burst."""

    late: float
    misplaced: float


class Fleet:
    """Hosts that choose servers with some sight of each other's load."""

    def __init__(self, hosts, servers, sight):
        self.hosts = hosts
        self.servers = servers
        self.sight = sight
        names = [f"h{number}" for number in range(hosts)]
        self.entries = [Server(f"s{number}") for number in range(servers)]
        self.runs = [[] for _ in self.entries]
        self.slot_shares = [SlotShares(name) for name in names]
        for share in self.slot_shares:
            share.set_hosts(names)

    def send(self, host, now, rng):
        """Send a request and return the Placed."""
        self._forget_ended(now - (self.sight.load_age_s or 0.0))
        loads = [self._load(number, now) for number in range(self.servers)]
        number = self._choose(host, now, rng, loads)
        ends = sorted(run.end_at for run in self.runs[number] if run.end_at > now)
        start_at = now if len(ends) < SLOTS else ends[-SLOTS]
        end_at = start_at + MEAN_RUN_S * rng.uniform(0.6, 1.4)
        self.runs[number].append(Run(host, now, end_at))
        return Placed(start_at - now, loads[number] == min(loads))

    def _forget_ended(self, known_at):
        self.runs = [
            [run for run in runs if run.end_at > known_at] for runs in self.runs
        ]

    def _load(self, number, now):
        return sum(run.end_at > now for run in self.runs[number])

    def _choose(self, host, now, rng, loads):
        if self.sight == BLIND:
            return rng.randrange(self.servers)
        if self.sight == FULL:
            return rng.choice([n for n, load in enumerate(loads) if load == min(loads)])
        candidates = [
            self._candidate(host, number, now) for number in range(self.servers)
        ]
        stale = not self.sight.trusts_load
        chosen = choose_candidate(candidates, rng, load_is_stale=stale)
        return self.entries.index(chosen.server)

    def _candidate(self, host, number, now):
        runs = self.runs[number]
        own = sum(run.host == host and run.end_at > now for run in runs)
        others = 0
        if self.sight.load_age_s is not None:
            known_at = now - self.sight.load_age_s
            others = sum(
                run.host != host and run.sent_at <= known_at < run.end_at
                for run in runs
            )
        entry = self.entries[number]
        own_slots = 0
        if self.sight.uses_own_slots:
            own_slots = self.slot_shares[host].own_slots(entry)
        return Candidate(
            entry, online=own + others, local_online=own, own_slots=own_slots
        )


def play_bursts(hosts, servers, sight, requests_per_s):
    """Return the mean Shares of bursts with other random numbers each."""
    shares = [
        _play_burst(Fleet(hosts, servers, sight), requests_per_s, seed)
        for seed in SEEDS
    ]
    return Shares(
        sum(share.late for share in shares) / len(shares),
        sum(share.misplaced for share in shares) / len(shares),
    )


def _play_burst(fleet, requests_per_s, seed):
    rng = random.Random(seed)
    now = 0.0
    placed = []
    while now < BURST_S[1]:
        in_burst = now >= BURST_S[0]
        now += rng.expovariate(requests_per_s * (1 if in_burst else CALM_SHARE))
        sent = fleet.send(rng.randrange(fleet.hosts), now, rng)
        if in_burst:
            placed.append(sent)
    late = sum(sent.waited_s > LONGEST_WAIT_S for sent in placed)
    misplaced = sum(not sent.was_best for sent in placed)
    return Shares(late / len(placed), misplaced / len(placed))


def main():
    """Print the shares for a grown and a small fleet."""
    for hosts, servers, requests_per_s in ((60, 45, 420), (12, 5, 45)):
        print(f"{hosts} hosts, {servers} servers, {requests_per_s} requests/s")
        for sight in SIGHTS:
            shares = play_bursts(hosts, servers, sight, requests_per_s)
            print(
                f"  {sight.name:30} late {shares.late:.3f}"
                f"  misplaced {shares.misplaced:.3f}"
            )


if __name__ == "__main__":
    main()
