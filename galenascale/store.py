"""Types and errors of a log store with topics, partitions and groups."""

import attrs

from galenascale.errors import Execution, GalenascaleError


class StoreUnavailable(GalenascaleError):
    """The store did not do the call."""

    code = "store_unavailable"
    http_status = 503


class StoreOutcomeUnknown(GalenascaleError):
    """The store may have done the call, or may do it later."""

    code = "store_outcome_unknown"
    http_status = 503
    execution = Execution.MAY_HAVE_RUN


class StoreFenced(GalenascaleError):
    """A conditional append came too late; nothing was appended."""

    code = "store_fenced"
    http_status = 409


class PartitionTrimmed(GalenascaleError):
    """Records that were asked for are deleted; reading goes on later."""

    code = "partition_trimmed"
    http_status = 410

    def __init__(self, first_kept_offset):
        super().__init__(f"records before {first_kept_offset} are deleted")
        self.first_kept_offset = first_kept_offset


STORE_ERRORS = (StoreUnavailable, StoreOutcomeUnknown)


@attrs.frozen
class KeyedRecord:
    """One record of a keyed topic; `value` is None if the key was dropped."""

    key: str
    value: bytes | None = attrs.field(repr=False)
    offset: int


@attrs.frozen
class Membership:
    """What a member of a group holds."""

    # Grows with each change of the group.
    generation: int
    partitions: tuple[int, ...]
