"""Fold of the `config` stream: which change is valid and what is in force.

A change is valid only if it names the version that is current at its place in
the log, so of two racing changes the earlier one wins on every host. All
limits are rules of the fold and depend on nothing but the log, so that every
host computes the same state.
"""

import enum
import heapq

import attrs

from galenascale import codec
from galenascale.errors import DecodeError
from galenascale.generated.messages import (
    ConfigChange,
    ConfigEntryState,
    ConfigRawChange,
    ConfigSnapshot,
    ConfigVerdictState,
    KeptRecord,
    LogBatch,
    LogRecord,
    RecordKind,
)

READS_SCHEMA_VERSION = 1
CHANGE_TYPES_BY_VERSION = {1: ConfigChange}
# Change ids remembered for the recognition of second copies.
MAX_RECENT_CHANGES = 1000
# Deleted entries remembered so that conflicts can name them.
MAX_TOMBSTONES = 1000
# Entries that one verdict names; a change can touch thousands.
MAX_NAMED_ENTRIES = 20
# Bodies of records that this release does not read.
MAX_UNKNOWN_BYTES = 4_000_000


class ChangeStatus(enum.StrEnum):
    """How a configuration change ended."""

    VALID = "valid"
    DUPLICATE = "duplicate"
    CONFLICT = "conflict"
    UNKNOWN_KIND = "unknown_kind"
    MALFORMED = "malformed"
    SNAPSHOT = "snapshot"


@attrs.frozen
class ChangeVerdict:
    """Outcome of one change; `changed` names the entries that it ran into."""

    change_id: str
    status: ChangeStatus
    version: int
    changed: tuple[str, ...] = ()


@attrs.define
class ConfigState:
    """Entries in force by (kind, name); `version` is the last valid change."""

    version: int = -1
    through_offset: int = -1
    entries_by_key: dict = attrs.field(factory=dict)
    verdicts_by_change: dict = attrs.field(factory=dict)
    unknown_records: list = attrs.field(factory=list)
    # Bodies with unknown fields by version, while an entry comes from them.
    raw_by_version: dict = attrs.field(factory=dict)
    pruned_version: int = -1
    restarted_at: int = attrs.field(default=-1, eq=False)
    malformed_records: int = 0
    dropped_unknown_records: int = 0
    # Keys installed since the caller last took them.
    touched: set = attrs.field(factory=set, eq=False)
    _tombstones: int = attrs.field(default=0, eq=False)
    _unknown_bytes: int = attrs.field(default=0, eq=False)


def apply_body(state, offset, body, change_types=CHANGE_TYPES_BY_VERSION):
    """
    Apply one append at its offset; return the verdicts of its records.

    Bytes that are no LogBatch are counted and skipped.
    """
    verdicts = []
    try:
        batch = codec.decode(LogBatch, body)
    except DecodeError:
        state.malformed_records += 1
    else:
        if batch.schema_version > READS_SCHEMA_VERSION:
            whole = LogRecord("", 0, batch.schema_version, body)
            _keep_unknown(state, KeptRecord(offset, 0, whole))
        else:
            verdicts = [
                apply_record(state, offset, index, record, change_types)
                for index, record in enumerate(batch.records)
            ]
    state.through_offset = offset
    return verdicts


def apply_record(state, offset, index, record, change_types=CHANGE_TYPES_BY_VERSION):
    """Apply one record at its place in the log and return its verdict."""
    if record.kind == RecordKind.SNAPSHOT_PART:
        return ChangeVerdict(record.record_id, ChangeStatus.SNAPSHOT, state.version)
    change_type = change_types.get(record.schema_version)
    if record.kind != RecordKind.CONFIG_CHANGE or change_type is None:
        _keep_unknown(state, KeptRecord(offset, index, record))
        return ChangeVerdict(record.record_id, ChangeStatus.UNKNOWN_KIND, state.version)
    try:
        change = codec.decode(change_type, record.body)
    except DecodeError:
        change = None
    if change is None or not change.change_id:
        state.malformed_records += 1
        return ChangeVerdict(record.record_id, ChangeStatus.MALFORMED, state.version)
    earlier = state.verdicts_by_change.get(change.change_id)
    if earlier is not None:
        return attrs.evolve(earlier, status=ChangeStatus.DUPLICATE)
    verdict = _judge(state, offset, change)
    if verdict.status == ChangeStatus.VALID:
        _install(state, offset, change, record.body)
    state.verdicts_by_change[change.change_id] = verdict
    while len(state.verdicts_by_change) > MAX_RECENT_CHANGES:
        state.verdicts_by_change.pop(next(iter(state.verdicts_by_change)))
    return verdict


def changed_since(state, version, keys=None):
    """
    Return the names of entries that changed after a version.

    With `keys`, only those; an entry that may have been deleted and forgotten
    since the version counts as changed.
    """
    if keys is None:
        items = state.entries_by_key.items()
        changed = [key for key, item in items if item.changed_version > version]
    else:
        changed = [key for key in keys if _may_have_changed(state, version, key)]
    return tuple(f"{kind}/{name}" for kind, name in changed)


def _may_have_changed(state, version, key):
    item = state.entries_by_key.get(key)
    if item is None:
        return state.pruned_version > version
    return item.changed_version > version


