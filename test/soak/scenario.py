"""One scenario of the soak test: load with faults, recovery and checks."""

import asyncio
import random
import shutil

import aiohttp
import attrs

from test.gateway.fleet import ROUTES, key_header, make_route
from test.soak import faults
from test.soak.checks import check_jobs, check_requests
from test.soak.clients import STREAM_EVENTS, Clients
from test.soak.fleet import ROOT, ProcessFleet, make_run_directory
from test.soak.tenants import CHECKS, check_tenants

# Seconds of load.
LOAD_S = 9.0
# Seconds after the load in which hosts must become ready, and again in which
# jobs must finish.
SETTLE_S = 14.0
# Seconds until a configuration change is in force on all hosts.
CONFIG_PROPAGATION_S = 2.0
# Seconds until no host sends requests to a draining or leaving server.
LEAVE_PROPAGATION_S = 2.0
# Requests that each check sends through each host.
CHECK_REQUESTS = 4
# Requests sent at most until the leaving server receives one; only its answer
# can announce that it leaves.
MAX_LEAVING_REQUESTS = 60
# Requests per second that a server names as its limit, seconds until all hosts
# keep to it, seconds in which its requests are counted, and seconds between
# two requests meanwhile.
SERVER_LIMIT_PER_S = 1.5
LIMIT_PROPAGATION_S = 2.0
LIMIT_WINDOW_S = 4.0
LIMIT_CHECK_INTERVAL_S = 0.03
# Share of the reachable requests that are served at least.
MIN_SERVED = 0.5
# Tasks that send online requests.
CALLERS = 6
# Tasks that submit jobs.
SUBMITTERS = 2


@attrs.frozen
class ScenarioSize:
    """Number of hosts, backend servers and random faults."""

    hosts: int = 4
    plain_runners: int = 2
    engines: int = 4
    faults: int = 8


@attrs.define
class ScenarioResult:
    """Faults, violations and counts of one scenario."""

    seed: int
    directory: str
    faults: list
    violations: list = attrs.field(factory=list)
    requests: int = 0
    # Requests to hosts that the test had not ended, or that listened again.
    reachable: int = 0
    served: int = 0
    jobs: int = 0

    @property
    def serves_enough(self):
        """Return True if the fleet served most of what it could."""
        return self.served > self.reachable * MIN_SERVED


async def run_scenario(
    seed, size=ScenarioSize(), environment=None, checkouts=(ROOT,), upgrade=False
):
    """
    Run a seed and return the ScenarioResult.

    Hosts alternate between the code of the checkouts. In an upgrade they are
    replaced one after the other by hosts of this checkout. The directory with
    their logs is kept if a guarantee was violated.
    """
    rng = random.Random(seed)
    directory = make_run_directory()
    result = ScenarioResult(seed, directory, faults.draw_faults(rng, size.faults))
    fleet = ProcessFleet(directory, environment, checkouts)
    try:
        runners = {"app": size.plain_runners, "llm": size.engines}
        await fleet.start_fleet(size.hosts, runners)
        for runner in fleet.runners:
            runner.behaviour.events = STREAM_EVENTS
        await _run_phases(fleet, rng, result, upgrade)
    finally:
        await fleet.stop_fleet()
    if not result.violations:
        shutil.rmtree(directory)
    return result


async def _run_phases(fleet, rng, result, upgrade):
    clients = Clients(fleet, rng)
    load = asyncio.create_task(clients.run(CALLERS, SUBMITTERS))
    tasks = [
        asyncio.create_task(_inject_later(fleet, fault)) for fault in result.faults
    ]
    if upgrade:
        tasks.append(asyncio.create_task(faults.upgrade_hosts(fleet, ROOT)))
    await asyncio.sleep(LOAD_S)
    clients.stopped = True
    await load
    await asyncio.gather(*tasks)
    if not await fleet.wait_until_ready(SETTLE_S):
        result.violations.append("a host is not ready long after the last fault")
    await _read_jobs(fleet, clients)
    result.violations.extend(check_requests(fleet, clients.requests))
    result.violations.extend(check_jobs(fleet, clients.jobs))
    result.violations.extend(check_tenants(fleet, clients.requests))
    result.violations.extend(
        [line async for line in _check_configuration_change(fleet, clients)]
    )
    result.violations.extend([line async for line in _check_limited_server(fleet)])
    result.violations.extend([line async for line in _check_leaving_server(fleet)])
    result.requests = len(clients.requests)
    result.reachable = sum(not sent.host_was_down for sent in clients.requests)
    result.served = sum(sent.status == 200 for sent in clients.requests)
    result.jobs = sum(job.accepted for job in clients.jobs)


