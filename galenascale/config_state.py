"""Fold of the `config` stream: which change is valid and what is in force.

A change is valid only if it names the version that is current at its place in
the log, so of two racing changes the earlier one wins on every host.
"""

import enum

import attrs

from galenascale import codec
from galenascale.generated.messages import (
    ConfigChange,
    ConfigEntryState,
    ConfigSnapshot,
    KeptRecord,
    RecordKind,
)

READS_SCHEMA_VERSION = 1
# Change ids remembered for the recognition of second copies.
MAX_RECENT_CHANGES = 1000


class ChangeStatus(enum.StrEnum):
    """How a configuration change ended."""

    VALID = "valid"
    DUPLICATE = "duplicate"
    CONFLICT = "conflict"
    UNKNOWN_KIND = "unknown_kind"


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


def apply_record(state, offset, index, record):
    """Apply one record at its place in the log and return its verdict."""
    if (
        record.kind != RecordKind.CONFIG_CHANGE
        or record.schema_version > READS_SCHEMA_VERSION
    ):
        if record.kind != RecordKind.SNAPSHOT_PART:
            state.unknown_records.append(KeptRecord(offset, index, record))
        return ChangeVerdict(record.record_id, ChangeStatus.UNKNOWN_KIND, state.version)
    change = codec.decode(ConfigChange, record.body)
    earlier = state.verdicts_by_change.get(change.change_id)
    if earlier is not None:
        return attrs.evolve(earlier, status=ChangeStatus.DUPLICATE)
    verdict = _judge(state, offset, change)
    if verdict.status == ChangeStatus.VALID:
        _install(state, offset, change)
    state.verdicts_by_change[change.change_id] = verdict
    while len(state.verdicts_by_change) > MAX_RECENT_CHANGES:
        state.verdicts_by_change.pop(next(iter(state.verdicts_by_change)))
    return verdict


def changed_since(state, version):
    """Return the names of entries that changed after a version."""
    return tuple(
        f"{kind}/{name}"
        for (kind, name), entry in state.entries_by_key.items()
        if entry.changed_version > version
    )


def _judge(state, offset, change):
    if change.base_version == state.version:
        return ChangeVerdict(change.change_id, ChangeStatus.VALID, offset)
    return ChangeVerdict(
        change.change_id,
        ChangeStatus.CONFLICT,
        state.version,
        changed_since(state, change.base_version),
    )


def _install(state, offset, change):
    state.version = offset
    for entry in change.entries:
        # Deleted entries stay as tombstones, so that conflicts can name them.
        state.entries_by_key[entry.kind, entry.name] = ConfigEntryState(entry, offset)


def to_snapshot(state):
    """Return the state as a message; entries keep their JSON verbatim."""
    return ConfigSnapshot(
        version=state.version,
        through_offset=state.through_offset,
        entries=list(state.entries_by_key.values()),
        unknown_records=list(state.unknown_records),
        recent_change_ids=list(state.verdicts_by_change),
    )


def from_snapshot(snapshot):
    """Return the state that a snapshot message holds."""
    state = ConfigState(snapshot.version, snapshot.through_offset)
    for item in snapshot.entries:
        state.entries_by_key[item.entry.kind, item.entry.name] = item
    state.unknown_records = list(snapshot.unknown_records)
    for change_id in snapshot.recent_change_ids:
        state.verdicts_by_change[change_id] = ChangeVerdict(
            change_id, ChangeStatus.DUPLICATE, snapshot.version
        )
    return state
