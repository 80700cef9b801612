"""One play of the soak: load, faults, a calm end and the checks."""

import asyncio
import random
import shutil

import aiohttp
import attrs

from test.gateway.fleet import ROUTES, make_route
from test.soak import faults
from test.soak.checks import check_jobs, check_requests
from test.soak.clients import EVENTS, Clients
from test.soak.fleet import ROOT, Fleet, make_directory

# Seconds of load, and of calm after it for jobs to finish.
LOAD_S = 9.0
CALM_S = 14.0
# Seconds in which a change is in force, or a leaving server is left alone.
APPLY_S = 2.0
DRAIN_S = 2.0
# Requests on an added route at each host.
CHANGE_REQUESTS = 4
# Requests at most until a server gets one in which it can say that it leaves.
WORD_REQUESTS = 60
CALLERS = 6
SUBMITTERS = 2


@attrs.frozen
class Size:
    """How many processes, servers and faults a play has."""

    hosts: int = 4
    plain_runners: int = 2
    engines: int = 4
    faults: int = 8


@attrs.define
class Result:
    """What a play showed."""

    seed: int
    directory: str
    faults: list
    broken: list = attrs.field(factory=list)
    requests: int = 0
    served: int = 0
    jobs: int = 0


async def play(seed, size=Size(), environment=None, checkouts=(ROOT,)):
    """
    Play a seed and return the Result; its logs stay if promises broke.

    Hosts run the programs of the checkouts in turn.
    """
    rng = random.Random(seed)
    directory = make_directory()
    result = Result(seed, directory, faults.draw(rng, size.faults))
    fleet = Fleet(directory, environment, checkouts)
    try:
        runners = {"app": size.plain_runners, "llm": size.engines}
        await fleet.start_fleet(size.hosts, runners)
        for runner in fleet.runners:
            runner.behaviour.events = EVENTS
        await _play(fleet, rng, result)
    finally:
        await fleet.end()
    if not result.broken:
        shutil.rmtree(directory)
    return result


async def _play(fleet, rng, result):
    clients = Clients(fleet, rng)
    load = asyncio.create_task(clients.run(CALLERS, SUBMITTERS))
    tasks = [asyncio.create_task(_later(fleet, fault)) for fault in result.faults]
    await asyncio.sleep(LOAD_S)
    clients.stopped = True
    await load
    await asyncio.gather(*tasks)
    if not await fleet.wait_until_ready(CALM_S):
        result.broken.append("a host is not ready long after the last fault")
    await _read_jobs(fleet, clients)
    result.broken.extend(check_requests(fleet, clients.requests))
    result.broken.extend(check_jobs(fleet, clients.jobs))
    result.broken.extend([line async for line in _check_changes(fleet, clients)])
    result.broken.extend([line async for line in _check_word(fleet)])
    result.requests = len(clients.requests)
    result.served = sum(sent.status == 200 for sent in clients.requests)
    result.jobs = sum(job.accepted for job in clients.jobs)


async def _later(fleet, fault):
    await asyncio.sleep(fault.at_s)
    await faults.apply(fleet, fault)


async def _read_jobs(fleet, clients):
    """Read all jobs until they are complete or the calm is over."""
    give_up_at = asyncio.get_running_loop().time() + CALM_S
    while asyncio.get_running_loop().time() < give_up_at:
        open_jobs = [
            job
            for job in clients.jobs
            if job.accepted and job.ended_at is None and len(job.results) < job.items
        ]
        if not open_jobs:
            break
        for job in open_jobs:
            await clients.read(job)
        await asyncio.sleep(0.2)
    for job in clients.jobs:
        if job.accepted:
            await clients.read(job)


async def _try_request(fleet, host, path):
    """Return the status of a request, or the error that ended it."""
    try:
        reply = await fleet.request(path, request_id=f"change-{host}", host=host)
    except aiohttp.ClientError as error:
        return repr(error)
    return reply.status


async def _check_changes(fleet, clients):
    """
    Yield a line for each host that follows a change too late.

    All is calm: a route is added, another removed, a server drains.
    """
    leaving = fleet.runners_of("app")[0]
    fleet.register(leaving, state="draining")
    fleet.write_config([*ROUTES[1:], make_route("added", "idempotent", "app")])
    await asyncio.sleep(max(APPLY_S, DRAIN_S))
    seen = len(leaving.requests)
    expected_by_path = {f"/added/{n}": 200 for n in range(CHANGE_REQUESTS)}
    expected_by_path["/plain/x"] = 404
    for process in fleet.processes:
        for path, expected in expected_by_path.items():
            status = await _try_request(fleet, process.number, path)
            if status != expected:
                yield f"host {process.number}: {path} got {status}"
    if len(leaving.requests) > seen:
        yield "a server that drains got new requests"


async def _check_word(fleet):
    """Yield a line if a server that says that it leaves is still used."""
    host = fleet.processes[0].number
    leaving = await _serving_engine(fleet, host)
    if leaving is None:
        yield "no engine serves a request in the calm"
        return
    leaving.behaviour.leaving = True
    said = len(leaving.requests) + 1
    for number in range(WORD_REQUESTS):
        await _try_request(fleet, host, f"/chat/{number}")
        if len(leaving.requests) >= said:
            break
    await asyncio.sleep(DRAIN_S)
    for process in fleet.processes:
        for number in range(CHANGE_REQUESTS):
            await _try_request(fleet, process.number, f"/chat/{number}")
    if len(leaving.requests) > said:
        yield "a server that said that it leaves got new requests"


async def _serving_engine(fleet, host):
    """Return the engine to which a host sends a request, or None."""
    engines = fleet.runners_of("llm")
    before = [len(engine.requests) for engine in engines]
    await _try_request(fleet, host, "/chat/first")
    for engine, count in zip(engines, before, strict=True):
        if len(engine.requests) > count:
            return engine
    return None
