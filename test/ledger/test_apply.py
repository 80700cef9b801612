"""Rules of the ledger, records of other releases, and malformed input."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale import codec, ledger
from galenascale.generated import messages
from galenascale.generated.messages import LogRecord, OutcomeStatus, RecordKind
from test.ledger.records import job, outcome, record

DAY_MS = 24 * 3600 * 1000
CLAIM = messages.ChunkClaim("job", 0, "a", "i", 1000)
INTENT = messages.CallIntent("call", "t", "booking-app", "d", "a", "i", 1, 9000)


def apply_all(*items):
    """Apply messages or records; return the state and all verdicts."""
    state = ledger.ShardState()
    verdicts = []
    for offset, item in enumerate(items):
        item = item if isinstance(item, LogRecord) else record(item)
        verdicts.append(ledger.apply(state, "work.0", offset, 0, item))
        state.through_offset = offset
    return state, verdicts


def call_outcome(status, intent_offset=0):
    """Return a CallOutcome of the call in INTENT."""
    return messages.CallOutcome("call", intent_offset, status, 200, "", b"x")


@pytest.mark.parametrize(
    ("items", "status", "reason"),
    [
        ([INTENT, INTENT], "duplicate", "repeated"),
        ([INTENT, call_outcome(OutcomeStatus.SUCCEEDED), INTENT], "duplicate", ""),
        ([INTENT, call_outcome(OutcomeStatus.MAY_HAVE_RUN), INTENT], "duplicate", ""),
        ([INTENT, call_outcome(OutcomeStatus.NOT_RUN), INTENT], "valid", ""),
        (
            [INTENT, call_outcome(OutcomeStatus.NOT_RUN), INTENT, call_outcome(1)],
            "conflict",
            "intent is not current",
        ),
        ([INTENT, call_outcome(1), call_outcome(3)], "conflict", "has an outcome"),
        (
            [INTENT, messages.CallIntent("call", "t", "s", "other")],
            "conflict",
            "another body",
        ),
        ([messages.TimeMark(9000), INTENT], "conflict", "past its expiry"),
        ([job(), job()], "duplicate", ""),
        ([job(expires_ms=5), messages.TimeMark(5), job(expires_ms=5)], "conflict", ""),
        ([messages.TimeMark(5), messages.TimeMark(6 + DAY_MS)], "conflict", "ahead"),
        ([job(), CLAIM, CLAIM], "conflict", "another claim"),
        ([job(chunks=(1,)), messages.ChunkClaim("job", 4)], "invalid", ""),
        (
            [job(chunks=(1,)), messages.Outcomes("job", 0, -1, [outcome(0)]), CLAIM],
            "conflict",
            "not open",
        ),
        (
            [
                job(),
                messages.Outcomes("job", 0, -1, [outcome(0)]),
                messages.Outcomes("job", 0, -1, [outcome(0)]),
            ],
            "conflict",
            "no item takes",
        ),
        (
            [job(idempotent=False), messages.Outcomes("job", 0, -1, [outcome(0)])],
            "conflict",
            "no item",
        ),
        (
            [
                job(idempotent=False),
                CLAIM,
                messages.ItemIntent("job", 0, 1, [0]),
                messages.ChunkClaim("job", 0, "b", "i", 1000, supersedes=1),
                messages.ItemIntent("job", 0, 3, [0]),
            ],
            "conflict",
            "dispatched before",
        ),
        ([LogRecord("x", RecordKind.JOB_CREATED, 1, b"\xff")], "invalid", "decoded"),
        ([LogRecord("x", 999, 1, b"")], "unknown_kind", ""),
        ([LogRecord("x", RecordKind.JOB_CREATED, 2, b"")], "unknown_kind", ""),
        (
            [messages.ServerClaim("s", "a"), messages.ServerClaim("s", "b")],
            "conflict",
            "another claim",
        ),
        (
            [
                messages.ServerClaim("s", "a"),
                messages.ServerClaim("s", "b", supersedes=0),
                messages.ServerOrder("s", 0),
            ],
            "conflict",
            "not current",
        ),
    ],
)
def test_last_verdict(items, status, reason):
    """Guards each rule that decides a race by position in the log."""
    _, verdicts = apply_all(*items)
    assert verdicts[-1].status == status
    assert reason in verdicts[-1].reason


def test_superseding_holder_may_only_report_may_have_run():
    """Guards against a second execution of a non-idempotent item."""
    claim_again = messages.ChunkClaim("job", 0, "b", "i", 1000, supersedes=1)
    state, verdicts = apply_all(
        job(idempotent=False),
        CLAIM,
        messages.ItemIntent("job", 0, 1, [0]),
        claim_again,
        messages.Outcomes("job", 0, 3, [outcome(0)]),
        messages.Outcomes("job", 0, 3, [outcome(0, OutcomeStatus.MAY_HAVE_RUN)]),
        messages.Outcomes("job", 0, 1, [outcome(0)]),
    )
    assert [verdict.valid for verdict in verdicts[4:]] == [False, True, False]
    assert state.jobs_by_id["job"].final_status(0) == OutcomeStatus.MAY_HAVE_RUN


def test_cancel_reports_dispatched_items_as_may_have_run():
    """Guards against wrong final states of a cancelled non-idempotent job."""
    state, _ = apply_all(
        job(idempotent=False),
        CLAIM,
        messages.ItemIntent("job", 0, 1, [0]),
        messages.JobCancelled("job", "t", 1),
    )
    entry = state.jobs_by_id["job"]
    assert entry.final_status(0) == OutcomeStatus.MAY_HAVE_RUN
    assert entry.final_status(1) == OutcomeStatus.NOT_RUN


def test_carried_body_moves_the_position():
    """Guards against results that are lost when their record is trimmed."""
    original = messages.Position("work.0", 1, 0)
    copy = messages.Carried(original, RecordKind.OUTCOMES, 1, b"copy", entity_id="job")
    state, verdicts = apply_all(
        job(), messages.Outcomes("job", 0, -1, [outcome(0)]), copy, copy
    )
    entry = state.jobs_by_id["job"]
    assert [verdict.valid for verdict in verdicts[2:]] == [True, False]
    assert entry.outcome_positions == [messages.Position("work.0", 2, 0)]
    assert entry.outcome_indexes[0] == 0


def test_snapshot_keeps_unknown_fields_and_records():
    """Guards against an older release dropping data of a newer one."""
    body = codec.encode(job())[:-1] + b"\x66\x2a\x00"
    newer = LogRecord("new", RecordKind.JOB_CREATED, 1, body)
    state, verdicts = apply_all(newer, LogRecord("x", 999, 3, b"later"))
    assert verdicts[0].valid
    snapshot = codec.encode(ledger.to_snapshot(state))
    restored = ledger.from_snapshot(codec.decode(messages.ShardSnapshot, snapshot))
    assert restored.jobs_by_id["job"].raw_body == body
    assert restored.unknown_records[0].record.body == b"later"


@given(st.integers(0, 25), st.binary(max_size=60), st.integers(0, 3))
def test_malformed_records_never_raise(kind, body, version):
    """Guards against crashes on records that no release has written."""
    apply_all(job(), LogRecord("x", kind, version, body))


@given(st.binary(max_size=80))
def test_malformed_bytes_raise_only_decode_error(data):
    """Guards against other exceptions than DecodeError."""
    for message_type in (messages.LogBatch, messages.ShardSnapshot):
        try:
            codec.decode(message_type, data)
        except codec.DecodeError:
            continue
