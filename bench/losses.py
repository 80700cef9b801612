"""
Where requests and items lost time, told from the hosts' decision logs.

    python -m bench.losses [--weight ROUTE=W]... [--report FILE] LOGS...

Prints the requests that were late, refused or failed and the items that came
after their due time, each with the one cause that cost most, by cause, route,
failure domain and second. `--weight` gives the worth of a route's requests;
`--report`, a report of the users' bench, shows how many of its losses the logs
do not explain.
"""

import argparse
import collections

import attrs

from bench.played.lines import read_lines
from bench.played.report import read_totals

# Seconds of the rows by time.
WINDOW_S = 2.0
# Usual seconds between the end of a run and the record of its outcome.
RECORDED_S = 0.6
# Half of a request's worth is lost if it is in time only when it comes back.
RETURNED_SHARE = 0.5
# Outcomes of requests that concern jobs or a route that is not there.
NOT_SERVED_HERE = ("no_route", "no_configuration")


@attrs.frozen
class Loss:
    """One request or item that was not in time."""

    at: float
    host: str
    route: str
    cause: str
    share: float = 1.0


@attrs.define
class Story:
    """The lines about one request or item."""

    sends: list = attrs.field(factory=list)
    end: dict | None = None


def request_losses(lines):
    """Yield the Losses of online requests."""
    stories = collections.defaultdict(Story)
    for line in lines:
        if line["event"] == "send":
            stories[line["request"]].sends.append(line)
        elif line["event"] == "request":
            stories[line["request"]].end = line
    for story in stories.values():
        end = story.end
        if end is None or "objective_s" not in end:
            continue
        cause, share = _request_cause(story)
        if cause is not None:
            at = end["time"] - end["elapsed_s"]
            yield Loss(at, end["host"], end["route"], cause, share)


def _request_cause(story):
    """Return (cause or None, share of the worth) of a request."""
    end = story.end
    outcome = end["outcome"]
    if outcome.startswith("job_") or outcome in NOT_SERVED_HERE:
        return None, 0.0
    if outcome == "no_server":
        refused = "queues are too long" in end.get("reason", "")
        return (
            ("wait after a refusal", RETURNED_SHARE)
            if refused
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
        return _largest_part(story.sends, answered_s), 1.0
    return None, 0.0


def _largest_part(sends, answered_s):
    parts = collections.Counter()
    for send in sends:
        parts["wait for a slot"] += send.get("waited_s", 0.0)
        if send["outcome"] != "answered":
            parts["server, host or link lost"] += send.get("elapsed_s", 0.0)
            continue
        engine_s = send.get("first_event_s") or 0.0
        if not send.get("granted", True):
            parts["own choice of a full server"] += engine_s
        else:
            parts["prompt read behind others"] += engine_s
    if not parts:
        return "no line of its send"
    parts["on the host"] = answered_s - sum(parts.values())
    return parts.most_common(1)[0][0]


def item_losses(lines):
    """Yield the Losses of items."""
    lines = list(lines)
    accepted = {
        line["request"]: line["time"]
        for line in lines
        if line["event"] == "request" and line["outcome"] == "job_accepted"
    }
    routes = {
        line["request"]: line["route"]
        for line in lines
        if line["event"] == "request" and line["outcome"] == "job_accepted"
    }
    pressure = _Pressure(lines)
    claims = collections.defaultdict(list)
    stories = collections.defaultdict(list)
    for line in lines:
        if line["event"] == "job_claim" and line["outcome"] == "claimed":
            claims[line["job"]].append(line["time"])
        elif line["event"] == "outcomes_recorded":
            for index in line["items"]:
                stories[line["job"], index].append(line)
        elif line["event"].startswith("item_") and "index" in line:
            stories[line["job"], line["index"]].append(line)
    for (job, _), story in stories.items():
        cause = _item_cause(story, accepted.get(job), claims[job], pressure)
        if cause is not None:
            at = accepted.get(job, story[0]["time"])
            yield Loss(at, story[0]["host"], routes.get(job, "items"), cause)


class _Pressure:
    """Whether requests or items filled the pools of a domain, by time."""

    def __init__(self, lines):
        self._lines = [line for line in lines if line["event"] == "pool_full"]

    def cause(self, since, until):
        """Return what a wait between two times was for."""
        online = batch = 0
        for line in self._lines:
            if since <= line["time"] <= until:
                online += line["online"]
                batch += line["batch"]
        if not online and not batch:
            return "wait for a slot that nobody granted"
        return "wait behind requests" if online > batch else "wait behind items"


def _item_cause(story, accepted_at, claims, pressure):
    """Return the cause of a late item; None for one that came in time."""
    starts = [line for line in story if line["event"] == "item_started"]
    if not starts:
        return None
    due_at = starts[0]["time"] + starts[0]["due_in_s"]
    recorded = [line for line in story if line["event"] == "outcomes_recorded"]
    finished = [line for line in story if line["event"] == "item_finished"]
    if recorded and recorded[0]["time"] <= due_at:
        return None
    if finished and finished[0]["outcome"] != "completed":
        return None
    parts = collections.Counter()
    free_since = accepted_at or starts[0]["time"]
    # Events of the last run, its start, and whether one goes on.
    events = 0
    began_at = None
    for line in story:
        if line["event"] == "item_started":
            _add_wait(parts, free_since, line["time"], claims, pressure)
            if (line["resume_after"] or 0) < events:
                # What the run before had read is read again.
                parts["work done twice"] += parts.pop("last run", 0.0)
            began_at = line["time"]
        elif line["event"] in ("item_interrupted", "item_run") and began_at:
            parts["its own run"] += parts.pop("last run", 0.0)
            parts["last run"] = line["time"] - began_at
            began_at = None
            free_since = line["time"]
            events = line.get("events", 0)
    parts["its own run"] += parts.pop("last run", 0.0)
    if finished:
        kept_s = (recorded[0]["time"] if recorded else due_at) - finished[0]["time"]
        parts["outcome not recorded"] += max(0.0, kept_s - RECORDED_S)
    else:
        _add_wait(parts, free_since, due_at, claims, pressure)
    return parts.most_common(1)[0][0]


def _add_wait(parts, since, until, claims, pressure):
    if until <= since:
        return
    lost = any(since <= claim <= until + 1.0 for claim in claims)
    cause = "host lost" if lost else pressure.cause(since, until)
    parts[cause] += until - since


def print_table(title, losses, key, weights):
    """Print the losses by a key, the largest first."""
    counts = collections.Counter()
    worth = collections.Counter()
    for loss in losses:
        counts[key(loss)] += 1
        worth[key(loss)] += loss.share * weights.get(loss.route, 1.0)
    print(f"{title:40} {'losses':>8} {'worth':>10}")
    for name, value in worth.most_common():
        print(f"  {name!s:38} {counts[name]:8} {value:10.1f}")


def main():
    """Print the losses of some logs."""
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
        lambda loss: int((loss.at - start) // WINDOW_S * WINDOW_S),
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
