"""Online requests: the whole answer once, or one truthful error."""

import asyncio

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from galenascale.errors import Execution
from galenascale.requests import ServerReport
from test.fake_engine import NOT_RUN, TOKENS, Deployment, FakeEngine, text

ENDS = ["stream_broken", "ends_early", "gap", "hang", "bad_request", "", *NOT_RUN]
SCRIPT = st.tuples(
    st.integers(0, 3), st.integers(0, TOKENS), st.sampled_from(ENDS)
).map(lambda item: (item[0], TOKENS, "") if item[2] == "" else item)


def check_answer(deployment, request, chunks, error):
    """Check the tokens, and that an error tells what is known of the run."""
    assert [chunk.index for chunk in chunks] == list(range(len(chunks)))
    assert all(chunk.text == text(request, chunk.index) for chunk in chunks)
    assert (len(chunks) == TOKENS) == (error is None)
    if error is not None and error.execution == Execution.NOT_RUN:
        assert request.request_id not in deployment.engine.ran


@given(
    scripts=st.lists(SCRIPT, max_size=10),
    count=st.integers(1, 4),
    slots=st.integers(1, 2),
    attempts=st.integers(1, 4),
)
def test_any_failures_yield_the_exact_answer_or_one_truthful_error(
    scripts, count, slots, attempts
):
    async def run():
        engine = FakeEngine(scripts)
        deployment = Deployment(engine, 3, slots, max_attempts=attempts)
        requests = [deployment.request(f"r{i}") for i in range(count)]
        results = await deployment.run(*map(deployment.call, requests))
        for request, (chunks, error) in zip(requests, results, strict=True):
            check_answer(deployment, request, chunks, error)
            assert engine.attempts[request.request_id] <= attempts
            if not scripts:
                assert error is None
        await deployment.close()

    asyncio.run(run())


# Regression: a copy went to a restarted server before the crash was noticed.
@example(servers=2, waves=[3], innocents=4, hold_at=0)
@given(
    servers=st.integers(2, 5),
    waves=st.lists(st.integers(1, 4), min_size=1, max_size=3),
    innocents=st.integers(0, 4),
    hold_at=st.none() | st.integers(0, TOKENS - 1),
)
def test_poison_crashes_at_most_two_servers_and_neighbours_finish(
    servers, waves, innocents, hold_at
):
    async def run():
        engine = FakeEngine(hold_at=hold_at)
        # Each broken stream costs an attempt; neighbours may need several.
        deployment = Deployment(engine, servers, 3, max_attempts=5)
        number = 0
        neighbours = [deployment.request(f"n{i}") for i in range(innocents)]
        tasks = [asyncio.ensure_future(deployment.call(item)) for item in neighbours]
        await asyncio.sleep(0)
        for wave in waves:
            copies = []
            for _ in range(wave):
                number += 1
                item = deployment.request(f"p{number}", prompt="bad", poison=True)
                copies.append(deployment.call(item))
            for chunks, error in await deployment.run(*copies):
                assert not chunks and error.code == "request_crashes_servers"
        assert len(engine.crashes) <= 2
        assert deployment.shared[-1].crashed_servers or innocents
        engine.go_on.set()
        for request, (chunks, error) in zip(
            neighbours, await deployment.run(*tasks), strict=True
        ):
            check_answer(deployment, request, chunks, error)
            assert error is None
        await deployment.close()

    asyncio.run(run())


@pytest.mark.parametrize("servers", [2, 6])
async def test_suspect_is_rerun_on_a_server_apart_from_others(servers):
    engine = FakeEngine([(0, 1, "stream_broken")], hold_at=2)
    deployment = Deployment(engine, servers, 4)
    tasks = [
        asyncio.ensure_future(deployment.call(deployment.request(f"r{i}")))
        for i in range(5)
    ]
    # A copy of the suspect must not hold up others in the queue.
    for name, prompt in (("copy", "r0"), ("other", "other")):
        await deployment.clock.advance(0.2)
        request = deployment.request(name, prompt=prompt)
        tasks.append(asyncio.ensure_future(deployment.call(request)))
    await deployment.clock.advance(3.0)
    assert "other" in engine.ran and "copy" not in engine.ran
    assert ("r0/2" in [start[0] for start in engine.starts]) == (servers == 6)
    engine.go_on.set()
    await deployment.run(*tasks)
    [rerun] = [start for start in engine.starts if start[0] == "r0/2"]
    assert rerun[1] not in rerun[2]
    assert all(error is None for _, error in await deployment.run(*tasks))
    await deployment.close()


