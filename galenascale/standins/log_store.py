"""In-memory log of named streams with limited retention."""

import collections

import attrs


@attrs.define
class LogStream:
    """Records of one stream; the first has the offset `first_offset`."""

    first_offset: int = 0
    records: list = attrs.field(factory=list)

    @property
    def next_offset(self):
        """Offset that the next appended record gets."""
        return self.first_offset + len(self.records)

    def trim(self, before):
        """Delete the records below an offset."""
        count = max(0, min(before, self.next_offset) - self.first_offset)
        del self.records[:count]
        self.first_offset += count


class LogStore:
    """Named streams that keep at most `retention_records` records each."""

    def __init__(self, retention_records=100_000):
        self.retention_records = retention_records
        self.streams_by_name = collections.defaultdict(LogStream)

    def append(self, name, body):
        """Append a record to a stream and return its offset."""
        stream = self.streams_by_name[name]
        offset = stream.next_offset
        stream.records.append(bytes(body))
        self.trim(name)
        return offset

    def trim(self, name):
        """Delete the oldest records of a stream beyond the retention limit."""
        stream = self.streams_by_name[name]
        stream.trim(stream.next_offset - self.retention_records)

    def read(self, name, offset, limit, max_bytes=4_000_000):
        """
        Return (offset, record) pairs from an offset on.

        They are at most `limit` records and `max_bytes` bytes, but at least
        one record if there is any.
        """
        stream = self.streams_by_name[name]
        records, size = [], 0
        for position in range(max(offset, stream.first_offset), stream.next_offset):
            body = stream.records[position - stream.first_offset]
            size += len(body)
            if len(records) >= limit or (records and size > max_bytes):
                break
            records.append((position, body))
        return records

    def bounds(self, name):
        """Return the first and the next offset of a stream."""
        stream = self.streams_by_name[name]
        return stream.first_offset, stream.next_offset
