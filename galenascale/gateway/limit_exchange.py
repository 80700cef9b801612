"""Exchange of the limits that servers name between hosts, and their log."""

from galenascale.gateway.server_limits import (
    MAX_REPORTS,
    MAX_REQUESTS_PER_S,
    LimitReport,
)
from galenascale.generated.gateway_messages import ServerLimitReport

# Share by which a limit changes so that the other hosts are told at once.
NOTABLE_CHANGE = 0.1
NO_LIMIT = -1


def record_answer(context, attempt, head):
    """Record the limit in the ResponseHead of an attempt, or its end."""
    server = attempt.server
    now = context.clock.monotonic()
    if head.limit is not None and head.limit.requests_per_s is None:
        _log_malformed(context, server, head.limit.text)
    if head.limit is None and head.not_run:
        # Only a server that runs requests says that its need is over.
        return
    change = context.limits.observe(server, head.limit, attempt.sent_at, now)
    if change is None:
        return
    _log_change(context, server, change, peer=None, age_s=0.0)
    if _is_notable(change):
        context.announcer.announce()
    else:
        context.load.mark_changed()


def _is_notable(change):
    if change.before is None or change.after is None:
        return True
    return abs(change.after - change.before) > NOTABLE_CHANGE * change.before


def record_unpaced(context, server):
    """Tell the other hosts again of a limit that an owner did not count."""
    context.metrics.limited_requests.labels("returned").inc()
    if context.limits.repeat(server, context.clock.monotonic()):
        context.announcer.announce()


def status_fields(limits, now):
    """Return the fields of a HostStatus that tell of ServerLimits."""
    if not limits:
        return {}
    return {
        "server_limits": [
            ServerLimitReport(
                report.run_key,
                _to_millirequests(report.requests_per_s),
                round((now - report.said_at) * 1000),
            )
            for report in limits.reports(now)
        ]
    }


def _to_millirequests(requests_per_s):
    return NO_LIMIT if requests_per_s is None else round(requests_per_s * 1000)


def apply_status(context, status, now):
    """Apply what another host's HostStatus tells of servers' limits."""
    for message in status.server_limits[:MAX_REPORTS]:
        report = _decode_report(message, now)
        server = None
        if not context.limits.knows(report.run_key):
            server = _find_run(context, report.run_key)
            if server is None:
                # It has ended, or its entry has not been read yet.
                continue
        change = context.limits.merge(report)
        if change is not None:
            server = server or _find_run(context, report.run_key)
            age_s = now - report.said_at
            _log_change(context, server, change, peer=status.host_id, age_s=age_s)


def _decode_report(message, now):
    rate = None
    if message.millirequests_per_s != NO_LIMIT:
        rate = min(max(0, message.millirequests_per_s) / 1000, MAX_REQUESTS_PER_S)
    return LimitReport(message.run, rate, now - max(0, message.age_ms) / 1000)


def _find_run(context, run_key):
    """Return the entry of a run of a server, or None if it is not known."""
    for entry in context.servers.all_entries():
        if entry.run_key == run_key:
            return entry
    return None


def _log_malformed(context, server, text):
    context.metrics.limit_changes.labels("malformed").inc()
    context.log.write(
        "server_limit_malformed", "warning", server=server.server_id, text=text
    )


def _log_change(context, server, change, *, peer, age_s):
    context.metrics.limit_changes.labels(change.kind).inc()
    context.log.write(
        f"server_limit_{change.kind}",
        "warning",
        server=server and server.server_id,
        service=server and server.service,
        before=change.before,
        requests_per_s=change.after,
        peer=peer,
        age_s=round(age_s, 3),
    )
