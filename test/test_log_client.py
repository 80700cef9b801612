"""Streams on the platform's store, over the published calls."""

import aiohttp
import pytest

from galenascale.log_client import LogClient, partition_of
from galenascale.platform.store import StoreClient
from galenascale.store import OffsetRange, StoreUnavailable


@pytest.fixture
async def client(store):
    """Return a client of streams in the stand-in."""
    async with aiohttp.ClientSession() as session:
        yield LogClient(StoreClient(f"http://{store.address}", session))


@pytest.mark.parametrize(
    ("stream", "partition"),
    [
        ("work.3", ("work", 3)),
        ("data.12", ("data", 12)),
        ("config", ("config", 0)),
        ("a.b", ("a.b", 0)),
        (".7", (".7", 0)),
    ],
)
def test_stream_is_a_partition_of_a_topic(stream, partition):
    """Guards the store's limit of topics against one topic a stream."""
    assert partition_of(stream) == partition


async def test_streams_do_not_mix_and_offsets_begin_at_zero(client):
    """Guards records against landing in the stream of another shard."""
    for number in range(4):
        body = b"%d" % number
        assert await client.append(f"work.{number % 2}", body) == number // 2
    result = await client.read("work.1", 0)
    assert result.records == [(0, b"1"), (1, b"3")]
    assert await client.bounds("work.1") == OffsetRange(0, 2)
    assert await client.bounds("work.2") == OffsetRange(0, 0)


@pytest.mark.parametrize(
    ("offset", "limit", "expected"),
    [(0, 500, [2, 3, 4]), (3, 1, [3]), (3, 500, [3, 4]), (4, 2, [4]), (5, 9, [])],
)
async def test_read_skips_what_is_deleted_and_keeps_its_limit(
    store, client, offset, limit, expected
):
    """Guards followers against offsets that shift after records expire."""
    for number in range(5):
        await client.append("work.0", b"%d" % number)
    store.state.partition("work", 0).trim(2)
    result = await client.read("work.0", offset, limit)
    assert result.records == [(number, b"%d" % number) for number in expected]
    assert (result.first_offset, result.next_offset) == (2, 5)
    assert await client.bounds("work.0") == OffsetRange(2, 5)


@pytest.mark.parametrize("refusal", ["busy", "many", "reset"])
async def test_failed_read_has_no_open_outcome(store, client, refusal):
    """Guards readers against an error that says something may have run."""
    store.faults.failure_mode_by_client["*"] = refusal
    with pytest.raises(StoreUnavailable):
        await client.read("work.0", 0)
