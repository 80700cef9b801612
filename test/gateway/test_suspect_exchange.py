"""Messages about prompt parts: between builds, and without sense."""

from types import SimpleNamespace
from unittest.mock import Mock

import attrs
import pytest

from galenascale.codec import decode, encode
from galenascale.gateway import suspect_exchange
from galenascale.gateway.crash_evidence import SuspectRun
from galenascale.gateway.metrics import GatewayMetrics
from galenascale.gateway.suspect_parts import MIN_OTHER_STARTS, SuspectParts
from galenascale.gateway.unanswered_runs import UnansweredRuns
from galenascale.generated.gateway_messages import (
    CrashedRun,
    HostStatus,
    PartBlock,
    PartStart,
    StatusBatch,
)

# A datagram with every field of a status, as the build of ea7a587 wrote it.
EARLIER_DATAGRAM = bytes.fromhex(
    "191c15021806686f73742d3116e0d5adfd8f67160e160611191c1509150415020011280161180831"
    "302e302e302e311925161719152a19253d4019155200191c150215121800160615001215f4031915"
    "0812121215001500150015001500121200191c1502180174160a15001500180012120000"
)
# Highest number of a field of a status in that build.
EARLIER_FIELDS = 15
# No message is fragmented by usual networks.
MAX_STATUS_BYTES = 1200


def make_context():
    """Return what the exchange needs of a host."""
    log = []
    return SimpleNamespace(
        clock=SimpleNamespace(monotonic=lambda: 14.0),
        announcer=Mock(),
        decision=Mock(),
        block_records=Mock(),
        unanswered=UnansweredRuns(),
        suspects=SuspectParts(),
        metrics=GatewayMetrics(),
        load=SimpleNamespace(mark_changed=lambda: None),
        log=SimpleNamespace(write=lambda event, *args, **fields: log.append(event)),
        events=log,
    )


def full_status(suspects, now):
    """Return a status with all fields of the build before and the new ones."""
    (status,) = decode(StatusBatch, EARLIER_DATAGRAM).statuses
    return attrs.evolve(status, **suspect_exchange.status_fields(suspects, now))


def make_suspects(runs=3):
    """Return SuspectParts in which part 7 is blocked at 14 s."""
    suspects = SuspectParts()
    for number in range(runs):
        suspects.record_crash(SuspectRun(number, number, (5, 6, 7), 10.0))
    for _ in range(MIN_OTHER_STARTS):
        suspects.record_start((5,), 13.0)
    suspects.decide(14.0, 1.5)
    return suspects


def test_datagram_of_the_build_before_is_read():
    """Guards upgrades: hosts of both builds run side by side."""
    batch = decode(StatusBatch, EARLIER_DATAGRAM)
    (status,) = batch.statuses
    assert status.host_id == "host-1"
    assert status.crashed == [-31, 32]
    assert status.leaving_servers == [41]
    assert batch.slots[0].avoid == [4]
    assert batch.rates[0].tenant == "t"
    context = make_context()
    suspect_exchange.apply_status(context, status, 10.0)
    assert context.suspects.blocks(10.0) == []
    assert context.events == []


class EarlierStatus(HostStatus):
    """Status with the fields that the build before knows."""

    thrift_spec = HostStatus.thrift_spec[: EARLIER_FIELDS + 1]


def test_status_is_read_by_the_build_before():
    """Guards upgrades: a field that a build does not know is skipped."""
    status = full_status(make_suspects(), 14.0)
    assert status.blocked_parts
    read = decode(EarlierStatus, encode(status))
    (earlier,) = decode(StatusBatch, EARLIER_DATAGRAM).statuses
    assert attrs.asdict(read) == attrs.asdict(earlier)


def test_hosts_learn_what_is_blocked():
    """Guards servers against hosts that saw no crash themselves."""
    context = make_context()
    status = full_status(make_suspects(), 14.0)
    suspect_exchange.apply_status(context, status, 100.0)
    assert context.suspects.blocked_part((5, 6, 7), 100.0) == 7
    assert context.suspects.blocked_part((5, 6), 100.0) is None
    assert context.events == ["part_blocked"]


def test_block_breaks_off_runs_whose_answers_have_not_begun():
    """Guards servers that got requests before the decision."""
    context = make_context()
    unanswered = context.unanswered
    waiting, begun, sound = Mock(), Mock(), Mock()
    status = full_status(make_suspects(), 14.0)
    with (
        unanswered.watch(waiting, (5, 6, 7)),
        unanswered.watch(begun, (5, 6, 7)),
        unanswered.watch(sound, (5, 6)),
    ):
        unanswered.remove(begun, (5, 6, 7))
        suspect_exchange.apply_status(context, status, 100.0)
    assert waiting.fail.called
    assert not begun.fail.called
    assert not sound.fail.called
    assert unanswered._connections_by_part == {}


def test_acquittal_is_told():
    """Guards sound parts that another host blocks."""
    context = make_context()
    suspects = make_suspects()
    suspect_exchange.apply_status(context, full_status(suspects, 14.0), 100.0)
    suspects.record_start((7,), 14.5)
    suspect_exchange.apply_status(context, full_status(suspects, 14.5), 100.6)
    assert context.suspects.blocked_part((5, 6, 7), 100.6) is None
    assert context.events == ["part_blocked", "part_acquitted"]


