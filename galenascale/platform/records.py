"""Framing of the store's records: lengths, keys and bounds of reads."""

import struct

import attrs

from galenascale.errors import DecodeError

_LENGTH = struct.Struct(">I")
# The end of the partition and its first kept offset, before the records.
_BOUNDS = struct.Struct(">QQ")


@attrs.frozen
class ReadResult:
    """Records of a partition from an offset on."""

    records: list[bytes]
    # Offset after the last record of the partition.
    end_offset: int
    first_kept_offset: int


def frame(records):
    """Return the body of an append."""
    return b"".join(_LENGTH.pack(len(record)) + record for record in records)


def parse_read(data):
    """Return the ReadResult of a read's body; raise DecodeError if broken."""
    if len(data) < _BOUNDS.size:
        raise DecodeError("read has no bounds", step="decode")
    end_offset, first_kept_offset = _BOUNDS.unpack_from(data)
    records = []
    position = _BOUNDS.size
    while position < len(data):
        record, position = _parse_record(data, position)
        records.append(record)
    return ReadResult(records, end_offset, first_kept_offset)


def _parse_record(data, position):
    start = position + _LENGTH.size
    if start > len(data):
        raise DecodeError("length of a record is cut off", step="decode")
    end = start + _LENGTH.unpack_from(data, position)[0]
    if end > len(data):
        raise DecodeError("record is cut off", step="decode")
    return data[start:end], end


def make_keyed(key, value):
    """Return a record of a keyed topic; an empty value drops the key."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def parse_keyed(record):
    """Return (key, value) of a keyed record; value is None for a removal."""
    if not record or len(record) < 1 + record[0]:
        raise DecodeError("keyed record is cut off", step="decode")
    end = 1 + record[0]
    try:
        key = record[1:end].decode()
    except UnicodeDecodeError as error:
        raise DecodeError("key is not UTF-8", step="decode") from error
    return key, record[end:] or None
