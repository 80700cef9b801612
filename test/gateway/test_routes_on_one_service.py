"""
Several routes on one service, and a route with several services.

Guards items and requests against values of a route that is not theirs.
"""

import collections

import orjson
import pytest

from galenascale.gateway.configuration import RequestKind, Route, TrafficSplit
from galenascale.gateway.jobs.item_order import RunLengthEstimates
from galenascale.gateway.jobs.service_choice import allows, choose_service
from galenascale.standins.runner import RunnerStandin
from test.gateway.fleet import gateway_fleet, make_route, until
from test.gateway.test_jobs import make_job, output_of, wait_for_results

ATTEMPTS_BY_ROUTE = {"few": 1, "more": 3, "most": 5}


def make_batch_route(name, service="llm", **fields):
    """Return a batch route in the operator's configuration format."""
    return make_route(name, "batch", service, DueMs=18000, ItemTtlS=60, **fields)


class FailingRunner(RunnerStandin):
    """Answers the first runs of each id with its own 500."""

    def __init__(self, server_id, service, failures):
        super().__init__(server_id, service)
        self.failures = failures
        self.runs_by_id = collections.Counter()

    async def _run(self, request, behaviour, reader, writer):
        self.runs_by_id[request.request_id] += 1
        if self.runs_by_id[request.request_id] <= self.failures:
            behaviour.status = 500
        return await super()._run(request, behaviour, reader, writer)


async def start_failing(fleet, failures):
    """Add a FailingRunner of the service llm; return it."""
    runner = FailingRunner("failing", "llm", failures)
    await runner.start()
    fleet.runners.append(runner)
    fleet.register(runner)
    await until(lambda: fleet.hosts[0].context.servers.usable("llm", 0.0))
    return runner


async def submit_on(fleet, route, job_id, items=4):
    """Submit a job on a route; ids of items are unique."""
    job = orjson.loads(make_job(items))
    for number, item in enumerate(job["Items"]):
        item |= {"Id": f"{job_id}-{number}", "Path": f"/{route}/{number}"}
    reply = await fleet.request(
        f"/{route}/x", request_id=job_id, data=orjson.dumps(job)
    )
    assert reply.status == 202


async def wait_for_config(fleet):
    """Wait until the first host has the newest configuration."""
    configuration = fleet.hosts[0].context.configuration
    await until(lambda: configuration.version == fleet.version)


@pytest.mark.parametrize("failures", [1, 2, 4])
async def test_items_are_given_up_by_the_attempts_of_their_own_route(failures):
    """Items of all routes to the service are open at the same time."""
    async with gateway_fleet(runners=0) as fleet:
        fleet.write_config(
            [
                make_batch_route(name, Attempts=attempts)
                for name, attempts in ATTEMPTS_BY_ROUTE.items()
            ]
        )
        await wait_for_config(fleet)
        for name in ATTEMPTS_BY_ROUTE:
            await submit_on(fleet, name, f"job-{name}")
        runner = await start_failing(fleet, failures)
        for name, attempts in ATTEMPTS_BY_ROUTE.items():
            results = await wait_for_results(fleet, f"job-{name}", 4)
            completed = failures < attempts
            expected = ("completed", output_of(5)) if completed else ("dead_letter", "")
            assert {(r["State"], r["Text"]) for r in results} == {expected}
            runs = {runner.runs_by_id[result["Id"]] for result in results}
            assert runs == {failures + 1 if completed else attempts}


async def test_changed_attempts_hold_for_items_that_wait():
    """A route that is changed keeps the items that are accepted on it."""
    async with gateway_fleet(runners=0) as fleet:
        fleet.write_config([make_batch_route("jobs", Attempts=1)])
        await wait_for_config(fleet)
        await submit_on(fleet, "jobs", "job-1")
        fleet.write_config([make_batch_route("jobs", Attempts=3)])
        await wait_for_config(fleet)
        await start_failing(fleet, 2)
        results = await wait_for_results(fleet, "job-1", 4)
        assert {result["State"] for result in results} == {"completed"}


async def test_slot_of_a_service_that_the_route_left_is_not_used():
    """The configuration may be newer than the request for a slot."""
    async with gateway_fleet(runners=1) as fleet:
        host = fleet.hosts[0]
        start = host.runner._start
        refused = []

        def change_and_start(item, server, lease):
            table = host.context.configuration.table
            host.context.configuration.table = type(table)(())
            start(item, server, lease)
            host.context.configuration.table = table
            refused.append((item.task, lease.number))

        host.runner._scheduler._on_start = change_and_start
        await submit_on(fleet, "jobs", "job-1", items=1)
        await until(lambda: refused)
        host.runner._scheduler._on_start = start
        client = host.context.slots.client
        task, number = refused[0]
        assert task is None
        assert number not in client._leases_by_number
        results = await wait_for_results(fleet, "job-1", 1)
        assert results[0]["State"] == "completed"


def split_route(**weights):
    """Return a batch Route with weights by service."""
    splits = tuple(TrafficSplit(name, weight) for name, weight in weights.items())
    return Route("jobs", "h", "/", RequestKind.BATCH, splits, 5.0, 1.0)


@pytest.mark.parametrize(
    ("weights", "share"),
    [
        ({"a": 1, "b": 1}, 0.5),
        ({"a": 9, "b": 1}, 0.9),
        ({"a": 0.2, "b": 0.8}, 0.2),
        ({"a": 1, "b": 0}, 1.0),
        ({"a": 1}, 1.0),
    ],
)
def test_items_follow_the_weights_of_their_route(weights, share):
    """Guards against all items at the service of the largest weight."""
    route = split_route(**weights)
    chosen = [
        choose_service(route, ("job", index), lambda _: True) for index in range(4000)
    ]
    assert abs(chosen.count("a") / len(chosen) - share) < 0.03
    again = [
        choose_service(route, ("job", index), lambda _: True) for index in range(4000)
    ]
    assert again == chosen


def test_item_moves_only_if_its_service_is_lost_or_left_out():
    """Another service could not continue the output of an item."""
    route = split_route(a=1, b=1)
    for index in range(200):
        key = ("job", index)
        chosen = choose_service(route, key, lambda _: True)
        other = "b" if chosen == "a" else "a"
        weights = {"a": 1, "b": 1, "c": 1}
        assert choose_service(split_route(**weights), key, lambda _: True) in (
            chosen,
            "c",
        )
        assert (
            choose_service(route, key, lambda name, other=other: name == other) == other
        )
        assert choose_service(route, key, lambda _: False) == chosen


@pytest.mark.parametrize(
    ("weights", "service", "expected"),
    [({"a": 1}, "a", True), ({"a": 1}, "b", False), ({"a": 0, "b": 1}, "a", False)],
)
def test_route_allows_its_services_only(weights, service, expected):
    """Guards against runs at a service to which no request may go."""
    assert allows(split_route(**weights), service) is expected
    assert not allows(None, service)


def test_lengths_of_runs_are_known_by_route():
    """Guards the order of items against lengths of another route's runs."""
    estimates = RunLengthEstimates()
    for _ in range(50):
        estimates.of_route("long").add_run(60_000, 5000)
    assert estimates.of_route("short").progress(_Progress(100)) == 0.5
    assert estimates.of_route("long").progress(_Progress(100)) < 0.05


class _Progress:
    def __init__(self, events):
        self.events = events
