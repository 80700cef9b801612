"""Limits the output that all items of a host hold together."""

from galenascale.gateway.jobs.open_items import FAILED_BACKOFF_S
from galenascale.gateway.output_limits import MAX_HELD_OUTPUT_BYTES


def break_off_excess_runs(context, items):
    """
    Break off the largest runs of OpenItems while all hold too much output.

    An item drops what its run has brought, and runs again elsewhere.
    """
    now = context.clock.monotonic()
    for item in find_excess_runs(items, MAX_HELD_OUTPUT_BYTES):
        context.health.record_failure(item.server.incarnation, now)
        context.log.write(
            "item_output_dropped",
            "warning",
            job=item.state.job_id,
            index=item.index,
            server=item.server.server_id,
            run_bytes=item.run_bytes,
        )
        item.drop_run_output()
        item.avoid(item.server, now)
        item.back_off(now, FAILED_BACKOFF_S, 1)
        item.task.cancel()


def find_excess_runs(items, limit):
    """
    Return the items whose runs must end, so that all hold `limit` bytes.

    These are the runs that have added most.
    """
    held = sum(item.held_bytes for item in items)
    if held <= limit:
        return []
    excess = []
    for item in sorted(items, key=lambda item: item.run_bytes, reverse=True):
        if held <= limit or not item.run_bytes:
            break
        held -= item.run_bytes
        excess.append(item)
    return excess
