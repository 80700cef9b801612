"""Encodes job records and item bodies for the store."""

import zlib

from galenascale.codec import decode, encode
from galenascale.errors import DecodeError
from galenascale.generated.gateway_messages import JobRecord

# Bodies and texts are compressed because bytes in the store are expensive. The
# lowest level is enough, as most of the gain comes from base64 and repeated
# words.
COMPRESSION_LEVEL = 1
# Window and hash table of the compressor as powers of two, for about 128 KB of
# memory; zlib's defaults take 268 KB for each record, however small.
COMPRESSION_WINDOW_BITS = 14
COMPRESSION_MEMORY_LEVEL = 7
# First byte of the stored data, which says whether the rest is compressed.
_UNCOMPRESSED = b"\0"
_COMPRESSED = b"\1"


def encode_body(body):
    """Return the bytes of a record's body, a message or None."""
    return compress(encode(body)) if body is not None else b""


def encode_record(kind, job_id, body=None):
    """Return the bytes of a record; `body` is a message or None."""
    return encode(JobRecord(kind=int(kind), job_id=job_id, body=encode_body(body)))


def decode_body(kind, data):
    """Return the message in a record's body; raise DecodeError if corrupt."""
    try:
        return decode(kind, decompress(data))
    except ValueError as error:
        raise DecodeError(str(error), step="decode") from error


def compress(data):
    """Return the data with a marker byte, compressed if that is shorter."""
    compressor = zlib.compressobj(
        COMPRESSION_LEVEL,
        wbits=COMPRESSION_WINDOW_BITS,
        memLevel=COMPRESSION_MEMORY_LEVEL,
    )
    compressed = compressor.compress(data) + compressor.flush()
    if len(compressed) < len(data):
        return _COMPRESSED + compressed
    return _UNCOMPRESSED + data


def decompress(data):
    """Return the data passed to `compress`; raise ValueError if corrupt."""
    if data[:1] == _UNCOMPRESSED:
        return data[1:]
    if data[:1] != _COMPRESSED:
        raise ValueError("compression marker is neither 0 nor 1")
    try:
        return zlib.decompress(data[1:])
    except zlib.error as error:
        raise ValueError(f"compressed data is corrupt: {error}") from error


def split_bytes(data, size):
    """Return at least one piece of the data, each of at most `size` bytes."""
    return [data[start : start + size] for start in range(0, len(data), size)] or [b""]


def group_by_size(entries, limit, size_of=len):
    """
    Return entries in groups of at most `limit` bytes, in their order.

    `size_of` returns the bytes of one. One that is larger than the limit forms
    a group of its own; no entries form no group.
    """
    groups = []
    size = 0
    for entry in entries:
        if not groups or size + size_of(entry) > limit:
            groups.append([])
            size = 0
        groups[-1].append(entry)
        size += size_of(entry)
    return groups
