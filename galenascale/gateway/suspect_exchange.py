"""Exchange of suspicions about prompt parts between hosts, and their log."""

from galenascale.gateway.crash_evidence import SuspectRun
from galenascale.gateway.suspect_parts import RELAY_MARGIN_S, Block
from galenascale.generated.gateway_messages import CrashedRun, PartBlock, PartStart

# Seconds for which a host reports a crash. Later hosts hear of the blocks.
REPORT_S = 10.0
# Seconds from the first crash under a part in which hosts tell each other of
# it and of answers that began, by announcements.
SETTLE_S = 0.3
# Seconds after new evidence until the next decision.
DECISION_DELAY_S = 0.05
# Largest numbers of entries in a message, which is a part of a datagram.
MAX_RUNS = 12
MAX_PARTS_OF_RUN = 32
MAX_STARTS = 16
MAX_BLOCKS = 8
# In logs, in place of the host that told something.
STORE = "store"


def status_fields(suspects, now):
    """Return the fields of a HostStatus that tell of SuspectParts."""
    return {
        "crashed_runs": [
            CrashedRun(
                server=run.server_key,
                content=run.content_key,
                parts=list(run.part_keys),
                age_ms=_age_ms(run.at, now),
            )
            for run in suspects.recent_runs(now, REPORT_S, MAX_RUNS)
        ],
        "started_parts": [
            PartStart(key, _age_ms(at, now))
            for key, at in suspects.suspected_starts(MAX_STARTS).items()
        ],
        "blocked_parts": [
            PartBlock(
                block.part_key,
                _age_ms(block.decided_at, now),
                _age_ms(block.evidence_from, now),
            )
            for block in suspects.blocks(now)[-MAX_BLOCKS:]
        ],
    }


def apply_status(context, status, now):
    """Apply what another host's HostStatus tells of prompt parts."""
    suspects = context.suspects
    new_runs = suspects.merge_runs(
        SuspectRun(
            run.server,
            run.content,
            tuple(run.parts[:MAX_PARTS_OF_RUN]),
            _time(run.age_ms, now),
        )
        for run in status.crashed_runs[:MAX_RUNS]
    )
    acquitted = suspects.merge_starts(
        {
            start.part: _time(start.age_ms, now)
            for start in status.started_parts[:MAX_STARTS]
        }
    )
    _log_acquitted(context, acquitted, peer=status.host_id)
    blocks = (
        Block(
            block.part,
            _time(block.age_ms, now) - RELAY_MARGIN_S,
            _time(block.evidence_age_ms, now) - RELAY_MARGIN_S,
        )
        for block in status.blocked_parts[:MAX_BLOCKS]
    )
    for block in suspects.merge_blocks(blocks, now):
        _apply_block(context, block, now, peer=status.host_id)
    if new_runs:
        context.decision.request(DECISION_DELAY_S)
        _announce_news(context, {key for run in new_runs for key in run.part_keys})


def _announce_news(context, part_keys):
    if context.suspects.take_news(part_keys):
        context.announcer.announce()


def decide(context):
    """
    Block the parts that the evidence convicts.

    All hosts are told at once, as each request until then costs a server.
    """
    now = context.clock.monotonic()
    blocks = context.suspects.decide(now, SETTLE_S)
    for block in blocks:
        _apply_block(context, block, now, peer=None)
        context.block_records.save(block)
    if blocks:
        context.announcer.announce()
    if context.suspects.has_crash_since(now - SETTLE_S):
        context.decision.request(DECISION_DELAY_S)


def record_crash(context, run):
    """Record a SuspectRun of this host, and tell the others."""
    context.suspects.record_crash(run)
    context.decision.request(DECISION_DELAY_S)
    context.announcer.announce()


def record_start(context, part_keys):
    """Record that the answer to a prompt with these parts began."""
    now = context.clock.monotonic()
    acquitted = context.suspects.record_start(part_keys, now)
    _log_acquitted(context, acquitted, peer=None)
    for key in acquitted:
        context.block_records.remove(key)
    if acquitted:
        context.announcer.announce()
    else:
        _announce_news(context, part_keys)


def apply_stored_block(context, block):
    """Apply a Block that another host wrote to the store."""
    now = context.clock.monotonic()
    for new in context.suspects.merge_blocks([block], now):
        _apply_block(context, new, now, peer=STORE)


def apply_removed_block(context, part_key):
    """Unblock a part whose block another host removed from the store."""
    if context.suspects.remove_block(part_key):
        _log_acquitted(context, [part_key], peer=STORE)


def _log_acquitted(context, part_keys, *, peer):
    for key in part_keys:
        context.log.write("part_acquitted", "warning", part=key, peer=peer)


def _apply_block(context, block, now, *, peer):
    context.unanswered.break_off(block.part_key)
    context.metrics.blocked_parts.inc()
    context.log.write(
        "part_blocked",
        "warning",
        part=block.part_key,
        peer=peer,
        crashes=block.crashes,
        contents=block.contents,
        evidence_age_s=round(now - block.evidence_from, 3),
    )


def _age_ms(at, now):
    return max(0, round((now - at) * 1000))


def _time(age_ms, now):
    # A host cannot tell of the future.
    return now - max(0, age_ms) / 1000
