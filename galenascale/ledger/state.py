"""State of one shard stream.

The bodies of inputs and outcomes stay in the log; the state holds their
positions and a few bytes for each item.
"""

import array
import enum

import attrs

from galenascale.generated.messages import OutcomeStatus, Position

# Status of an item or call without an outcome.
NO_OUTCOME = 0
# Index of an item without an outcome in JobEntry.outcome_indexes.
NO_OUTCOME_INDEX = -1


class VerdictStatus(enum.StrEnum):
    """Effect of a record at its position in the log."""

    VALID = "valid"
    DUPLICATE = "duplicate"
    CONFLICT = "conflict"
    UNKNOWN_KIND = "unknown_kind"
    INVALID = "invalid"


@attrs.frozen
class Verdict:
    """Verdict on a record; `entity_id` is the id of the entity concerned."""

    record_id: str
    offset: int
    index: int
    status: VerdictStatus
    reason: str = ""
    entity_id: str = ""

    @property
    def valid(self):
        """True if the record took effect here or at an earlier position."""
        return self.status == VerdictStatus.VALID


@attrs.frozen
class Claim:
    """A lease with its raw record body; `offset` is the fencing token."""

    raw_body: bytes
    offset: int
    holder: str
    incarnation: str
    lease_ms: int


@attrs.define
class FileEntry:
    """An uploaded file with the positions of its chunks."""

    raw_body: bytes
    offset: int
    created: object
    chunk_positions: list[Position]


@attrs.define
class CallEntry:
    """A non-idempotent call with its current intent and its outcome."""

    raw_body: bytes
    offset: int
    intent: object
    status: int = NO_OUTCOME
    outcome_position: Position | None = None


@attrs.define
class JobEntry:
    """A batch job with a status byte and an outcome index for each item."""

    raw_body: bytes
    offset: int
    created: object
    chunk_positions: list[Position]
    statuses: bytearray
    # Index in outcome_positions of the record with the item's outcome.
    outcome_indexes: array.array
    outcome_positions: list[Position] = attrs.field(factory=list)
    claims_by_chunk: dict[int, Claim] = attrs.field(factory=dict)
    # Offset of the claim under which each non-idempotent item was dispatched.
    intents_by_item: dict[int, int] = attrs.field(factory=dict)
    open_items: int = 0
    open_by_chunk: list[int] = attrs.field(factory=list)
    cancelled: bool = False
    due_passed: bool = False
    ended_ms: int = 0
    _first_items: list[int] = attrs.field(factory=list)

    @classmethod
    def from_created(cls, raw_body, offset, created):
        """Return the entry of a JobCreated message, without outcomes."""
        count = created.item_count
        return cls(
            raw_body=raw_body,
            offset=offset,
            created=created,
            chunk_positions=[chunk.position for chunk in created.chunks],
            statuses=bytearray(count),
            outcome_indexes=array.array("i", [NO_OUTCOME_INDEX]) * count,
            open_items=count,
            open_by_chunk=[chunk.item_count for chunk in created.chunks],
            first_items=[chunk.first_item for chunk in created.chunks],
        )

    @property
    def ended(self):
        """True if no further outcome can be recorded."""
        return self.cancelled or self.due_passed or self.open_items == 0

    def items_of(self, chunk):
        """Return the range of the item indexes of a chunk."""
        first = self._first_items[chunk]
        return range(first, first + self.created.chunks[chunk].item_count)

    def open_items_of(self, chunk):
        """Return the indexes of a chunk's items without an outcome."""
        return [item for item in self.items_of(chunk) if not self.statuses[item]]

    def final_status(self, item):
        """Return the OutcomeStatus of an item, or None while it is open."""
        if self.statuses[item]:
            return OutcomeStatus(self.statuses[item])
        if not self.ended:
            return None
        if item in self.intents_by_item:
            return OutcomeStatus.MAY_HAVE_RUN
        return OutcomeStatus.EXPIRED if self.due_passed else OutcomeStatus.NOT_RUN


@attrs.define
class ShardState:
    """State after all records of a shard stream up to `through_offset`."""

    through_offset: int = -1
    # Time of the latest valid mark, in milliseconds since the epoch.
    time_ms: int = 0
    files_by_id: dict[str, FileEntry] = attrs.field(factory=dict)
    jobs_by_id: dict[str, JobEntry] = attrs.field(factory=dict)
    job_ids_by_key: dict[tuple[str, str], str] = attrs.field(factory=dict)
    calls_by_id: dict[str, CallEntry] = attrs.field(factory=dict)
    leases_by_server: dict[str, Claim] = attrs.field(factory=dict)
    # (raw body, PoisonVerdict) by fingerprint.
    poison_by_fingerprint: dict[str, tuple] = attrs.field(factory=dict)
    unknown_records: list = attrs.field(factory=list)
    # Latest verdicts by record id in log order, to recognize second copies.
    recent_verdicts: dict[str, Verdict] = attrs.field(factory=dict)
