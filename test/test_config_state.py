"""Rules and limits of the fold, snapshots and foreign bytes."""

import contextlib

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale import codec, config_snapshots, config_state
from galenascale.config_state import ChangeStatus, ConfigState
from galenascale.configuration import Configuration
from galenascale.errors import DecodeError
from galenascale.generated import messages
from galenascale.generated.messages import ConfigChange, LogBatch, RecordKind
from galenascale.record_versions import choose_write_version
from test.config_fakes import NewerChange, change_body, entry, newer_body


def fold(*bodies, state=None, **more):
    """Return the state after the bodies, at the offsets that follow."""
    state = state or ConfigState()
    for offset, body in enumerate(bodies, state.through_offset + 1):
        config_state.apply_body(state, offset, body, **more)
    return state


def copy_through_log(state, max_append_bytes=1100):
    """Return the state after a way through snapshot parts."""
    assembler = config_snapshots.Assembler()
    for body in config_snapshots.split(state, max_append_bytes):
        for part in config_snapshots.parts_of(body)[0]:
            assembler.add(part)
    return assembler.complete


@pytest.mark.parametrize(
    ("record", "kept"),
    [
        ({"kind": 99}, "unknown"),
        ({"version": 2}, "unknown"),
        ({"batch_version": 2}, "unknown"),
        ({}, "raw"),
    ],
)
def test_newer_records_survive_a_snapshot_verbatim(record, kept):
    """Guards against loss of what only a newer release can read."""
    body = newer_body(**record)
    state = copy_through_log(fold(body))
    assert state == fold(body)
    raw = [item.record.body for item in state.unknown_records]
    raw += state.raw_by_version.values()
    assert len(raw) == 1
    assert b"OPS-1" in raw[0]
    assert bool(state.unknown_records) == (kept == "unknown")
    assert state.version == (0 if kept == "raw" else -1)
    if kept == "raw":
        replaced = fold(change_body("next", 0, [entry("t1", 2)]), state=state)
        assert replaced.raw_by_version == {}


def test_write_version_rises_only_when_every_host_reads_it():
    """Guards against changes that some live host would not apply."""
    types = {1: ConfigChange, 2: NewerChange}
    encoders = {1: lambda c: codec.encode(ConfigChange(c.change_id)), 2: codec.encode}
    change = NewerChange("n", -1, ticket="OPS-1")
    for lowest, reads, expected in [
        (None, (1, 2), 1),
        (1, (1, 2), 1),
        (2, (2, 2), 2),
        (3, (2, 3), 2),
    ]:
        version = choose_write_version(encoders, lowest)
        assert version == expected
        record = messages.LogRecord(
            "n", RecordKind.CONFIG_CHANGE, version, encoders[version](change)
        )
        body = codec.encode(LogBatch(records=[record]))
        for read in reads:
            known = {number: types[number] for number in types if number <= read}
            assert fold(body, change_types=known).version == 0


@pytest.mark.parametrize(
    ("base", "status"),
    [(0, ChangeStatus.VALID), (-1, ChangeStatus.CONFLICT), (1, ChangeStatus.CONFLICT)],
)
def test_only_the_current_base_is_valid(base, status):
    """Guards against lost updates and bases that cannot have been read."""
    state = fold(change_body("first", -1, [entry("t1")]))
    (verdict,) = config_state.apply_body(state, 1, change_body("x", base, []))
    assert verdict.status == status
    assert verdict.changed == (("tenant/t1",) if base == -1 else ())
    copy = config_state.apply_body(state, 2, change_body("x", 1, []))
    assert copy[0].status == ChangeStatus.DUPLICATE


def test_records_in_one_append_are_judged_apart():
    """Guards unique versions, and good records beside damaged ones."""
    damaged = messages.LogRecord("bad", RecordKind.CONFIG_CHANGE, 1, b"\xff")
    nameless = codec.encode(ConfigChange("", -1, [entry("t9")]))
    records = [damaged, messages.LogRecord("x", RecordKind.CONFIG_CHANGE, 1, nameless)]
    for change_id, base in (("first", -1), ("second", 0)):
        content = codec.encode(ConfigChange(change_id, base, [entry(change_id)]))
        records.append(
            messages.LogRecord(change_id, RecordKind.CONFIG_CHANGE, 1, content)
        )
    state = ConfigState()
    verdicts = config_state.apply_body(
        state, 0, codec.encode(LogBatch(records=records))
    )
    assert [item.status for item in verdicts] == [
        ChangeStatus.MALFORMED,
        ChangeStatus.MALFORMED,
        ChangeStatus.VALID,
        ChangeStatus.CONFLICT,
    ]
    assert state.malformed_records == 2
    assert list(state.entries_by_key) == [("tenant", "first")]


