"""Two batch routes on one service: items are given up too early."""

import asyncio
import base64
import itertools
import json
import random
import time
from pathlib import Path

from deployment import (
    HOST,
    SERVICES,
    CannotRun,
    Spells,
    make_route,
    make_runners,
    run_case,
)
from http1 import call_once
from runner import fail_500, whole_text

# Seconds between two waves of jobs, and seconds in which the items of the last
# one are completed.
WAVES = 3
WAVE_INTERVAL_S = 16.0
COMPLETION_S = 18.0
JOBS_OF_WAVE = 36
ITEMS = 10
EVENTS = 100
# Share of its requests that the runner in trouble fails, in spells of so many
# seconds.
FAILED_SHARE = 0.4
SPELL_S = 5.0
SPELL_STARTS = (0.5, 16.5, 32.5)
ATTEMPTS = {"lote": 3, "aviso": 1}

ROUTES = [
    make_route(
        name,
        "batch",
        "llm",
        Attempts=attempts,
        TimeoutMs=15000,
        DueMs=18000,
        ItemTtlS=60,
        SessionAffinity=True,
    )
    for name, attempts in ATTEMPTS.items()
]


def make_job(route, number):
    """Return (id, items) of a job of a route."""
    job_id = f"{route}{number:08x}"
    items = [
        {
            "Id": f"{job_id}{index:04x}",
            "Path": f"/{route}/{number:x}/{index:x}",
            "Headers": {
                "X-Galenascale-Model": "m",
                "X-Galenascale-Token-Usage": f"300,{EVENTS}",
                "X-Galenascale-Prompt-Prefix": "9c2e41:300,5d07b8:240",
            },
            "Body": base64.b64encode(f"{job_id} {index}".encode()).decode(),
            "Tokens": 300 + EVENTS,
        }
        for index in range(ITEMS)
    ]
    return job_id, items


class BatchClient:
    """Submits jobs and reads their results."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.rng = random.Random(3)
        self.numbers = itertools.count(1)
        # (route, items) by job id, of accepted jobs.
        self.jobs = {}
        # Listed results by job id.
        self.results = {}

    async def call(self, method, path, job_id, body=b"", headers=()):
        """Send one call on a new connection to a gateway in rotation."""
        gateway = self.deployment.choose(self.rng)
        answer = await call_once(
            gateway.front,
            method,
            path,
            {
                "Host": HOST,
                "X-Galenascale-Attempt-Id": job_id,
                "X-Galenascale-Deadline-Ms": "4000",
                **dict(headers),
            },
            body,
            timeout_s=5.5,
        )
        return gateway, answer

    async def submit(self, route):
        """Submit a job until it is accepted, a few times at most."""
        number = next(self.numbers)
        job_id, items = make_job(route, number)
        body = json.dumps({"Items": items}).encode()
        for _ in range(4):
            gateway, answer = await self.call(
                "POST", f"/{route}/{number:x}", job_id, body
            )
            self.deployment.record.write(
                "submitted", job=job_id, gateway=gateway.name, status=answer.status
            )
            if answer.status == 202:
                self.jobs[job_id] = (route, items)
                self.results[job_id] = []
                return
            await asyncio.sleep(0.5)

    async def read(self, job_id):
        """Read the results that follow those read before."""
        results = self.results[job_id]
        path = f"/lots/{job_id}?After={len(results)}"
        _, answer = await self.call("GET", path, job_id)
        if answer.status == 200 and answer.complete:
            results.extend(json.loads(answer.body)["Outputs"])

    def open_jobs(self):
        """Return the ids of jobs with items that are not listed."""
        return [job_id for job_id in self.jobs if len(self.results[job_id]) < ITEMS]

    async def read_until_done(self, give_up_at):
        """Read all jobs until each item is listed."""
        while self.open_jobs() and time.monotonic() < give_up_at:
            await asyncio.gather(*map(self.read, self.open_jobs()))
            await asyncio.sleep(0.5)


async def case(deployment):
    """Return True if an item was given up too early (MIXED)."""
    record = deployment.record
    rng = random.Random(11)

    spells = Spells(SPELL_STARTS, SPELL_S)

    def fault(runner, request):
        """Fail a part of the requests of one runner."""
        if spells.active and request.is_stream and rng.random() < FAILED_SHARE:
            return fail_500
        return None

    runners = make_runners(record, {"llm": 7, "app": 1})
    runners[0].fault = fault
    await deployment.start(runners, ROUTES, SERVICES)
    client = BatchClient(deployment)
    spells.begin()
    routes = itertools.cycle(ATTEMPTS)
    for _ in range(WAVES):
        next_wave_at = time.monotonic() + WAVE_INTERVAL_S
        jobs = [client.submit(next(routes)) for _ in range(JOBS_OF_WAVE)]
        await asyncio.gather(*jobs)
        await client.read_until_done(next_wave_at)
        await asyncio.sleep(max(0.0, next_wave_at - time.monotonic()))
    await client.read_until_done(time.monotonic() + COMPLETION_S)
    return _judge(record, runners, client)


def _judge(record, runners, client):
    """Compare what is listed with what the runners answered."""
    if not client.jobs:
        raise CannotRun("no job was accepted")
    failures = {}
    for runner in runners:
        for item_id, outcome in runner.runs:
            if outcome == "500":
                failures[item_id] = failures.get(item_id, 0) + 1
    early = wrong = given_up = 0
    for job_id, (route, items) in client.jobs.items():
        items_by_id = {item["Id"]: item for item in items}
        for position, result in enumerate(client.results[job_id]):
            item = items_by_id[result["Id"]]
            failed = failures.get(item["Id"], 0)
            is_whole = result["Text"] == whole_text(item["Path"], EVENTS)
            is_early = result["State"] == "dead_letter" and failed < ATTEMPTS[route]
            given_up += result["State"] == "dead_letter"
            early += is_early
            wrong += result["State"] == "completed" and not is_whole
            if result["State"] != "completed" or not is_whole:
                record.write(
                    "result",
                    job=job_id,
                    route=route,
                    position=position,
                    item=item["Id"],
                    state=result["State"],
                    answers_of_500=failed,
                    attempts_of_route=ATTEMPTS[route],
                    given_up_too_early=is_early,
                )
    record.write(
        "verdict",
        jobs=len(client.jobs),
        items=len(client.jobs) * ITEMS,
        listed=sum(map(len, client.results.values())),
        given_up=given_up,
        given_up_before_attempts_answers_of_500=early,
        completed_with_wrong_text=wrong,
        answers_of_500=sum(failures.values()),
    )
    return early > 0 or wrong > 0


run_case(Path(__file__).resolve().parent, case)