async def _inject_later(fleet, fault):
    await asyncio.sleep(fault.at_s)
    await faults.inject_fault(fleet, fault)


async def _read_jobs(fleet, clients):
    """Read all accepted jobs until complete, for SETTLE_S at most."""
    give_up_at = asyncio.get_running_loop().time() + SETTLE_S
    while asyncio.get_running_loop().time() < give_up_at:
        open_jobs = [
            job
            for job in clients.jobs
            if job.accepted and job.ended_at is None and len(job.results) < job.items
        ]
        if not open_jobs:
            break
        for job in open_jobs:
            await clients.read_results(job)
        await asyncio.sleep(0.2)
    for job in clients.jobs:
        if job.accepted:
            await clients.read_results(job)


async def _try_request(fleet, host, path):
    """Return the status of a request, or repr() of a client error."""
    try:
        reply = await fleet.request(
            path,
            request_id=f"change-{host}",
            host=host,
            headers=key_header(fleet.keys.key_by_tenant[CHECKS]),
        )
    except aiohttp.ClientError as error:
        return repr(error)
    return reply.status


async def _check_configuration_change(fleet, clients):
    """
    Yield a line for each host that applies a change too late.

    With no faults active, adds a route, removes another and drains a server.
    """
    leaving = fleet.runners_of("app")[0]
    fleet.register(leaving, state="draining")
    fleet.write_config([*ROUTES[1:], make_route("added", "idempotent", "app")])
    await asyncio.sleep(max(CONFIG_PROPAGATION_S, LEAVE_PROPAGATION_S))
    requests_before = len(leaving.requests)
    expected_by_path = {f"/added/{n}": 200 for n in range(CHECK_REQUESTS)}
    expected_by_path["/plain/x"] = 404
    for process in fleet.processes:
        for path, expected in expected_by_path.items():
            status = await _try_request(fleet, process.number, path)
            if status != expected:
                yield f"host {process.number}: {path} got {status}"
    if len(leaving.requests) > requests_before:
        yield "a server that drains got new requests"


async def _check_leaving_server(fleet):
    """Yield a line if hosts still use a server that announced to leave."""
    host = fleet.processes[0].number
    leaving = await _find_serving_engine(fleet, host)
    if leaving is None:
        yield "no engine serves a request in the calm"
        return
    leaving.behaviour.leaving = True
    requests_until_announced = len(leaving.requests) + 1
    for number in range(MAX_LEAVING_REQUESTS):
        await _try_request(fleet, host, f"/chat/{number}")
        if len(leaving.requests) >= requests_until_announced:
            break
    await asyncio.sleep(LEAVE_PROPAGATION_S)
    for process in fleet.processes:
        for number in range(CHECK_REQUESTS):
            await _try_request(fleet, process.number, f"/chat/{number}")
    if len(leaving.requests) > requests_until_announced:
        yield "a server that said that it leaves got new requests"


async def _check_limited_server(fleet):
    """Yield a line if a server gets more than the limit that it names."""
    now = asyncio.get_running_loop().time
    limited = fleet.runners_of("llm")[0]
    limited.behaviour.limits = (str(SERVER_LIMIT_PER_S),)
    began_at = now()
    tasks = []
    while now() < began_at + LIMIT_PROPAGATION_S + LIMIT_WINDOW_S:
        host = fleet.processes[len(tasks) % len(fleet.processes)].number
        path = f"/chat/limited-{len(tasks)}"
        tasks.append(asyncio.create_task(_try_request(fleet, host, path)))
        await asyncio.sleep(LIMIT_CHECK_INTERVAL_S)
    await asyncio.gather(*tasks)
    limited.behaviour.limits = ()
    window_at = began_at + LIMIT_PROPAGATION_S
    count = sum(
        window_at <= request.received_at < window_at + LIMIT_WINDOW_S
        for request in limited.requests
    )
    allowed = 1.5 * SERVER_LIMIT_PER_S * LIMIT_WINDOW_S + 5
    if count > allowed:
        yield f"a server that named {SERVER_LIMIT_PER_S} a second got {count} in 4 s"


async def _find_serving_engine(fleet, host):
    """Send a request and return the engine that received it, or None."""
    engines = fleet.runners_of("llm")
    before = [len(engine.requests) for engine in engines]
    await _try_request(fleet, host, "/chat/first")
    for engine, count in zip(engines, before, strict=True):
        if len(engine.requests) > count:
            return engine
    return None
