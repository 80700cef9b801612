"""Publishes configuration changes; only the log tells how they ended."""

import uuid

from galenascale import codec
from galenascale.config_state import ChangeStatus, ChangeVerdict, changed_since
from galenascale.errors import GalenascaleError, UserError
from galenascale.generated.messages import ConfigChange, LogBatch, LogRecord, RecordKind
from galenascale.logs import get_logger
from galenascale.record_versions import choose_write_version
from galenascale.store import StoreOutcomeUnknown, StoreUnavailable

log = get_logger("config")

STREAM = "config"
MAX_PAUSE_S = 2.0
# Changes that may come in between before an operator has to look.
MAX_REBASES = 20


async def publish(
    follower,
    entries,
    base_version,
    author="",
    timeout_s=10.0,
    *,
    message="",
    change_id=None,
):
    """
    Append a change and return its verdict once it is seen in the log.

    The append is repeated with the same change id, but only after a read to
    the log's end has not shown it. Raise StoreOutcomeUnknown if the outcome is
    still unknown at the timeout, StoreUnavailable if nothing can have been
    appended.
    """
    change = ConfigChange(
        change_id=change_id or uuid.uuid4().hex,
        base_version=base_version,
        entries=entries,
        author=author,
        created_ms=follower.clock.wall_ms(),
        message=message,
    )
    body = _encode(follower, change)
    deadline = follower.clock.monotonic() + timeout_s
    pause_s = follower.poll_s
    acknowledged = possible = False
    while True:
        at_end = await _refresh(follower)
        verdict = follower.state.verdicts_by_change.get(change.change_id)
        if verdict is not None:
            return verdict
        if follower.clock.monotonic() >= deadline:
            break
        if at_end and not acknowledged:
            try:
                await follower.log_client.append(STREAM, body)
                acknowledged = possible = True
                continue
            except StoreUnavailable as error:
                log.warning("Append of a change was refused: %s.", error)
            except GalenascaleError as error:
                possible = True
                log.warning("Append of a change has no outcome: %s.", error)
        await follower.clock.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_PAUSE_S)
    if possible:
        raise StoreOutcomeUnknown(
            f"change {change.change_id} has no known outcome", step="publish"
        )
    raise StoreUnavailable(f"change {change.change_id} not appended", step="publish")


def _encode(follower, change):
    version = choose_write_version(
        follower.encoders_by_version, follower.peers.min_read_version()
    )
    content = follower.encoders_by_version[version](change)
    record = LogRecord(change.change_id, RecordKind.CONFIG_CHANGE, version, content)
    return codec.encode(LogBatch(records=[record]))


async def restart(follower, entries, *, change_id, author="", message=""):
    """
    Start a stream over whose records and snapshots are lost.

    Return the verdict. Raise UserError if the stream can be followed,
    StoreOutcomeUnknown if the change was not seen in the log afterwards.
    """
    if await _refresh(follower) or not follower.has_gap:
        raise UserError(
            "the configuration stream lacks no records or the log is away",
            code="restart_refused",
            http_status=409,
        )
    bounds = await follower.log_client.bounds(STREAM)
    change = ConfigChange(
        change_id=change_id,
        entries=entries,
        author=author,
        created_ms=follower.clock.wall_ms(),
        message=message,
        restart_at=bounds.next_offset,
    )
    await follower.log_client.append(STREAM, _encode(follower, change))
    await _refresh(follower)
    verdict = follower.state.verdicts_by_change.get(change_id)
    if verdict is None:
        raise StoreOutcomeUnknown(f"change {change_id} is not seen", step="publish")
    return verdict


async def _refresh(follower):
    try:
        return await follower.refresh()
    except StoreUnavailable:
        return False


async def publish_rebasing(
    follower,
    entries,
    base_version,
    *,
    change_id,
    check,
    timeout_s,
    strict=False,
    **more,
):
    """
    Publish a change, rebasing it while its own entries have not changed.

    Attempt N has the id `change_id.N`, so that a caller that sends the same
    change again gets the outcome of the first time. `check` is called before
    each attempt and raises UserError if the result would be invalid.
    """
    keys = [(entry.kind, entry.name) for entry in entries]
    deadline = follower.clock.monotonic() + timeout_s
    base = base_version
    verdict = None
    for attempt in range(MAX_REBASES):
        attempt_id = f"{change_id}.{attempt}"
        await _refresh(follower)
        state = follower.state
        if attempt_id not in state.verdicts_by_change:
            if state.version > base_version and not strict:
                changed = changed_since(state, base_version, keys)
                if changed:
                    return ChangeVerdict(
                        change_id, ChangeStatus.CONFLICT, state.version, changed
                    )
                base = state.version
            check()
        left_s = deadline - follower.clock.monotonic()
        verdict = await publish(
            follower, entries, base, timeout_s=left_s, change_id=attempt_id, **more
        )
        if strict or verdict.status != ChangeStatus.CONFLICT:
            return verdict
    return verdict
