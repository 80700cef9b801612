"""Outcomes of jobs and calls under every failure, over whole hosts."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from galenascale.errors import Execution, GalenascaleError, UserError
from galenascale.generated.messages import OutcomeStatus
from test.batch.world import World

INNOCENT = tuple(f"a{n}" for n in range(7))
POISONED = (*INNOCENT[:3], "poison", *INNOCENT[3:])
MAX_POISONED_SERVERS = 2


# Each invariant is one check over a world whose faults have ended.


async def check_one_line_for_each_item(world):
    """An ended job has exactly one result line for each item."""
    for job_id, items in world.accepted.items():
        names = [name for name, _ in await world.results(job_id)]
        assert sorted(names) == sorted(items), job_id


async def check_all_acknowledged_jobs_end(world):
    """No acknowledged job is lost, and each one ends."""
    jobs = await world.jobs()
    assert world.accepted.keys() <= jobs.keys()
    assert all(jobs[job_id].ended for job_id in world.accepted)


async def check_no_outcome_after_cancel(world):
    """What was recorded at an accepted cancel does not change."""
    jobs = await world.jobs()
    for job_id, statuses in world.cancelled.items():
        assert bytes(jobs[job_id].statuses) == statuses


async def check_recorded_outcomes_stand(world):
    """The first recorded outcome of an item is the one that is kept."""
    jobs = await world.jobs()
    for (job_id, item), outcome in world.recorded.items():
        job = jobs[job_id]
        assert (job.statuses[item], job.outcome_indexes[item]) == outcome


async def check_at_most_once(world):
    """Items and calls that may not be repeated run at most once."""
    for item, count in world.backend.runs.items():
        assert count <= 1 or not item.startswith("once"), (item, count)


async def check_not_run_is_true(world):
    """Nothing that was reported as not run has run or was accepted."""
    for item in world.refused:
        assert not world.backend.runs[item], item
        assert not any(item in items for items in world.accepted.values())
    for job_id, items in world.accepted.items():
        if not items[0].startswith("once"):
            continue
        for item, code in await world.results(job_id):
            if code in ("batch_cancelled", "batch_expired"):
                assert not world.backend.runs[item], (item, code)


async def check_innocent_items_finish(world):
    """An item fails for good only after two servers crashed under it."""
    for job_id, job in (await world.jobs()).items():
        if job.cancelled or not job.created.idempotent:
            continue
        for item, code in await world.results(job_id):
            crashes = world.backend.harmed[item]
            assert code is None or crashes >= MAX_POISONED_SERVERS, (item, code)


async def check_poison_is_contained(world):
    """A poisonous item crashes two servers at most."""
    # A host that is lost or silent at a crash cannot tell the others of it.
    bound = MAX_POISONED_SERVERS + world.losses + world.pauses
    assert world.backend.poisonings["poison"] <= bound


CHECKS = (
    check_all_acknowledged_jobs_end,
    check_one_line_for_each_item,
    check_no_outcome_after_cancel,
    check_recorded_outcomes_stand,
    check_at_most_once,
    check_not_run_is_true,
    check_innocent_items_finish,
    check_poison_is_contained,
)


async def check_all(world):
    """Heal the world and run all checks."""
    await world.heal()
    await world.traffic()
    for check in CHECKS:
        await check(world)


async def attempt(world, coroutine, item=None):
    """Return a request's result or its error; note what was refused."""
    try:
        return await world.wait(coroutine)
    except GalenascaleError as error:
        if item is not None and error.execution == Execution.NOT_RUN:
            world.refused.append(item)
        return error


HOSTS = st.integers(0, 2)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("pause"), HOSTS),
        st.tuples(st.just("resume"), HOSTS),
        st.tuples(st.just("replace"), HOSTS),
        st.tuples(st.just("replace_all"), st.just(0)),
        st.tuples(st.just("crash"), st.integers(0, 2)),
        st.tuples(st.just("racing"), st.booleans()),
        st.tuples(st.just("cancel"), HOSTS),
        st.tuples(st.just("resend"), HOSTS),
        st.tuples(st.just("call"), HOSTS),
        st.tuples(st.just("new_job"), HOSTS),
        st.tuples(st.just("log_down"), st.sampled_from([1, 4, 9])),
        st.tuples(st.just("advance"), st.sampled_from([0.2, 1, 3, 7])),
        st.tuples(st.just("traffic"), st.integers(5, 70)),
        st.tuples(
            st.just("appends"),
            st.lists(
                st.sampled_from(["ok", "down", "lost_answer", "late", "duplicate"]),
                min_size=3,
                max_size=12,
            ),
        ),
        st.tuples(
            st.just("runs"),
            st.lists(st.sampled_from(["ok", "connect_failed"]), max_size=4),
        ),
    ),
    min_size=2,
    max_size=10,
)


