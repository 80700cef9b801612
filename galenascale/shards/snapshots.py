"""Splitting of snapshots into parts and putting them together again."""

import uuid

from galenascale import codec
from galenascale.errors import DecodeError
from galenascale.generated.messages import LogBatch, LogRecord, RecordKind, SnapshotPart

PART_BYTES = 500_000


def split_snapshot(content, through_offset, part_bytes=PART_BYTES):
    """Return SNAPSHOT_PART records that hold the encoded snapshot."""
    snapshot_id = uuid.uuid4().hex
    pieces = [
        content[start : start + part_bytes]
        for start in range(0, len(content), part_bytes)
    ] or [b""]
    return [
        LogRecord(
            f"{snapshot_id}-{number}",
            RecordKind.SNAPSHOT_PART,
            1,
            codec.encode(
                SnapshotPart(snapshot_id, number, len(pieces), through_offset, piece)
            ),
        )
        for number, piece in enumerate(pieces)
    ]


class SnapshotAssembler:
    """Collects parts in any order until one snapshot is whole."""

    def __init__(self):
        self._parts_by_id = {}

    def add(self, body, min_through_offset):
        """
        Take the parts in a batch body; return the content of a whole snapshot.

        Snapshots that cover less than `min_through_offset` are passed over.
        """
        try:
            batch = codec.decode(LogBatch, body)
        except DecodeError:
            return None
        for record in batch.records:
            if record.kind != RecordKind.SNAPSHOT_PART:
                continue
            content = self._add_part(record, min_through_offset)
            if content is not None:
                return content
        return None

    def _add_part(self, record, min_through_offset):
        try:
            part = codec.decode(SnapshotPart, record.body)
        except DecodeError:
            return None
        if part.through_offset < min_through_offset:
            return None
        parts = self._parts_by_id.setdefault(part.snapshot_id, {})
        parts[part.part] = part.content
        if len(parts) < part.part_count:
            return None
        return b"".join(parts[number] for number in range(part.part_count))
