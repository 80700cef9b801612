"""Framing of the store's records: lengths, keys and bounds of reads."""

import struct

from galenascale.errors import DecodeError
from galenascale.store import ReadResult

_LENGTH = struct.Struct(">I")
# Offset of the next append and first kept offset, before the records.
_OFFSETS = struct.Struct(">QQ")


def frame_records(records):
    """Return the body of an append."""
    return b"".join(_LENGTH.pack(len(record)) + record for record in records)


def parse_read_response(data, offset):
    """
    Return the ReadResult of the body of a read from an offset on.

    Raise DecodeError if the body is broken.
    """
    if len(data) < _OFFSETS.size:
        raise DecodeError("read has no bounds", step="decode")
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
        raise DecodeError("length of a record is cut off", step="decode")
    end = start + _LENGTH.unpack_from(data, position)[0]
    if end > len(data):
        raise DecodeError("record is cut off", step="decode")
    return data[start:end], end


def encode_keyed_record(key, value):
    """Return a record of a keyed topic; an empty value drops the key."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def decode_keyed_record(record):
    """Return (key, value) of a keyed record; value is None for a removal."""
    if not record or len(record) < 1 + record[0]:
        raise DecodeError("keyed record is cut off", step="decode")
    end = 1 + record[0]
    try:
        key = record[1:end].decode()
    except UnicodeDecodeError as error:
        raise DecodeError("key is not UTF-8", step="decode") from error
    return key, record[end:] or None
