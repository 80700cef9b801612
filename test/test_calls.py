"""Non-idempotent calls over a faulty log, lost answers and lost hosts."""

import asyncio

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale.calls import Answer, Call, CallService
from galenascale.clock import FakeClock
from galenascale.errors import BackendError, Execution, GalenascaleError, Refused
from galenascale.generated.messages import BackendServerDeclaration, HostSettings
from test.fakes import FakeHost, FakeLog, FakePeers, run_with_clock

SERVERS = [BackendServerDeclaration(name=f"server-{n}") for n in range(2)]


class FakeService:
    """Counts the runs of each call; faults are used up in order."""

    def __init__(self, clock):
        self.clock = clock
        self.faults = []
        self.runs = []

    async def forward(self, server, method, path, headers, body, timeout_s=None):
        """Answer, or fail before or after the run."""
        fault = self.faults.pop(0) if self.faults else "ok"
        if fault == "connect_failed":
            raise BackendError("no", code=fault, execution=Execution.NOT_RUN)
        self.runs.append(body)
        if fault == "slow":
            await self.clock.sleep(0.5)
        if fault == "lost":
            raise BackendError("lost", execution=Execution.MAY_HAVE_RUN)
        return Answer(200, "application/json", b"run %d" % len(self.runs))


@attrs.define
class World:
    """Two hosts, one log, one plain service."""

    clock: FakeClock = attrs.field(factory=FakeClock)
    log: FakeLog = attrs.field(factory=FakeLog)
    peers: FakePeers = attrs.field(factory=FakePeers)
    hosts: list = attrs.field(factory=list)
    services: list = attrs.field(factory=list)
    backend: FakeService = None

    def __attrs_post_init__(self):
        self.backend = FakeService(self.clock)
        for host_id in ("a", "b"):
            self.start(host_id)

    def start(self, host_id):
        """Start a host, or its next incarnation."""
        host = FakeHost(
            host_id, self.log, self.clock, HostSettings(), lambda shard: "a", self.peers
        )
        service = CallService(host, self.choose, self.backend)
        self.peers.handlers[host_id, "submit"] = host.shards.handle_submit
        self.peers.handlers[host_id, "call_status"] = service.handle_status
        self.hosts.append(host)
        self.services.append(service)
        return service

    def choose(self, service, excluded):
        """Return the first server that is not excluded."""
        return next((s for s in SERVERS if s.name not in excluded), None)

    def make_call(self, key="k", body=b"invoice", idempotent=False):
        """Return a call that has 20 s of time."""
        deadline = self.clock.monotonic() + 20
        return Call(
            "t", "booking-app", "POST", "/invoices", "", body, deadline, key, idempotent
        )

    async def run(self, service, call):
        """Return the answer's body, or the execution field of the error."""
        try:
            return (await run_with_clock(self.clock, service.call(call))).body
        except GalenascaleError as error:
            return error.execution

    async def close(self):
        """Stop everything."""
        for service, host in zip(self.services, self.hosts, strict=True):
            await service.recorder.close()
            await host.shards.close()


APPEND_FAULTS = st.lists(
    st.sampled_from(["ok", "down", "lost_answer", "late", "duplicate"]), max_size=80
)
RUN_FAULTS = st.lists(
    st.sampled_from(["ok", "connect_failed", "lost", "slow"]), max_size=4
)
RESENDS = st.lists(st.integers(0, 1), min_size=1, max_size=4)


@given(APPEND_FAULTS, RUN_FAULTS, RESENDS, st.booleans())
def test_runs_at_most_once_and_answers_truly(appends, faults, resends, concurrent):
    """Guards P5 and P6 over resends to any host under faults."""

    async def run():
        world = World()
        world.log.append_faults = list(appends)
        world.backend.faults = list(faults)
        services = [world.services[number] for number in resends]
        if concurrent:
            answers = await asyncio.gather(
                *(world.run(service, world.make_call()) for service in services)
            )
        else:
            answers = [
                await world.run(service, world.make_call()) for service in services
            ]
        world.log.deliver_late()
        answers.append(await world.run(world.services[0], world.make_call()))
        assert len(world.backend.runs) <= 1
        bodies = {answer for answer in answers if isinstance(answer, bytes)}
        assert bodies <= {b"run 1"}
        if not concurrent and not world.backend.runs:
            assert set(answers) <= {Execution.NOT_RUN, Execution.MAY_HAVE_RUN}
        if answers[-1] == Execution.NOT_RUN:
            assert not world.backend.runs
        await world.close()

    asyncio.run(run())


