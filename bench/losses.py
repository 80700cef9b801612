"""
Attributes late and failed requests and items to causes by hosts' logs.

    python -m bench.losses [--weight ROUTE=W]... [--report FILE] LOGS...

Reads decision logs and attributes each request that was late, refused or
failed, and each item that missed its due time, to the one cause with the
largest delay. Prints totals by cause, route, failure domain and time.
`--weight` sets the worth of a request on a route (1 by default). `--report`
reads a report of the load test and prints how many of its losses the logs do
not explain.
"""

import argparse
import collections

import attrs

from bench.load_test.log_lines import read_lines
from bench.load_test.report import read_totals

# Seconds that one row of the table by time covers.
TIME_BUCKET_S = 2.0
# Usual seconds between the end of a run and the record of its outcome; only
# the excess counts as delay.
USUAL_RECORD_DELAY_S = 0.6
# A refused request that succeeds when the caller retries it loses half of its
# worth.
RETRIED_LOSS_FRACTION = 0.5
# Outcomes without a loss: the request matched no configured route.
UNCOUNTED_OUTCOMES = ("no_route", "no_configuration")


@attrs.frozen
class Loss:
    """One request or item that was not in time; `at` is when it arrived."""

    # Seconds on the clock of the logs.
    at: float
    host: str
    route: str
    cause: str
    # Fraction of its worth that was lost.
    lost_fraction: float = 1.0


@attrs.define
class RequestHistory:
    """Log lines of one request: attempts to send it, and its end."""

    sends: list = attrs.field(factory=list)
    end: dict | None = None


def request_losses(lines):
    """Yield a Loss for each online request that was not in time."""
    histories = collections.defaultdict(RequestHistory)
    for line in lines:
        if line["event"] == "send":
            histories[line["request"]].sends.append(line)
        elif line["event"] == "request":
            histories[line["request"]].end = line
    for history in histories.values():
        end = history.end
        if end is None or "objective_s" not in end:
            continue
        cause, lost_fraction = _request_cause(history)
        if cause is not None:
            at = end["time"] - end["elapsed_s"]
            yield Loss(at, end["host"], end["route"], cause, lost_fraction)


def _request_cause(history):
    """Return (cause, lost fraction); the cause is None if in time."""
    end = history.end
    outcome = end["outcome"]
    if outcome.startswith("job_") or outcome in UNCOUNTED_OUTCOMES:
        return None, 0.0
    if outcome == "no_server":
        is_queue_full = "queues are too long" in end.get("reason", "")
        return (
            ("wait after a refusal", RETRIED_LOSS_FRACTION)
            if is_queue_full
            else (
                "no server",
                1.0,
            )
        )
    if outcome == "caller_left":
        return "caller left", 1.0
    if outcome not in ("streamed", "answered"):
        return "server, host or link lost", 1.0
    answered_s = end.get("first_part_s", end["elapsed_s"])
    if answered_s > end["objective_s"]:
        return _largest_delay(history.sends, answered_s), 1.0
    return None, 0.0


def _largest_delay(sends, answered_s):
    """Return the cause with the largest share of the time to answer."""
    seconds_by_cause = collections.Counter()
    for send in sends:
        seconds_by_cause["wait for a slot"] += send.get("waited_s", 0.0)
        if send["outcome"] != "answered":
            seconds_by_cause["server, host or link lost"] += send.get("elapsed_s", 0.0)
            continue
        engine_s = send.get("first_event_s") or 0.0
        if not send.get("granted", True):
            seconds_by_cause["own choice of a full server"] += engine_s
        else:
            seconds_by_cause["prompt read behind others"] += engine_s
    if not seconds_by_cause:
        return "no line of its send"
    seconds_by_cause["on the host"] = answered_s - sum(seconds_by_cause.values())
    return seconds_by_cause.most_common(1)[0][0]


def item_losses(lines):
    """Yield a Loss for each batch item that was not in time."""
    lines = list(lines)
    accepted_at_by_job = {
        line["request"]: line["time"]
        for line in lines
        if line["event"] == "request" and line["outcome"] == "job_accepted"
    }
    routes_by_job = {
        line["request"]: line["route"]
        for line in lines
        if line["event"] == "request" and line["outcome"] == "job_accepted"
    }
    full_pools = _FullPools(lines)
    claim_times = collections.defaultdict(list)
    histories = collections.defaultdict(list)
    for line in lines:
        if line["event"] == "job_claim" and line["outcome"] == "claimed":
            claim_times[line["job"]].append(line["time"])
        elif line["event"] == "outcomes_recorded":
            for index in line["items"]:
                histories[line["job"], index].append(line)
        elif line["event"].startswith("item_") and "index" in line:
            histories[line["job"], line["index"]].append(line)
    for (job, _), history in histories.items():
        cause = _item_cause(
            history, accepted_at_by_job.get(job), claim_times[job], full_pools
        )
        if cause is not None:
            at = accepted_at_by_job.get(job, history[0]["time"])
            yield Loss(at, history[0]["host"], routes_by_job.get(job, "items"), cause)