def test_status_stays_small_in_a_burst_of_crashes():
    """Guards networks and hosts against large messages."""
    suspects = make_suspects(runs=500)
    for number in range(500):
        parts = tuple(range(number * 1000, number * 1000 + 3))
        suspects.record_crash(SuspectRun(-number, number << 20, parts, 13.9))
        suspects.record_start(parts[:1], 13.95)
    assert len(encode(full_status(suspects, 14.0))) < MAX_STATUS_BYTES


def test_own_decision_is_told_at_once():
    """Guards servers of large fleets, whose rounds of messages are slow."""
    context = make_context()
    for number in range(3):
        run = SuspectRun(number, number, (5, 6, 7), 10.0)
        context.suspects.record_crash(run)
    for number in range(MIN_OTHER_STARTS):
        context.suspects.record_start((5,), 11.0 + number)
    suspect_exchange.decide(context)
    assert context.announcer.announce.call_count == 1
    context.clock.monotonic = lambda: 14.5
    suspect_exchange.decide(context)
    assert context.announcer.announce.call_count == 1


def test_own_crash_is_told_and_decided_about_soon():
    """Guards servers of large fleets, whose rounds of messages are slow."""
    context = make_context()
    suspect_exchange.record_crash(context, SuspectRun(1, 1, (5, 7), 13.9))
    assert context.announcer.announce.called
    assert context.decision.request.called


@pytest.mark.parametrize(
    ("own_start", "told_start", "expected"),
    [
        # Since the crash at 13.5 s, shortly before it, and long ago.
        (13.8, None, True),
        (13.0, None, True),
        (-60.0, None, False),
        # What another host told is not repeated.
        (13.9, 13.7, False),
        (13.2, 13.1, False),
        (13.8, 13.1, True),
        (None, 13.8, False),
    ],
)
def test_answers_that_clear_a_part_are_told_at_once(own_start, told_start, expected):
    """Guards sound parts against a decision before their answers are known."""
    context = make_context()
    if own_start is not None:
        context.suspects.record_start((5, 6), own_start)
    if told_start is not None:
        context.suspects.merge_starts({5: told_start, 6: told_start})
    suspects = SuspectParts()
    suspects.record_crash(SuspectRun(1, 1, (5, 6, 7), 13.5))
    status = full_status(suspects, 14.0)
    suspect_exchange.apply_status(context, status, 14.0)
    assert context.announcer.announce.called == expected
    suspect_exchange.apply_status(context, status, 14.0)
    assert context.announcer.announce.call_count == expected


def test_answer_that_begins_under_suspicion_is_told_once():
    """Guards large fleets against a broadcast for each answer."""
    context = make_context()
    context.suspects.record_crash(SuspectRun(1, 1, (5, 6, 7), 13.5))
    for _ in range(5):
        suspect_exchange.record_start(context, (5, 9))
    assert context.announcer.announce.call_count == 1


def test_large_fleet_decides_within_half_a_second():
    """
    Guards the servers of large fleets, and the sound parts near a deadly one.

    Rounds of messages take 1.7 s there. The crashes are seen by two hosts, an
    answer to the rare sound part by a third one only.
    """
    common, rare, deadly = 1, 2, 3
    now = [10.0]
    announced = []
    contexts = [make_context() for _ in range(84)]
    for context in contexts:
        context.clock.monotonic = lambda: now[0]
        context.announcer.announce = lambda context=context: announced.append(context)

    def deliver():
        while announced:
            sender = announced.pop(0)
            status = full_status(sender.suspects, now[0])
            for context in contexts:
                if context is not sender:
                    suspect_exchange.apply_status(context, status, now[0])

    for seconds, host, server, content in (
        (0.0, 0, 1, 8),
        (0.1, 0, 2, 8),
        (0.2, 1, 3, 9),
    ):
        now[0] = 10.0 + seconds
        run = SuspectRun(server, content, (common, rare, deadly), now[0])
        suspect_exchange.record_crash(contexts[host], run)
        deliver()
        for starting in range(10, 20):
            suspect_exchange.record_start(contexts[starting], (common, 100 + starting))
        deliver()
    suspect_exchange.record_start(contexts[50], (common, rare))
    deliver()
    for seconds in (0.3, 0.4, 0.5):
        now[0] = 10.0 + seconds
        for context in contexts:
            suspect_exchange.decide(context)
        deliver()
    for context in contexts:
        assert context.suspects.blocked_part((common, deadly), now[0]) == deadly
        assert context.suspects.blocked_part((common, rare), now[0]) is None


@pytest.mark.parametrize(
    "fields",
    [
        {"crashed_runs": [CrashedRun(age_ms=-(1 << 31))]},
        {"crashed_runs": [CrashedRun(parts=[1] * 10_000)] * 1000},
        {"started_parts": [PartStart(1, -5)] * 1000},
        {"blocked_parts": [PartBlock(1, -(1 << 31), -(1 << 31))] * 1000},
        {"blocked_parts": [PartBlock(1, (1 << 31) - 1, 0)]},
    ],
)
def test_message_without_sense_does_no_harm(fields):
    """Guards hosts against forged or damaged messages."""
    context = make_context()
    status = HostStatus(host_id="host-9", **fields)
    suspect_exchange.apply_status(context, status, 50.0)
    context.clock.monotonic = lambda: 60.0
    suspect_exchange.decide(context)
    assert context.suspects.blocked_part((1,), 400.0) is None