def test_memory_is_bounded_alike_after_a_snapshot(monkeypatch):
    """Guards against growth and hosts that forget different things."""
    monkeypatch.setattr(config_state, "MAX_TOMBSTONES", 3)
    monkeypatch.setattr(config_state, "MAX_RECENT_CHANGES", 5)
    monkeypatch.setattr(config_state, "MAX_UNKNOWN_BYTES", 400)
    bodies = []
    for number in range(0, 80, 4):
        name = f"t{number}"
        bodies += [
            change_body(f"a{number}", number - 3, [entry(name, 1)]),
            change_body(f"d{number}", number, [entry(name, deleted=True)]),
            change_body("other", -1, [entry("t")], kind=99),
            b"\xff",
        ]
    bodies[0] = change_body("a0", -1, [entry("t0", 1)])
    whole = fold(*bodies)
    assert whole.version == 77
    for cut in range(1, len(bodies), 7):
        state = copy_through_log(fold(*bodies[:cut]))
        assert fold(*bodies[cut:], state=state) == whole
    assert [name for _, name in whole.entries_by_key] == ["t68", "t72", "t76"]
    assert len(whole.verdicts_by_change) == 5
    assert sum(len(k.record.body) for k in whole.unknown_records) <= 400
    assert whole.malformed_records == 20
    # A forgotten deletion counts as a change of the entry.
    assert config_state.changed_since(whole, 10, [("tenant", "t4")])
    assert not config_state.changed_since(whole, 70, [("tenant", "t4")])


CHANGE = change_body("first", -1, [entry("t1", 3)])
SNAPSHOT = config_snapshots.split(fold(CHANGE), 5000)[0]


@given(
    st.one_of(st.binary(max_size=60), st.sampled_from([CHANGE, SNAPSHOT])), st.data()
)
def test_foreign_bytes_never_crash_the_fold(body, data):
    """Guards against hosts that stop on a damaged append."""
    damaged = bytearray(body)
    for _ in range(data.draw(st.integers(0, 3)) if body else 0):
        at = data.draw(st.integers(0, len(damaged) - 1))
        damaged[at] = data.draw(st.integers(0, 255))
    damaged = bytes(damaged[: data.draw(st.integers(0, len(damaged)))])
    state = fold(CHANGE, damaged, change_body("next", 0, [entry("t2")]))
    assert state.through_offset == 2
    assert ("tenant", "t1") in state.entries_by_key
    Configuration.from_state(state)
    assert copy_through_log(state) == state
    for part in config_snapshots.parts_of(damaged)[0]:
        config_snapshots.Assembler().add(part)
    with contextlib.suppress(DecodeError):
        config_state.from_snapshot(codec.decode(messages.ConfigSnapshot, damaged))


@given(st.lists(st.integers(0, 9), max_size=20), st.integers(0, 9))
def test_a_snapshot_is_valid_only_with_all_parts(order, missing):
    """Guards against state put together from some of its parts."""
    entries = [entry(f"tenant-{number}", number) for number in range(300)]
    state = fold(change_body("first", -1, entries))
    parts = [
        config_snapshots.parts_of(body)[0][0]
        for body in config_snapshots.split(state, 3000)
    ]
    assert len(parts) >= 10
    assembler = config_snapshots.Assembler()
    for number in [*order, *range(len(parts))]:
        if number != missing:
            assert not assembler.add(parts[number])
    other = parts[missing].content.replace(b"tenant-", b"tenent-")
    assert not assembler.add(attrs.evolve(parts[missing], content=other))
    assert assembler.complete is None
    for part in parts:
        assembler.add(part)
    assert assembler.complete == state


def test_a_snapshot_that_leaves_a_gap_is_left_out():
    """Guards against the choice of a snapshot that cannot be continued."""
    old = fold(CHANGE)
    behind = fold(newer_body(version=2), state=fold(CHANGE))
    for min_through, expected in [(0, old), (1, behind), (2, None)]:
        types = {1: ConfigChange, 2: NewerChange}
        assembler = config_snapshots.Assembler(min_through, types)
        for body in [
            *config_snapshots.split(behind, 9000),
            *config_snapshots.split(old, 9000),
        ]:
            assembler.add(config_snapshots.parts_of(body)[0][0])
        assert assembler.complete == expected


def test_one_change_keeps_the_other_declarations():
    """Guards the incremental view against the one built from scratch."""
    state = fold(change_body("first", -1, [entry(f"t{n}", n) for n in range(5)]))
    before = Configuration.from_state(state)
    state.touched.clear()
    change = [entry("t1", 50), entry("t2", deleted=True), entry("t9", 9)]
    fold(change_body("next", 0, change), state=state)
    after = before.updated(state, state.touched)
    assert after == Configuration.from_state(state)
    assert after.tenants_by_id["t0"] is before.tenants_by_id["t0"]
    assert after.servers_by_id is before.servers_by_id
    assert before.tenants_by_id["t1"].max_concurrency == 1