class _FullPools:
    """Numbers of requests and items that occupied full pools, by time."""

    def __init__(self, lines):
        self._lines = [line for line in lines if line["event"] == "pool_full"]

    def cause(self, since, until):
        """Return the cause of a wait for a slot between two times."""
        online = batch = 0
        for line in self._lines:
            if since <= line["time"] <= until:
                online += line["online"]
                batch += line["batch"]
        if not online and not batch:
            return "wait for a slot that nobody granted"
        return "wait behind requests" if online > batch else "wait behind items"


def _item_cause(history, accepted_at, claim_times, full_pools):
    """Return the cause of a late item; None if in time or not completed."""
    start_lines = [line for line in history if line["event"] == "item_started"]
    if not start_lines:
        return None
    due_at = start_lines[0]["time"] + start_lines[0]["due_in_s"]
    record_lines = [line for line in history if line["event"] == "outcomes_recorded"]
    finish_lines = [line for line in history if line["event"] == "item_finished"]
    if record_lines and record_lines[0]["time"] <= due_at:
        return None
    if finish_lines and finish_lines[0]["outcome"] != "completed":
        return None
    seconds_by_cause = collections.Counter()
    waiting_since = accepted_at or start_lines[0]["time"]
    # Events that the last run received, and the start of the current run.
    events = 0
    run_started_at = None
    for line in history:
        if line["event"] == "item_started":
            _add_waiting_time(
                seconds_by_cause, waiting_since, line["time"], claim_times, full_pools
            )
            if (line["resume_after"] or 0) < events:
                # The new run repeats events that the last run had received.
                seconds_by_cause["work done twice"] += seconds_by_cause.pop(
                    "last run", 0.0
                )
            run_started_at = line["time"]
        elif line["event"] in ("item_interrupted", "item_run") and run_started_at:
            seconds_by_cause["its own run"] += seconds_by_cause.pop("last run", 0.0)
            seconds_by_cause["last run"] = line["time"] - run_started_at
            run_started_at = None
            waiting_since = line["time"]
            events = line.get("events", 0)
    seconds_by_cause["its own run"] += seconds_by_cause.pop("last run", 0.0)
    if finish_lines:
        record_delay_s = (
            record_lines[0]["time"] if record_lines else due_at
        ) - finish_lines[0]["time"]
        seconds_by_cause["outcome not recorded"] += max(
            0.0, record_delay_s - USUAL_RECORD_DELAY_S
        )
    else:
        _add_waiting_time(
            seconds_by_cause, waiting_since, due_at, claim_times, full_pools
        )
    return seconds_by_cause.most_common(1)[0][0]


def _add_waiting_time(seconds_by_cause, since, until, claim_times, full_pools):
    """Add a wait; a claim of the job means that its previous host was lost."""
    if until <= since:
        return
    is_host_lost = any(since <= claim <= until + 1.0 for claim in claim_times)
    cause = "host lost" if is_host_lost else full_pools.cause(since, until)
    seconds_by_cause[cause] += until - since


def print_table(title, losses, key, weights):
    """Print the losses grouped by `key`, largest worth first."""
    count_by_name = collections.Counter()
    loss_by_name = collections.Counter()
    for loss in losses:
        count_by_name[key(loss)] += 1
        loss_by_name[key(loss)] += loss.lost_fraction * weights.get(loss.route, 1.0)
    print(f"{title:40} {'losses':>8} {'worth':>10}")
    for name, value in loss_by_name.most_common():
        print(f"  {name!s:38} {count_by_name[name]:8} {value:10.1f}")


def main():
    """Print the losses found in the given logs."""
    parser = argparse.ArgumentParser(prog="bench.losses")
    parser.add_argument("--weight", action="append", default=[])
    parser.add_argument("--report")
    parser.add_argument("logs", nargs="+")
    args = parser.parse_args()
    weights = {
        route: float(weight)
        for route, weight in (text.split("=", 1) for text in args.weight)
    }
    lines = [line for path in args.logs for line in read_lines(path)]
    lines.sort(key=lambda line: line["time"])
    losses = [*request_losses(lines), *item_losses(lines)]
    start = min((line["time"] for line in lines), default=0.0)
    print_table("cause", losses, lambda loss: loss.cause, weights)
    print_table("route", losses, lambda loss: loss.route, weights)
    print_table("host", losses, lambda loss: loss.host.rpartition("-")[0], weights)
    print_table(
        "seconds after the first line",
        losses,
        lambda loss: int((loss.at - start) // TIME_BUCKET_S * TIME_BUCKET_S),
        weights,
    )
    if args.report:
        totals = read_totals(args.report)
        unexplained = totals.lost - len(losses)
        print(
            f"the report has {totals.lost} losses of {totals.owed},"
            f" the logs {len(losses)}: {unexplained} not explained,"
            f" {unexplained / max(1, totals.lost):.2f} of the losses"
        )


if __name__ == "__main__":
    main()