def _judge(state, offset, change):
    if change.restart_at >= 0:
        # Depends on nothing before the record, as its readers may lack that.
        # A second copy lies at another offset and reverts nothing.
        valid = change.restart_at == offset
    else:
        # A base at or after the change's own place cannot have been read.
        valid = change.base_version == state.version < offset
    if valid:
        return ChangeVerdict(change.change_id, ChangeStatus.VALID, offset)
    changed = changed_since(state, change.base_version)[:MAX_NAMED_ENTRIES]
    return ChangeVerdict(
        change.change_id, ChangeStatus.CONFLICT, state.version, changed
    )


def _install(state, offset, change, body):
    state.version = offset
    replaced = set()
    if change.restart_at >= 0:
        state.touched |= state.entries_by_key.keys()
        state.entries_by_key.clear()
        state.raw_by_version.clear()
        state.pruned_version, state._tombstones = offset, 0
        state.restarted_at = offset
    for entry in change.entries:
        key = (entry.kind, entry.name)
        # Deleted entries stay as tombstones, so that conflicts can name them.
        earlier = state.entries_by_key.get(key)
        if earlier is not None:
            state._tombstones -= earlier.entry.deleted
            replaced.add(earlier.changed_version)
        state.entries_by_key[key] = ConfigEntryState(entry, offset)
        state._tombstones += entry.deleted
        state.touched.add(key)
    if codec.encode(change) != body:
        state.raw_by_version[offset] = body
    if state._tombstones > MAX_TOMBSTONES:
        replaced |= _prune_tombstones(state)
    _drop_unused_raw(state, replaced | {offset})


def _prune_tombstones(state):
    """Forget the oldest tombstones and return the versions they came from."""
    excess = heapq.nsmallest(
        state._tombstones - MAX_TOMBSTONES,
        (
            (item.changed_version, key)
            for key, item in state.entries_by_key.items()
            if item.entry.deleted
        ),
    )
    for version, key in excess:
        del state.entries_by_key[key]
        state.pruned_version = max(state.pruned_version, version)
    state._tombstones -= len(excess)
    return {version for version, _ in excess}


def _drop_unused_raw(state, versions):
    suspects = versions & state.raw_by_version.keys()
    if suspects:
        used = {item.changed_version for item in state.entries_by_key.values()}
        for version in suspects - used:
            del state.raw_by_version[version]


def _keep_unknown(state, kept):
    state.unknown_records.append(kept)
    state._unknown_bytes += len(kept.record.body)
    while state._unknown_bytes > MAX_UNKNOWN_BYTES or (
        len(state.unknown_records) > MAX_RECENT_CHANGES
    ):
        oldest = state.unknown_records.pop(0)
        state._unknown_bytes -= len(oldest.record.body)
        state.dropped_unknown_records += 1


def lacks_readable(state, change_types=CHANGE_TYPES_BY_VERSION):
    """
    Tell whether changes that this release reads were not acted on.

    Such a state was folded by an older release and can be behind.
    """
    return any(
        kept.record.kind == RecordKind.CONFIG_CHANGE
        and kept.record.schema_version in change_types
        for kept in state.unknown_records
    )


def to_snapshot(state):
    """Return the state as a message; entries keep their JSON verbatim."""
    return ConfigSnapshot(
        version=state.version,
        through_offset=state.through_offset,
        entries=list(state.entries_by_key.values()),
        unknown_records=list(state.unknown_records),
        recent_change_ids=list(state.verdicts_by_change),
        recent_verdicts=[
            ConfigVerdictState(
                item.change_id, str(item.status), item.version, list(item.changed)
            )
            for item in state.verdicts_by_change.values()
        ],
        raw_changes=[
            ConfigRawChange(*item) for item in sorted(state.raw_by_version.items())
        ],
        pruned_version=state.pruned_version,
        malformed_records=state.malformed_records,
        dropped_unknown_records=state.dropped_unknown_records,
    )


def from_snapshot(snapshot):
    """
    Return the state that a snapshot message holds.

    Raise DecodeError for a message that no fold can have produced.
    """
    if not -1 <= snapshot.version <= snapshot.through_offset:
        raise DecodeError("snapshot is newer than the records it covers")
    state = ConfigState(snapshot.version, snapshot.through_offset)
    for item in snapshot.entries:
        if item.entry is None or not 0 <= item.changed_version <= snapshot.version:
            raise DecodeError("snapshot holds an entry of a later version")
        state.entries_by_key[item.entry.kind, item.entry.name] = item
        state._tombstones += item.entry.deleted
    state.unknown_records = list(snapshot.unknown_records)
    if any(kept.record is None for kept in state.unknown_records):
        raise DecodeError("snapshot holds a kept record without content")
    state._unknown_bytes = sum(len(k.record.body) for k in state.unknown_records)
    for item in snapshot.recent_verdicts:
        try:
            status = ChangeStatus(item.status)
        except ValueError as error:
            raise DecodeError("snapshot holds an unknown verdict") from error
        state.verdicts_by_change[item.change_id] = ChangeVerdict(
            item.change_id, status, item.version, tuple(item.changed)
        )
    state.raw_by_version = {item.offset: item.body for item in snapshot.raw_changes}
    state.pruned_version = snapshot.pruned_version
    state.malformed_records = snapshot.malformed_records
    state.dropped_unknown_records = snapshot.dropped_unknown_records
    return state
