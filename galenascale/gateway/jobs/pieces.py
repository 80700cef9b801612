"""
Bytes in the store that are larger than one record.

They are written to consecutive records of the topic of bodies. Whoever wrote
them then names them in a record of another topic; until then nobody reads
them, so a part of them is never taken for the whole.
"""

import attrs

from galenascale.codec import decode, encode
from galenascale.errors import DecodeError
from galenascale.gateway.jobs.records import group_by_size, split_bytes
from galenascale.gateway.store_sizes import READ_KB, append_limit, record_limit
from galenascale.generated.gateway_messages import JobRecord
from galenascale.store import StoreFenced, StoreUnavailable

BODIES_TOPIC = "bodies"
# KB that a read requests beyond the bytes, for record framing and rounding.
_READ_OVERHEAD_KB = 2
# Most records of a PieceRange that is read.
MAX_PIECES = 1 << 12
# Schema of records whose body is in pieces; others have an older one, which
# earlier builds read.
_SCHEMA_VERSION = 2


class PiecesMissing(StoreUnavailable):
    """The store holds no such records, and no later ones."""

    code = "pieces_missing"


@attrs.frozen
class PieceRange:
    """Records of a partition of the topic of bodies."""

    first_offset: int
    count: int
    # Total size in bytes.
    size: int


async def append_pieces(context, partition, pieces):
    """
    Append records to a partition of the topic of bodies, without a gap.

    Return the offset of the first. Raise the errors of the store, and
    StoreFenced if another writer was between.
    """
    groups = group_by_size(pieces, append_limit(context.settings.store))
    store = context.job_store
    first = await store.append(BODIES_TOPIC, partition, groups[0])
    end = first + len(groups[0])
    for group in groups[1:]:
        await store.append(BODIES_TOPIC, partition, group, expected_offset=end)
        end += len(group)
    return first


async def append_bytes(context, partition, data):
    """Append bytes in pieces and return their PieceRange; raise its errors."""
    pieces = split_bytes(data, record_limit(context.settings.store))
    try:
        first = await append_pieces(context, partition, pieces)
    except StoreFenced as error:
        # The pieces before the gap are named nowhere.
        raise StoreUnavailable(error.message, step="append_bytes") from error
    return PieceRange(first, len(pieces), len(data))


async def read_pieces(context, partition, pieces):
    """
    Return the bytes in a PieceRange.

    Raise PartitionTrimmed if they are deleted, PiecesMissing if they were
    never there, and StoreUnavailable if the store does not return them.
    """
    parts = []
    missing_bytes = pieces.size
    while len(parts) < pieces.count:
        missing_kb = max(0, missing_bytes) // 1024 + _READ_OVERHEAD_KB
        result = await context.job_store.read(
            BODIES_TOPIC,
            partition,
            pieces.first_offset + len(parts),
            max_kb=min(missing_kb, READ_KB),
        )
        if not result.records:
            raise PiecesMissing("store has no such records", step="read_pieces")
        wanted = result.records[: pieces.count - len(parts)]
        parts.extend(record for _, record in wanted)
        missing_bytes -= sum(len(record) for _, record in wanted)
    return b"".join(parts)


def encode_pointer(kind, job_id, pieces):
    """Return the bytes of a JobRecord whose body is in a PieceRange."""
    record = JobRecord(
        schema_version=_SCHEMA_VERSION,
        kind=int(kind),
        job_id=job_id,
        body_offset=pieces.first_offset,
        body_records=pieces.count,
        body_bytes=pieces.size,
    )
    return encode(record)


def find_pieces(data):
    """Return the PieceRange of a JobRecord's body, or None if it has none."""
    try:
        record = decode(JobRecord, data)
    except DecodeError:
        return None
    is_pointer = record.schema_version == _SCHEMA_VERSION
    if not is_pointer or not 0 < record.body_records <= MAX_PIECES:
        return None
    return PieceRange(record.body_offset, record.body_records, record.body_bytes)


def insert_body(data, body):
    """Return the bytes of a JobRecord with its body in it."""
    record = decode(JobRecord, data)
    record.body = body
    return encode(record)