class Script:
    """Runs steps against a world."""

    def __init__(self, world, service, idempotent, items):
        self.world = world
        self.job = {"service": service, "key": "k", "idempotent": idempotent}
        self.items = items
        self.count = 0

    def live(self, number):
        """Return a host that callers reach, at or after a number."""
        hosts = self.world.hosts
        order = [*range(number, len(hosts)), *range(number)]
        running = (n for n in order if hosts[n].clock.running.is_set())
        return next(running, None)

    async def step(self, name, value):
        """Do one step; requests go to hosts that are not paused."""
        world = self.world
        if name in ("cancel", "resend", "call", "new_job"):
            value = self.live(value)
            if value is None:
                return
        self.count += 1
        if name == "pause":
            world.pause(value)
        elif name == "resume":
            world.resume(value)
        elif name == "replace":
            await world.replace(value)
        elif name == "replace_all":
            for number in range(len(world.hosts)):
                await world.replace(number)
        elif name == "crash" and "poison" not in self.items:
            world.backend.crash(f"{self.job['service']}-{value}")
        elif name == "racing":
            world.racing = value
        elif name == "cancel":
            for job_id in list(world.accepted):
                await attempt(world, world.cancel(value, job_id))
        elif name == "resend":
            await attempt(world, world.submit(value, self.items, **self.job))
        elif name == "call":
            # Each second call is a resend.
            item = f"once-call-{self.count}" if self.count % 2 else "once-call"
            call = world.call(value, item, key=item)
            await attempt(world, call, item if self.count % 2 else None)
        elif name == "new_job":
            item = f"once-{self.count}"
            await attempt(world, world.submit(value, [item], idempotent=False), item)
        elif name == "log_down":
            world.log.read_down = True
            world.log.append_faults = ["down"] * 1000
            await world.clock.advance(value)
            world.log.read_down, world.log.append_faults = False, []
        elif name == "advance":
            await world.clock.advance(value)
        elif name == "appends":
            world.log.append_faults = list(value)
        elif name == "traffic":
            await world.traffic(value)
        elif name == "runs":
            world.backend.faults = list(value)
        await world.note_recorded()


KINDS = st.sampled_from(
    [("svc", True, INNOCENT), ("llm", True, INNOCENT), ("svc", True, POISONED)]
    + [(name, False, tuple(f"once{n}" for n in range(7))) for name in ("svc", "llm")]
)


@given(KINDS, STEPS)
def test_outcomes_hold_under_any_order_of_failures(kind, steps):
    """Guards P1, P2, P5 and P6 under pauses, losses, outages and resends."""

    async def run():
        world = World()
        script = Script(world, *kind)
        await script.step("resend", 0)
        for step in steps:
            await script.step(*step)
        await world.heal(0)
        await script.step("resend", 1)
        await check_all(world)
        assert len([items for items in world.accepted.values() if len(items) > 1]) == 1
        await world.close()

    asyncio.run(run())


async def test_other_body_under_the_key_of_a_job_is_refused():
    """Guards against a job that answers for another one's key."""
    world = World()
    job_id = await world.wait(world.submit(0, INNOCENT, key="k"))
    hidden = await attempt(world, world.hosts[1].jobs.get("other", job_id))
    assert hidden.http_status == 404
    error = await attempt(world, world.submit(1, INNOCENT[1:], key="k"))
    assert isinstance(error, UserError) and error.http_status == 409
    await world.close()


async def test_poison_alone_fails_and_its_neighbours_finish():
    """Guards innocent items that ran beside one that crashes servers."""
    world = World()
    items = ("poison", *(f"a{n}" for n in range(40)))
    job_id = await world.wait(world.submit(0, items, service="llm"))
    await check_all(world)
    codes = dict(await world.results(job_id))
    assert codes.pop("poison") == "poison_request"
    assert set(codes.values()) == {None}
    assert (await world.jobs())[job_id].statuses.count(OutcomeStatus.FAILED) == 1
    await world.close()


async def test_sound_item_under_which_servers_crashed_is_finished():
    """Guards items that happen to run when several servers crash in a row."""
    world = World()
    job_id = await world.wait(world.submit(0, ("a0",), service="llm"))
    for _ in range(MAX_POISONED_SERVERS):
        runs = world.backend.runs["a0"]
        while world.backend.runs["a0"] == runs:
            await world.clock.advance(0.05)
        for number in range(3):
            world.backend.crash(f"llm-{number}")
        await world.clock.advance(0.05)
    await check_all(world)
    assert dict(await world.results(job_id)) == {"a0": None}
    await world.close()
