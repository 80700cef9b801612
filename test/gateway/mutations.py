"""Random changes of valid messages, as transport and storage may make them."""

import os

# Changed messages of one test; a longer run by hand sets the variable.
ROUNDS = int(os.environ.get("GALENASCALE_FUZZ_ROUNDS", "3000"))
MAX_CHANGES = 4


def mutate(rng, samples):
    """Return a sample with a few random changes; `rng` is a random.Random."""
    data = bytearray(rng.choice(samples))
    for _ in range(rng.randint(1, MAX_CHANGES)):
        rng.choice(_CHANGES)(rng, data, samples)
    return bytes(data)


def _flip_bit(rng, data, _):
    if data:
        data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)


def _set_byte(rng, data, _):
    if data:
        data[rng.randrange(len(data))] = rng.choice((0, 0x7F, 0x80, 0xFF))


def _cut(rng, data, _):
    del data[rng.randint(0, len(data)) :]


def _remove(rng, data, _):
    begin = rng.randint(0, len(data))
    del data[begin : begin + rng.randint(1, 16)]


def _insert(rng, data, _):
    begin = rng.randint(0, len(data))
    data[begin:begin] = rng.randbytes(rng.randint(1, 16))


def _repeat(rng, data, _):
    begin = rng.randint(0, len(data))
    data[begin:begin] = data[begin : begin + 64]


def _splice(rng, data, samples):
    other = rng.choice(samples)
    begin = rng.randint(0, len(other))
    end = rng.randint(0, len(data))
    data[end : end + 64] = other[begin : begin + 64]


_CHANGES = (_flip_bit, _set_byte, _cut, _remove, _insert, _repeat, _splice)
