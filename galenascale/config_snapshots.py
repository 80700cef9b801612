"""Snapshots of the configuration as sequences of SNAPSHOT_PART records.

The id of a snapshot is the digest of its content, so hosts that write the same
state write the same parts, and a reader can check what it has put together.
"""

import attrs

from galenascale import codec, config_state
from galenascale.errors import DecodeError
from galenascale.generated.messages import (
    ConfigSnapshot,
    LogBatch,
    LogRecord,
    RecordKind,
    SnapshotPart,
)
from galenascale.hashing import content_digest

# Limits for snapshots that are not complete, against junk in the stream.
MAX_PARTS = 1024
MAX_PENDING_SNAPSHOTS = 4
MAX_PENDING_BYTES = 1 << 25
# Room in an append for the fields around the content of a part.
PART_OVERHEAD_BYTES = 1000


def split(state, max_append_bytes):
    """Return the bodies of the appends that hold a snapshot of the state."""
    content = codec.encode(config_state.to_snapshot(state))
    size = max(1, max_append_bytes - PART_OVERHEAD_BYTES, len(content) // MAX_PARTS + 1)
    pieces = [content[at : at + size] for at in range(0, len(content), size)]
    snapshot_id = content_digest(content)
    return [
        _encode_part(
            SnapshotPart(snapshot_id, part, len(pieces), state.through_offset, piece)
        )
        for part, piece in enumerate(pieces)
    ]


def _encode_part(part):
    record = LogRecord(
        f"{part.snapshot_id}/{part.part}",
        RecordKind.SNAPSHOT_PART,
        1,
        codec.encode(part),
    )
    return codec.encode(LogBatch(records=[record]))


def parts_of(body):
    """Return the readable parts in an append and its count of records."""
    try:
        records = codec.decode(LogBatch, body).records
    except DecodeError:
        return [], 1
    parts = []
    for record in records:
        if record.kind == RecordKind.SNAPSHOT_PART and record.schema_version == 1:
            try:
                parts.append(codec.decode(SnapshotPart, record.body))
            except DecodeError:
                continue
    return parts, len(records)


@attrs.define
class _Pending:
    part_count: int
    contents_by_part: dict = attrs.field(factory=dict)

    @property
    def size(self):
        return sum(len(item) for item in self.contents_by_part.values())


class Assembler:
    """
    Puts parts together; `complete` is the state of the best snapshot.

    Snapshots through an offset below `min_through` are left out. One written
    by an older release that did not act on every change is taken only if
    there is no other.
    """

    def __init__(
        self, min_through=-1, change_types=config_state.CHANGE_TYPES_BY_VERSION
    ):
        self.complete = None
        self._min_through = min_through
        self._change_types = change_types
        self._pending_by_id = {}

    def add(self, part):
        """Take one part; return True when it completes a valid snapshot."""
        if not 0 <= part.part < part.part_count <= MAX_PARTS:
            return False
        pending = self._pending_by_id.setdefault(
            part.snapshot_id, _Pending(part.part_count)
        )
        if pending.part_count == part.part_count:
            pending.contents_by_part.setdefault(part.part, part.content)
        if len(pending.contents_by_part) < pending.part_count:
            self._limit()
            return False
        del self._pending_by_id[part.snapshot_id]
        return self._finish(part.snapshot_id, pending)

    def _finish(self, snapshot_id, pending):
        parts = pending.contents_by_part
        content = b"".join(parts[number] for number in range(pending.part_count))
        if content_digest(content) != snapshot_id:
            return False
        try:
            state = config_state.from_snapshot(codec.decode(ConfigSnapshot, content))
        except DecodeError:
            return False
        if state.through_offset < self._min_through:
            return False
        if self.complete and self._rank(self.complete) > self._rank(state):
            return False
        self.complete = state
        return True

    def _rank(self, state):
        lacking = config_state.lacks_readable(state, self._change_types)
        return not lacking, state.through_offset

    def _limit(self):
        pending = self._pending_by_id
        while len(pending) > MAX_PENDING_SNAPSHOTS or (
            len(pending) > 1
            and sum(item.size for item in pending.values()) > MAX_PENDING_BYTES
        ):
            del pending[next(iter(pending))]
