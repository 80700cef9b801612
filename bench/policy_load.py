"""Online arrivals and batch items of the policy benchmark.

Arrivals are a Poisson process whose rate alternates between a calm one and a
burst; both last for exponentially distributed times. All draws come from one
seeded generator, so every policy sees the same requests.
"""

import random

import attrs

# Rates in requests/s for each server. A server with 8 slots serves about 9
# requests/s, so this is about 20 % and 65 % of the capacity. Above capacity
# the wait in admission would hide what the policies change.
CALM_RATE = 2.0
BURST_RATE = 6.0
CALM_S = 4.0
BURST_S = 1.0
LONG_SHARE = 0.2
SHORT_PROMPT = (40, 160)
LONG_PROMPT = (600, 1400)
ONLINE_ANSWER = (20, 80)
BATCH_PROMPT = (60, 100)
BATCH_ANSWER = (24, 92)
# Prompts begin with one of so many shared prefixes of 4 blocks of 64 tokens.
PREFIXES = 12
PREFIX_BLOCKS = 4
# Share of the requests with a long prompt that have such a prefix.
PREFIXED_SHARE = 0.5


@attrs.frozen
class Work:
    """One online request or batch item, sizes in tokens."""

    number: int
    at: float
    prompt: int
    answer: int
    prefix: int | None = None
    # True for the first request of a burst.
    starts_burst: bool = False


def online_requests(seed, seconds, servers):
    """Return the online requests of a run in order of arrival."""
    rng = random.Random(seed)
    result, at, burst = [], 0.0, False
    ends, first = rng.expovariate(1 / CALM_S), False
    while True:
        rate = (BURST_RATE if burst else CALM_RATE) * servers
        following = at + rng.expovariate(rate)
        if following > ends:
            at, burst = ends, not burst
            ends = at + rng.expovariate(1 / (BURST_S if burst else CALM_S))
            first = burst
            continue
        at = following
        if at >= seconds:
            return result
        long = rng.random() < LONG_SHARE
        prefix = None
        if long and rng.random() < PREFIXED_SHARE:
            prefix = rng.randrange(PREFIXES)
        prompt = rng.randint(*(LONG_PROMPT if long else SHORT_PROMPT))
        answer = rng.randint(*ONLINE_ANSWER)
        result.append(Work(len(result), at, prompt, answer, prefix, first))
        first = False


def batch_items(seed):
    """Yield batch items without end."""
    rng = random.Random(seed)
    number = 0
    while True:
        prompt, answer = rng.randint(*BATCH_PROMPT), rng.randint(*BATCH_ANSWER)
        yield Work(number, 0.0, prompt, answer)
        number += 1
