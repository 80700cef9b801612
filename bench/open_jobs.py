"""
Resident memory and rate of finished items of a host with many open jobs.

Starts a host process with stand-ins of the store and of backend servers, and
submits jobs of 200 items until their number is open or refused.

Run from the root of the repository: python -m bench.open_jobs [JOBS ...]
"""

import argparse
import asyncio
import tempfile
from pathlib import Path

import orjson

from test.gateway.host_process import running_host

RESULTS = Path(__file__).resolve().parent / "results" / "open_jobs.json"
JOBS = (10, 100, 1000)
ITEMS = 200
# Backend servers, and milliseconds of a run. Servers have 8 slots each.
SERVERS = 4
EVENTS = 5
EVENT_INTERVAL_S = 0.1
# Seconds for which finished items are counted.
COUNT_S = 10.0
CALLER_MEMORY_MB = 18
MEGABYTE = 1 << 20


def make_job(number):
    """Return the body of a job."""
    items = [
        {
            "Id": f"job{number}-{index}",
            "Path": "/jobs/run",
            "Headers": {"X-Galenascale-Model": "m", "X-Galenascale-Token-Usage": "9,9"},
            "Body": "q83vEjRWeJA=",
            "Tokens": 18,
        }
        for index in range(ITEMS)
    ]
    return orjson.dumps({"Items": items})


async def measure(jobs):
    """Return the figures of a host with so many jobs."""
    with tempfile.TemporaryDirectory() as folder:
        async with running_host(Path(folder), CALLER_MEMORY_MB) as (fleet, host):
            runners = [
                *fleet.runners_of("llm"),
                *[
                    await fleet.add_runner(f"more-{n}", "llm")
                    for n in range(SERVERS - 2)
                ],
            ]
            for runner in runners:
                runner.behaviour.events = EVENTS
                runner.behaviour.event_interval_s = EVENT_INTERVAL_S
            accepted = 0
            for number in range(jobs):
                reply = await fleet.request(
                    "/jobs/x", request_id=f"job{number}", data=make_job(number)
                )
                accepted += reply.status == 202
            before = sum(len(runner.requests) for runner in runners)
            await asyncio.sleep(COUNT_S)
            after = sum(len(runner.requests) for runner in runners)
            return {
                "jobs": jobs,
                "accepted": accepted,
                "peak_mb": round(host.peak_bytes / MEGABYTE, 1),
                "items_per_s": round((after - before) / COUNT_S, 1),
            }


def main():
    """Measure each number of jobs and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("jobs", nargs="*", type=int, default=JOBS)
    rows = [asyncio.run(measure(jobs)) for jobs in parser.parse_args().jobs]
    for row in rows:
        print(row)
    RESULTS.write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2) + b"\n")


if __name__ == "__main__":
    main()
