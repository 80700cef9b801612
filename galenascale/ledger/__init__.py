"""State machine of shard streams: a pure fold of log records into a state.

Hosts that apply the same records reach the same state and the same verdicts.
Therefore nothing in this package does I/O or reads a clock or random numbers.
"""

from galenascale.ledger.apply import apply
from galenascale.ledger.snapshot import from_snapshot, to_snapshot
from galenascale.ledger.state import (
    CallEntry,
    Claim,
    FileEntry,
    JobEntry,
    ShardState,
    Verdict,
    VerdictStatus,
)

__all__ = [
    "CallEntry",
    "Claim",
    "FileEntry",
    "JobEntry",
    "ShardState",
    "Verdict",
    "VerdictStatus",
    "apply",
    "from_snapshot",
    "to_snapshot",
]
