"""Types and errors of a log store with topics, partitions and groups."""

import attrs

from galenascale.errors import Execution, GalenascaleError


class StoreUnavailable(GalenascaleError):
    """The store did not apply the call; nothing was appended."""

    code = "log_unavailable"
    http_status = 503


class StoreRefused(StoreUnavailable):
    """The store refuses the call as such, and will refuse it again."""

    code = "log_refused"


class StoreOutcomeUnknown(GalenascaleError):
    """The store may have applied a write or still apply it; reads show it."""

    code = "append_unknown"
    http_status = 503
    execution = Execution.MAY_HAVE_RUN


class StoreFenced(GalenascaleError):
    """A conditional append had a stale offset; nothing was appended."""

    code = "store_fenced"
    http_status = 409


class PartitionTrimmed(GalenascaleError):
    """Requested records are deleted; the first kept offset is given."""

    code = "partition_trimmed"
    http_status = 410

    def __init__(self, first_kept_offset):
        super().__init__(f"records before {first_kept_offset} are deleted")
        self.first_kept_offset = first_kept_offset


STORE_ERRORS = (StoreUnavailable, StoreOutcomeUnknown)


@attrs.frozen
class OffsetRange:
    """First kept offset of a partition and the offset of its next append."""

    first_offset: int
    next_offset: int


@attrs.frozen
class ReadResult:
    """Records as (offset, body) pairs, with the bounds of the partition."""

    records: list[tuple[int, bytes]]
    first_offset: int
    next_offset: int


@attrs.frozen
class KeyedRecord:
    """One record of a keyed topic; `value` is None if the key was removed."""

    key: str
    value: bytes | None = attrs.field(repr=False)
    offset: int


@attrs.frozen
class KeyedReadResult:
    """Records of a keyed topic in the order of the log."""

    records: list[KeyedRecord]
    # Offset of the next read.
    next_offset: int
    # Whether the topic held no further record.
    is_at_end: bool
    # Why records were left out that could not be read.
    broken: tuple[str, ...] = ()


@attrs.frozen
class Membership:
    """Generation and assigned partitions of a member of a group."""

    # Increases with each change of the group.
    generation: int
    partitions: tuple[int, ...]
