"""A stop records more unfinished output than hosts can read; see claim.txt."""

import asyncio
import base64
import random
import signal
import time
from pathlib import Path

import orjson

from review import harness3 as harness
from review.harness3 import BROKEN, HELD, NOT_RUN, TextRunner

# One job with long outputs: 72 items for as many slots. Each output has 219
# events of 428 bytes, in all 92 KB; a page of results has up to 1 MB.
LONG_JOB = "long"
LONG_ITEMS = 72
LONG_TOKENS = (350, 16_000)
EVENT_BYTES = 321
EVENTS = 219
EVENT_INTERVAL_S = 0.055
USUAL_JOBS = 48
USUAL_ITEMS = 2
# Seconds from the first job to the other ones, and to the SIGTERM.
USUAL_AT_S = 9.5
STOP_AT_S = 11.0
COMPLETION_S = 18.0
IDLE_S = 5.0
LATEST_S = 90.0


class LongTextRunner(TextRunner):
    """Writes long events for the items of the long job."""

    def text_of(self, request, number):
        """Return the data of an event."""
        if not request.request_id.startswith(LONG_JOB):
            return super().text_of(request, number)
        rng = random.Random(f"{request.request_id} {number}")
        return base64.b64encode(rng.randbytes(EVENT_BYTES)).decode()


def make_long_job():
    """Return the job with long outputs, as JSON."""
    job = orjson.loads(harness.make_job(LONG_JOB, LONG_ITEMS, 1500))
    prompt, output = LONG_TOKENS
    for item in job["Items"]:
        item["Headers"]["X-Galenascale-Token-Usage"] = f"{prompt},{output}"
        item["Tokens"] = prompt + output
    return orjson.dumps(job)


async def submit(fleet, record, gateway, job_id, body):
    """Submit a job; return True if it is accepted."""
    fields = harness.job_fields(job_id)
    status, _, _ = await fleet.call(gateway, "POST", f"/jobs/{job_id}", fields, body)
    record.write("submit", job=job_id, gateway=gateway.number, status=status)
    return status == 202


async def restart(record, gateway):
    """Stop a gateway with SIGTERM, and start it again."""
    record.write("sigterm", gateway=gateway.number)
    gateway.signal(signal.SIGTERM)
    await gateway.process.wait()
    record.write("ended", gateway=gateway.number, code=gateway.process.returncode)
    await gateway.start()


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


async def play(fleet, record):
    """Play the case; return its result."""
    begun_at = time.monotonic()
    runners = [LongTextRunner(f"llm-{number}", "llm") for number in range(9)]
    if not await fleet.start(2, {}, runners=runners):
        return NOT_RUN
    for runner in runners:
        runner.behaviour.events = EVENTS
        runner.behaviour.event_interval_s = EVENT_INTERVAL_S
    first, second = fleet.gateways
    items_by_job = {}
    if await submit(fleet, record, first, LONG_JOB, make_long_job()):
        items_by_job[LONG_JOB] = LONG_ITEMS
    await asyncio.sleep(USUAL_AT_S)
    for number in range(USUAL_JOBS):
        job_id = f"usual{number}"
        body = harness.make_job(job_id, USUAL_ITEMS, 1500)
        if await submit(fleet, record, second, job_id, body):
            items_by_job[job_id] = USUAL_ITEMS
    record.write("traffic_ended", accepted=len(items_by_job))
    await asyncio.sleep(STOP_AT_S - USUAL_AT_S)
    if harness.trouble():
        await restart(record, first)
        if not await fleet.wait_ready():
            return NOT_RUN
    if not await wait_calm(fleet, begun_at):
        return NOT_RUN
    return await check(fleet, record, items_by_job)


async def check(fleet, record, items_by_job):
    """Read all jobs; return whether all their items are listed."""
    missing = 0
    for job_id, items in items_by_job.items():
        listed = await fleet.read_job(fleet.gateways[1], job_id) or {}
        record.write("read", job=job_id, items=items, listed=len(listed))
        missing += items - len(listed)
    late = await submit(fleet, record, fleet.gateways[1], LONG_JOB, make_long_job())
    record.write("sent_again", job=LONG_JOB, accepted=late)
    record.write("result", jobs=len(items_by_job), missing=missing)
    return BROKEN if missing else HELD


if __name__ == "__main__":
    harness.run_case(play, Path(__file__).parent, memory_mb=340)
