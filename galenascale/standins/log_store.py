"""In-memory log with named streams, limited retention and faults."""

import collections

import attrs


@attrs.define
class Stream:
    """Records of one stream; `first_offset` is that of the oldest kept one."""

    first_offset: int = 0
    bodies: collections.deque = attrs.field(factory=collections.deque)

    @property
    def next_offset(self):
        """Offset of the next append."""
        return self.first_offset + len(self.bodies)


class LogStore:
    """Streams by name; each keeps at most `retention_records` records."""

    def __init__(self, retention_records=100_000):
        self.retention_records = retention_records
        self.streams_by_name = collections.defaultdict(Stream)

    def append(self, name, body):
        """Append a body and return its offset."""
        stream = self.streams_by_name[name]
        offset = stream.next_offset
        stream.bodies.append(bytes(body))
        self.trim(name)
        return offset

    def trim(self, name):
        """Drop the records of a stream beyond the retention."""
        stream = self.streams_by_name[name]
        while len(stream.bodies) > self.retention_records:
            stream.bodies.popleft()
            stream.first_offset += 1

    def read(self, name, offset, limit, max_bytes=4_000_000):
        """Return (offset, body) pairs from an offset on, bounded in size."""
        stream = self.streams_by_name[name]
        records, size = [], 0
        for position in range(max(offset, stream.first_offset), stream.next_offset):
            body = stream.bodies[position - stream.first_offset]
            size += len(body)
            if len(records) >= limit or (records and size > max_bytes):
                break
            records.append((position, body))
        return records

    def bounds(self, name):
        """Return the first kept and the next offset of a stream."""
        stream = self.streams_by_name[name]
        return stream.first_offset, stream.next_offset
