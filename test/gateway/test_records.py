"""Encoding of job records: what it costs, and that it can be read back."""

import random
import tracemalloc
import zlib

import pytest

from galenascale.gateway.jobs.records import compress, decompress

# Largest memory of the compressor for a record of one item.
MEMORY_BYTES = 180 << 10


@pytest.mark.parametrize("size", [0, 1, 100, 15_000, 300_000])
@pytest.mark.parametrize("repeats", [False, True])
def test_compressed_data_is_read_back(size, repeats):
    """Guards records of both kinds, compressed and not."""
    rng = random.Random(size)
    data = (b"word " * size)[:size] if repeats else rng.randbytes(size)
    assert decompress(compress(data)) == data


def test_record_of_an_earlier_build_is_read():
    """Guards stored records that were compressed with a larger window."""
    data = b"word " * 9000
    assert decompress(b"\1" + zlib.compress(data, 1)) == data


def test_compressor_needs_little_memory():
    """
    Guards small hosts, and the bound on memory in test_endless_bytes.py.

    The compressor's state was a third of the traced peak there.
    """
    data = b"word " * 3000
    tracemalloc.start()
    try:
        compress(data)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < MEMORY_BYTES
