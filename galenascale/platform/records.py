"""Binary framing of records in calls of the store, and keyed records."""

import struct

from galenascale.errors import DecodeError
from galenascale.store import ReadResult

_LENGTH = struct.Struct(">I")
# Header of a read response: offset of the next append, first kept offset.
_OFFSETS = struct.Struct(">QQ")


def frame_records(records):
    """Return the body of an append: each record after its length."""
    return b"".join(_LENGTH.pack(len(record)) + record for record in records)


def parse_read_response(data, offset):
    """
    Return the ReadResult of the response body of a read from `offset` on.

    Raise DecodeError if the body is truncated.
    """
    if len(data) < _OFFSETS.size:
        raise DecodeError("read response has no offsets", step="decode")
    next_offset, first_offset = _OFFSETS.unpack_from(data)
    records = []
    position = _OFFSETS.size
    while position < len(data):
        record, position = _parse_record(data, position)
        records.append((offset + len(records), record))
    return ReadResult(records, first_offset, next_offset)


def _parse_record(data, position):
    start = position + _LENGTH.size
    if start > len(data):
        raise DecodeError("length of a record is truncated", step="decode")
    end = start + _LENGTH.unpack_from(data, position)[0]
    if end > len(data):
        raise DecodeError("record is truncated", step="decode")
    return data[start:end], end


def encode_keyed_record(key, value):
    """Return a record of a keyed topic; an empty value removes the key."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def decode_keyed_record(record):
    """
    Return (key, value) of a keyed record; value is None for a removal.

    Raise DecodeError if the record is malformed.
    """
    if not record or len(record) < 1 + record[0]:
        raise DecodeError("keyed record is truncated", step="decode")
    end = 1 + record[0]
    try:
        key = record[1:end].decode()
    except UnicodeDecodeError as error:
        raise DecodeError(
            "key of a keyed record is not UTF-8", step="decode"
        ) from error
    return key, record[end:] or None