@pytest.mark.parametrize("tokens", [0, 1, 3])
async def test_caller_that_goes_away_ends_the_engine_stream(tokens):
    deployment = Deployment(FakeEngine(hold_at=tokens))

    async def read():
        async for _ in deployment.service.complete(deployment.request("r")):
            pass

    task = asyncio.ensure_future(read())
    await deployment.clock.advance(0.1)
    assert deployment.engine.running
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await deployment.clock.advance(0.1)
    assert deployment.engine.cancelled == ["r/1"]
    await deployment.close()


async def test_callers_that_give_up_and_resend_do_not_evade_containment():
    engine = FakeEngine()
    deployment = Deployment(engine, 5)
    for number in range(8):
        request = deployment.request(f"p{number}", prompt="bad", poison=True)
        task = asyncio.ensure_future(deployment.call(request))
        for _ in range(6):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await deployment.clock.advance(3.0)
    assert len(engine.crashes) == 2
    await deployment.close()


async def test_waiting_requests_are_answered_at_once_when_no_server_is_left():
    deployment = Deployment(FakeEngine(hold_at=1), servers=1, slots=1)
    tasks = [deployment.call(deployment.request(f"r{i}")) for i in range(3)]
    tasks = [asyncio.ensure_future(task) for task in tasks]
    await deployment.clock.advance(0.1)
    deployment.service.leaving("s0")
    await deployment.clock.advance(0.1)
    assert [task.done() for task in tasks] == [False, True, True]
    for chunks, error in [tasks[1].result(), tasks[2].result()]:
        assert (chunks, error.execution) == ([], Execution.NOT_RUN)
    deployment.engine.go_on.set()
    assert (await deployment.run(tasks[0]))[0][1] is None  # P8: not cut off
    await deployment.close()


@pytest.mark.parametrize(
    ("deadline_s", "execution", "code"),
    [(5.0, Execution.MAY_HAVE_RUN, "deadline_exceeded"), (0.0, "not_run", None)],
)
async def test_deadline_ends_a_hanging_attempt(deadline_s, execution, code):
    deployment = Deployment(FakeEngine([(0, 2, "hang")]))
    [(chunks, error)] = await deployment.run(
        deployment.call(deployment.request("r", deadline_s))
    )
    assert error.execution == execution
    assert error.code == (code or "deadline_exceeded")
    assert len(chunks) == (2 if deadline_s else 0)
    await deployment.close()


async def test_stalled_stream_is_resumed_elsewhere():
    deployment = Deployment(FakeEngine([(0, 2, "hang")]))
    [(chunks, error)] = await deployment.run(deployment.call(deployment.request("r")))
    check_answer(deployment, deployment.request("r"), chunks, error)
    assert error is None and deployment.engine.cancelled == ["r/1"]
    await deployment.close()


async def test_batch_is_asked_to_give_way_for_online():
    deployment = Deployment(FakeEngine(), servers=1, slots=2)
    router = deployment.service.dispatcher("svc").router
    for _ in range(2):
        router.note_started("s0", 1000.0, batch=True)
    deployment.service.report(ServerReport("s0", 1_000_000, running=2, slots=2))
    await deployment.run(deployment.call(deployment.request("r")))
    # The owner also hears of the end, which frees a slot for batch.
    assert deployment.given_way == [("s0", 1), ("s0", 0)]
    await deployment.close()


@pytest.mark.parametrize("code", ["leaving", "connect_failed"])
async def test_what_an_attempt_says_of_its_server_is_passed_on(code):
    """Guards P7: peers hear of a leaving server from the first request."""
    deployment = Deployment(FakeEngine([(0, 0, code)]))
    signs = []
    deployment.service.note_sign = lambda *sign: signs.append(sign)
    await deployment.run(deployment.call(deployment.request("r")))
    assert [sign[1] for sign in signs] == [code, ""]
    assert signs[0][0] != signs[1][0] and signs[0][2] <= signs[1][2]
    await deployment.close()
