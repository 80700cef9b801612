"""Items that expect other weights keep all other jobs back; see claim.txt."""

import asyncio
import time
from pathlib import Path

import orjson

from review import harness3 as harness
from review.harness3 import BROKEN, HELD, NOT_RUN, TextRunner

# Version of the weights of all servers, and that which some items expect.
VERSION = "2"
EXPECTED_VERSION = "1"
PINNED_ITEMS = 200
USUAL_JOBS = 6
USUAL_ITEMS = 10
COMPLETION_S = 18.0
# Seconds in which no server may have had an item of the job, and in which no
# item may have been finished.
IDLE_S = 5.0
UNFINISHED_S = 3.0
LATEST_S = 80.0


class VersionedRunner(TextRunner):
    """Answers 421 to requests that expect other weights, and runs none."""

    async def _answer(self, request, reader, writer):
        expected = request.header("X-Galenascale-Expect-Version")
        if expected in (None, VERSION):
            return await super()._answer(request, reader, writer)
        self.misdirected += 1
        lines = [
            "HTTP/1.1 421 Misdirected Request",
            f"X-Galenascale-Attempt-Id: {request.request_id}",
            f"X-Galenascale-Weight-Versions: {VERSION}",
            "X-Galenascale-Not-Executed: 1",
            "Content-Length: 0",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        return True


async def submit(fleet, record, gateway, job_id, items, *, pinned):
    """Submit a job; return True if it is accepted."""
    job = orjson.loads(harness.make_job(job_id, items, 1500))
    if pinned:
        for item in job["Items"]:
            item["Headers"]["X-Galenascale-Expect-Version"] = EXPECTED_VERSION
    status, _, _ = await fleet.call(
        gateway,
        "POST",
        f"/jobs/{job_id}",
        harness.job_fields(job_id),
        orjson.dumps(job),
    )
    record.write("submit", job=job_id, items=items, pinned=pinned, status=status)
    return status == 202


async def wait_calm(fleet, begun_at):
    """Wait for CompletionS and an idle time; return False if it is late."""
    ended_at = idle_since = time.monotonic()
    while time.monotonic() - begun_at < LATEST_S:
        await asyncio.sleep(0.05)
        now = time.monotonic()
        if any(runner.running for runner in fleet.runners):
            idle_since = now
        idle_s = now - idle_since
        if now - ended_at >= COMPLETION_S and idle_s >= max(IDLE_S, UNFINISHED_S):
            return True
    return False


async def play(fleet, record):
    """Play the case; return its result."""
    begun_at = time.monotonic()
    runners = [VersionedRunner(f"llm-{number}", "llm") for number in range(9)]
    if not await fleet.start(2, {}, runners=runners):
        return NOT_RUN
    for runner in runners:
        runner.behaviour.events = 219
        runner.behaviour.event_interval_s = 0.01
    pinned = harness.trouble()
    for gateway in fleet.gateways:
        job_id = f"first{gateway.number}"
        await submit(fleet, record, gateway, job_id, PINNED_ITEMS, pinned=pinned)
    await asyncio.sleep(1)
    usual = []
    for number in range(USUAL_JOBS):
        gateway = fleet.gateways[number % len(fleet.gateways)]
        job_id = f"usual{number}"
        if await submit(fleet, record, gateway, job_id, USUAL_ITEMS, pinned=False):
            usual.append(job_id)
    record.write("traffic_ended", accepted=len(usual))
    if not await wait_calm(fleet, begun_at):
        return NOT_RUN
    missing = 0
    for job_id in usual:
        listed = await fleet.read_job(fleet.gateways[0], job_id) or {}
        reached = sum(
            request.request_id.startswith(f"{job_id}-")
            for runner in runners
            for request in runner.requests
        )
        record.write("read", job=job_id, listed=len(listed), reached_servers=reached)
        missing += USUAL_ITEMS - len(listed)
    refused = sum(runner.misdirected for runner in runners)
    record.write("result", jobs=len(usual), missing=missing, answers_421=refused)
    return BROKEN if missing else HELD


if __name__ == "__main__":
    harness.run_case(play, Path(__file__).parent)