@given(RUN_FAULTS, st.sampled_from(["intent", "dispatch"]))
def test_lost_host_leaves_doubt_not_a_second_run(faults, at):
    """Guards at-most-once when a host is lost after its intent is recorded."""

    async def run():
        world = World()
        world.backend.faults = ["slow", *faults]
        task = asyncio.create_task(world.services[1].call(world.make_call()))
        for _ in range(3 if at == "intent" else 60):
            await world.clock.advance(0.001)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await world.services[1].recorder.close()
        await world.hosts[1].shards.close()
        world.start("b")
        answer = await world.run(world.services[0], world.make_call())
        assert len(world.backend.runs) <= 1
        if isinstance(answer, bytes):
            assert world.backend.runs
        await world.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("faults", "first", "second"),
    [
        ([], b"run 1", b"run 1"),
        (["connect_failed"], b"run 1", b"run 1"),
        (["connect_failed"] * 2, Execution.NOT_RUN, b"run 1"),
        (["lost"], Execution.MAY_HAVE_RUN, Execution.MAY_HAVE_RUN),
    ],
)
async def test_resend_to_another_host(faults, first, second):
    """Guards that a resend gets the first answer or the same doubt."""
    world = World()
    world.backend.faults = list(faults)
    assert await world.run(world.services[0], world.make_call()) == first
    assert await world.run(world.services[1], world.make_call()) == second
    await world.close()


@pytest.mark.parametrize(
    ("faults", "answer"),
    [
        (["lost", "connect_failed", "connect_failed"], Execution.MAY_HAVE_RUN),
        (["connect_failed"] * 3, Execution.NOT_RUN),
        (["lost", "connect_failed"], Execution.MAY_HAVE_RUN),
        (["connect_failed"], b"run 1"),
    ],
)
async def test_error_of_a_repeated_call_tells_about_all_tries(faults, answer):
    """Guards a `not_run` that is true of the last try only."""
    world = World()
    world.backend.faults = list(faults)
    call = world.make_call(idempotent=True)
    assert await world.run(world.services[0], call) == answer
    await world.close()


@pytest.mark.parametrize("lost_body", [False, True])
async def test_unreadable_first_answer_is_not_called_not_run(lost_body):
    """Guards a resend's error while the first call may have run."""
    world = World()
    await world.run(world.services[0], world.make_call())
    own = FakeLog(world.log.store)
    own.read_down = not lost_body
    world.hosts[1].shards._log_client = own
    world.services[1]._log_client = own
    if lost_body:
        shards = world.services[1]._shards = world.hosts[0].shards
        for shard in range(shards.count):
            for entry in (await shards.view(shard)).calls_by_id.values():
                entry.outcome_position.offset += 1000
    answer = await world.run(world.services[1], world.make_call())
    assert answer == Execution.MAY_HAVE_RUN
    await world.close()


async def test_call_of_a_host_that_nobody_knows_is_in_doubt():
    """Guards against a second dispatch after the first host was lost."""
    world = World()
    call = world.make_call()
    submit = world.services[1]._submit_intent

    async def record_and_stop(call, shard, intent):
        await submit(call, shard, intent)
        raise Refused("host is lost")

    world.services[1]._submit_intent = record_and_stop
    await world.run(world.services[1], call)
    world.start("b")
    assert await world.run(world.services[0], call) == Execution.MAY_HAVE_RUN
    assert not world.backend.runs
    await world.close()


async def test_call_past_its_deadline_is_not_dispatched():
    """Guards against a call that runs after its caller has gone."""
    world = World()
    call = attrs.evolve(world.make_call(), deadline=world.clock.monotonic() + 0.5)
    world.log.append_faults = ["down"] * 8
    assert await world.run(world.services[0], call) == Execution.NOT_RUN
    assert not world.backend.runs
    await world.close()


async def test_other_body_under_the_key_is_refused():
    """Guards against an answer that belongs to another request."""
    world = World()
    await world.run(world.services[0], world.make_call())
    with pytest.raises(GalenascaleError, match="another body") as caught:
        await run_with_clock(
            world.clock, world.services[1].call(world.make_call(body=b"other"))
        )
    assert caught.value.http_status == 409
    await world.close()


async def test_log_down_refuses_before_dispatch():
    """Guards the truth of `not_run` while the log is away."""
    world = World()
    world.log.append_faults = ["down"] * 1000
    assert await world.run(world.services[0], world.make_call()) == Execution.NOT_RUN
    assert world.backend.runs == []
    await world.close()


async def test_outcome_is_recorded_after_the_log_returns():
    """Guards the readable result of a call answered during an outage."""
    world = World()
    world.log.append_faults = ["ok"] + ["down"] * 200
    assert await world.run(world.services[0], world.make_call()) == b"run 1"
    await run_with_clock(world.clock, world.services[0].drain())
    assert await world.run(world.services[1], world.make_call()) == b"run 1"
    await world.close()
