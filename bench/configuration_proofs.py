"""
Ways by which hosts prove that their configuration is the newest, compared.

    python -m bench.configuration_proofs

Hosts in three failure domains poll the store, ask other hosts, or both, in
steps of simulated time. Prints, for each way and case: calls of the store and
questions between hosts in a second, the share of time in which a host that
reaches the store or a host that does could not serve requests with a key, and
the oldest proof of such a host in seconds.
"""

import random

import attrs

from galenascale.gateway.configuration_proof import ConfigurationProof

REVOKE_MS = 5000
DOMAINS = 3
# Seconds of one step, and of a long poll of the store.
STEP_S = 0.1
POLL_S = 1.0
# Seconds between two questions to another host, and the age of a proof from
# which a host that polls the store itself asks one.
QUESTION_INTERVAL_S = 0.6
QUESTION_AGE_S = REVOKE_MS / 1000 / 2
RELAYS_PER_DOMAIN = 2
# Seconds after which another host is used as relay.
RELAY_TIMEOUT_S = 3.0
SECONDS = 60.0
# Seconds of simulated trouble.
TROUBLE_S = (20.0, 29.0)


@attrs.define(eq=False)
class Host:
    """A host with its proof, its poll and its last question."""

    number: int
    proof: ConfigurationProof = attrs.field(factory=ConfigurationProof)
    # When the present poll began, and when the next question is due.
    polled_at: float = 0.0
    question_at: float = 0.0
    reaches_store: bool = True
    alive: bool = True

    @property
    def domain(self):
        """Return the number of the failure domain."""
        return self.number % DOMAINS


@attrs.frozen
class Way:
    """Who polls the store, and who asks other hosts."""

    name: str
    all_poll: bool
    # Age in seconds of the own proof from which a host asks another one.
    question_age_s: float


WAYS = (
    Way("each host asks the store", True, float("inf")),
    Way("relays ask the store, others ask them", False, 0.0),
    Way("each asks the store, else another host", True, QUESTION_AGE_S),
)


def turn_away(hosts, rng):
    """Let the store turn a third of the hosts away."""
    for host in rng.sample(hosts, len(hosts) * 35 // 100):
        host.reaches_store = False


def kill_first_hosts(hosts, _):
    """Lose the first hosts of each domain, which are the relays."""
    for host in hosts[: DOMAINS * RELAYS_PER_DOMAIN]:
        host.alive = False


CASES = {
    "calm": lambda hosts, rng: None,
    "store turns 35% away": turn_away,
    "first hosts of each domain lost": kill_first_hosts,
}


@attrs.define
class Outcome:
    """What one way did in one case."""

    store_calls: int = 0
    questions: int = 0
    host_steps: int = 0
    refused_steps: int = 0
    oldest_s: float = 0.0


def measure(way, count, trouble, seed=3):
    """Return the Outcome of a way with a number of hosts."""
    rng = random.Random(seed)
    hosts = [Host(number) for number in range(count)]
    for host in hosts:
        host.polled_at = -rng.uniform(0.0, POLL_S)
        host.question_at = rng.uniform(0.0, POLL_S)
        host.proof.record(host.polled_at)
    outcome = Outcome()
    for step in range(int(SECONDS / STEP_S)):
        now = step * STEP_S
        if abs(now - TROUBLE_S[0]) < STEP_S / 2:
            trouble(hosts, rng)
        if abs(now - TROUBLE_S[1]) < STEP_S / 2:
            for host in hosts:
                host.reaches_store = host.alive = True
        lost_for_s = now - TROUBLE_S[0]
        for host in hosts:
            if host.alive:
                _step(way, host, hosts, now, lost_for_s, rng, outcome)
                _check(host, now, outcome)
    return outcome


def _polls(way, host, hosts, lost_for_s):
    if way.all_poll:
        return True
    return host in _relays(hosts, host.domain, lost_for_s)


def _relays(hosts, domain, lost_for_s):
    """Return a domain's relays; lost ones are replaced after a while."""
    local = [host for host in hosts if host.domain == domain]
    if lost_for_s > RELAY_TIMEOUT_S:
        local = [host for host in local if host.alive]
    return local[:RELAYS_PER_DOMAIN]


def _step(way, host, hosts, now, lost_for_s, rng, outcome):
    if _polls(way, host, hosts, lost_for_s):
        if now - host.polled_at >= POLL_S:
            outcome.store_calls += 1
            if host.reaches_store:
                host.proof.record(host.polled_at)
            host.polled_at = now
        if way.question_age_s == 0.0:
            return
    if now < host.question_at or host.proof.age_s(now) < way.question_age_s:
        return
    host.question_at = now + QUESTION_INTERVAL_S
    outcome.questions += 1
    if way.all_poll:
        answering = rng.choice([other for other in hosts if other.reaches_store])
    else:
        answering = rng.choice(_relays(hosts, host.domain, lost_for_s))
    if answering.alive:
        host.proof.record_of_peer(now, answering.proof.age_s(now))


def _check(host, now, outcome):
    age_s = host.proof.age_s(now)
    outcome.host_steps += 1
    outcome.refused_steps += not host.proof.permits_keys(now, REVOKE_MS)
    outcome.oldest_s = max(outcome.oldest_s, age_s)


def main():
    """Print one line for each way, size and case."""
    for count in (84, 300):
        for case, trouble in CASES.items():
            for way in WAYS:
                outcome = measure(way, count, trouble)
                print(
                    f"{count:4} {case:32} {way.name:40} "
                    f"{outcome.store_calls / SECONDS:6.1f} calls/s "
                    f"{outcome.questions / SECONDS:6.1f} questions/s "
                    f"{outcome.refused_steps / outcome.host_steps:7.2%} refused "
                    f"{outcome.oldest_s:5.1f} s oldest"
                )


if __name__ == "__main__":
    main()
