"""Encoding of job records and of item bodies for the store."""

import zlib

from galenascale.codec import decode, encode
from galenascale.errors import DecodeError
from galenascale.generated.gateway_messages import JobRecord

# Bodies and texts are compressed, as bytes at the store are dear. The lowest
# level is enough, as most of the gain is in base64 and repeated words.
COMPRESSION_LEVEL = 1
_UNCOMPRESSED = b"\0"
_COMPRESSED = b"\1"


def encode_record(kind, job_id, body=None):
    """Return the bytes of a record; `body` is a message or None."""
    data = compress(encode(body)) if body is not None else b""
    return encode(JobRecord(kind=int(kind), job_id=job_id, body=data))


def decode_body(kind, data):
    """Return the message in a record's body; raise DecodeError if broken."""
    try:
        return decode(kind, decompress(data))
    except ValueError as error:
        raise DecodeError(str(error), step="decode") from error


def compress(data):
    """Return the data, compressed where that makes it shorter."""
    compressed = zlib.compress(data, COMPRESSION_LEVEL)
    if len(compressed) < len(data):
        return _COMPRESSED + compressed
    return _UNCOMPRESSED + data


def decompress(data):
    """Reverse `compress`; raise ValueError for data in no known form."""
    if data[:1] == _UNCOMPRESSED:
        return data[1:]
    if data[:1] != _COMPRESSED:
        raise ValueError("unknown form of packed data")
    try:
        return zlib.decompress(data[1:])
    except zlib.error as error:
        raise ValueError(f"packed data is broken: {error}") from error


def split_bytes(data, size):
    """Return the data in pieces of at most a size, at least one."""
    return [data[start : start + size] for start in range(0, len(data), size)] or [b""]


def group_by_size(records, limit):
    """Return the records in runs whose sizes sum up to a limit at most."""
    groups = [[]]
    size = 0
    for record in records:
        if groups[-1] and size + len(record) > limit:
            groups.append([])
            size = 0
        groups[-1].append(record)
        size += len(record)
    return groups
