"""Servers name limits, and a machine is lost; see claim.txt."""

import asyncio
import signal
import time
from pathlib import Path

from review import harness3 as harness
from review.harness3 import BROKEN, HELD, NOT_RUN, TextRunner

# Requests per second that each server takes from all machines together, until
# the first jobs are done.
LIMIT = 20
ZONES = ("a", "b", "c")
RUNNERS_IN_ZONE = 3
JOBS = 6
ITEMS = 10
FIRST_JOBS_S = 8.0
# The machine is gone for so long when the jobs come.
GONE_S = 5.0
COMPLETION_S = 18.0
IDLE_S = 5.0
LATEST_S = 80.0


class LimitedRunner(TextRunner):
    """Names its limit in each answer while it is in need."""

    is_in_need = True

    async def _answer(self, request, reader, writer):
        if self.is_in_need:
            request.extra_header_lines = (f"Server-Limit: {LIMIT}",)
        return await super()._answer(request, reader, writer)


async def submit(fleet, record, gateway, job_id):
    """Submit a job; return True if it is accepted."""
    body = harness.make_job(job_id, ITEMS, 1500)
    fields = harness.job_fields(job_id)
    status, _, _ = await fleet.call(gateway, "POST", f"/jobs/{job_id}", fields, body)
    record.write("submit", job=job_id, gateway=gateway.number, status=status)
    return status == 202


async def wait_calm(fleet, begun_at):
    """Wait for CompletionS and an idle time; return False if it is late."""
    ended_at = idle_since = time.monotonic()
    while time.monotonic() - begun_at < LATEST_S:
        await asyncio.sleep(0.05)
        now = time.monotonic()
        if any(runner.running for runner in fleet.runners):
            idle_since = now
        if now - ended_at >= COMPLETION_S and now - idle_since >= IDLE_S:
            return True
    return False


async def count_missing(fleet, record, jobs):
    """Read jobs; return how many of their items are not listed."""
    missing = 0
    for job_id in jobs:
        listed = await fleet.read_job(fleet.gateways[0], job_id) or {}
        record.write("read", job=job_id, listed=len(listed))
        missing += ITEMS - len(listed)
    return missing


async def play(fleet, record):
    """Play the case; return its result."""
    begun_at = time.monotonic()
    runners = []
    for number in range(RUNNERS_IN_ZONE * len(ZONES)):
        runner = LimitedRunner(f"llm-{number}", "llm")
        runner.failure_domain = ZONES[number % len(ZONES)]
        runner.behaviour.events = 219
        runner.behaviour.event_interval_s = 0.01
        runners.append(runner)
    if not await fleet.start(len(ZONES), {}, runners=runners):
        return NOT_RUN
    first = [f"first{number}" for number in range(JOBS)]
    for number, job_id in enumerate(first):
        await submit(fleet, record, fleet.gateways[number % len(ZONES)], job_id)
    await asyncio.sleep(FIRST_JOBS_S)
    if await count_missing(fleet, record, first):
        return NOT_RUN
    for runner in runners:
        runner.is_in_need = False
    live = fleet.gateways
    if harness.trouble():
        *live, lost = fleet.gateways
        lost.signal(signal.SIGKILL)
        record.write("lost", gateway=lost.number)
        await asyncio.sleep(GONE_S)
    usual = []
    for number in range(JOBS):
        job_id = f"usual{number}"
        if await submit(fleet, record, live[number % len(live)], job_id):
            usual.append(job_id)
    record.write("traffic_ended", accepted=len(usual))
    if not await wait_calm(fleet, begun_at):
        return NOT_RUN
    missing = await count_missing(fleet, record, usual)
    record.write("result", jobs=len(usual), missing=missing)
    return BROKEN if missing else HELD


if __name__ == "__main__":
    harness.run_case(play, Path(__file__).parent, zones=ZONES)
