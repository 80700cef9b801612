"""
Requests and items that expect a version of the weights.

Guards all other callers: the answer to such a request put its server out of
use for everybody, and such items kept the others from free slots.
"""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenascale.gateway.requests import CallerRequest, ResponseHead
from galenascale.gateway.weight_versions import MAX_AGE_S, MAX_REFUSED, WeightVersions
from test.gateway.fleet import gateway_fleet, until
from test.gateway.test_jobs import TOKENS, make_job, submit, wait_for_results

EXPECTED = "X-Galenascale-Expect-Version"


def make_request(expected):
    """Return a request that expects a version."""
    return CallerRequest("i", "GET", "/", "h", (), expected_version=expected)


def answer(versions, expected, weights, now, *, named=True, incarnation="s"):
    """Let a server with these weights answer a request."""
    refuses = expected is not None and expected != str(weights)
    head = ResponseHead(
        421 if refuses else 200,
        (),
        misdirected=refuses,
        weights_version=weights if named else None,
    )
    versions.observe(incarnation, head, make_request(expected), now)


@pytest.mark.parametrize(
    ("before", "named", "expected", "excludes"),
    [
        # (expected, weights) of the answers before.
        ([], True, "1", False),
        ([(None, 2)], True, None, False),
        ([(None, 2)], True, "1", True),
        ([(None, 2)], True, " 2", False),
        ([(None, 2)], False, "1", False),
        ([("1", 2)], False, "1", True),
        ([("1", 2)], False, "3", False),
        ([("x", 2)], True, "x", True),
        ([("1", 2), (None, 1)], True, "1", False),
        ([("1", 2), ("1", 1)], False, "1", False),
        ([(None, 2)], True, "no number", False),
    ],
)
def test_what_answers_tell_of_weights(before, named, expected, excludes):
    """Guards requests against servers that refuse them, and no others."""
    versions = WeightVersions()
    for asked, weights in before:
        answer(versions, asked, weights, 10.0, named=named)
    assert versions.excludes("s", expected, 11.0) is excludes
    assert not versions.excludes("another", expected, 11.0)


def test_one_request_tries_again_after_a_while():
    """What only an answer can end has to lapse: weights change."""
    versions = WeightVersions()
    answer(versions, None, 2, 0.0)
    assert versions.retry_after_s("s", "1", 1.0) == MAX_AGE_S - 1.0
    assert not versions.excludes("s", "1", MAX_AGE_S)
    versions.record_send("s", "1", MAX_AGE_S)
    assert versions.excludes("s", "1", MAX_AGE_S + 0.1)
    answer(versions, "1", 1, MAX_AGE_S + 0.2)
    assert not versions.excludes("s", "1", MAX_AGE_S + 0.3)


@given(
    events=st.lists(
        st.tuples(st.sampled_from(["1", "2", "x", None]), st.integers(1, 3)),
        max_size=30,
    ),
    step_s=st.floats(0.0, 3.0),
)
def test_server_is_left_out_only_while_it_would_refuse(events, step_s):
    """Guards pinned requests while weights change, however often."""
    versions = WeightVersions()
    now = 0.0
    for expected, weights in events:
        now += step_s
        answer(versions, expected, weights, now)
        assert not versions.excludes("s", str(weights), now)
        assert versions.excludes("s", str(weights + 1), now)
        assert not versions.excludes("s", str(weights + 1), now + MAX_AGE_S)


def test_versions_that_callers_invent_take_bounded_memory():
    """Guards the memory of a host against texts that are no versions."""
    versions = WeightVersions()
    for number in range(100):
        answer(versions, f"x{number}", 2, 1.0)
    assert len(versions._known_by_incarnation["s"].refused) == MAX_REFUSED
    assert versions.excludes("s", "x99", 2.0)


def set_weights(fleet, weights):
    """Set the versions of the weights of the engines, in turn."""
    for number, runner in enumerate(fleet.runners_of("llm")):
        runner.behaviour.weights = weights[number % len(weights)]


@pytest.mark.parametrize("weights", [[2], [1, 2]], ids=["none has it", "half have it"])
async def test_pinned_items_keep_no_others_back(weights):
    """Pattern of review/14, with more items than slots can be asked for."""
    async with gateway_fleet(hosts=2, runners=4) as fleet:
        set_weights(fleet, weights)
        headers = TOKENS | {EXPECTED: "1"}
        for host in (1, 2):
            body = make_job(100, headers=headers)
            reply = await fleet.request(
                "/jobs/x", request_id=f"pinned-{host}", host=host, data=body
            )
            assert reply.status == 202
        await asyncio.sleep(0.3)
        for number in range(4):
            assert await submit(fleet, f"job-{number}", host=number % 2 + 1) == 202
        for number in range(4):
            results = await wait_for_results(fleet, f"job-{number}", 3)
            assert {result["State"] for result in results} == {"completed"}
        if 1 in weights:
            await wait_for_results(fleet, "pinned-1", 100)
        ran = [
            request.header(EXPECTED)
            for runner in fleet.runners
            if runner.behaviour.weights == 2
            for request in runner.requests
        ]
        assert "1" not in ran
        refused = sum(runner.misdirected for runner in fleet.runners)
        assert refused <= 200


@pytest.mark.parametrize("path", ["/chat/a", "/talk/a", "/plain/a", "/once/a"])
async def test_pinned_requests_put_no_server_out_of_use(path):
    """Each such request took its server from all callers for 10 s."""
    async with gateway_fleet(hosts=2, runners=2) as fleet:
        for runner in fleet.runners:
            runner.behaviour.weights = 2
        for number in range(12):
            host = number % 2 + 1
            pinned = await fleet.request(
                path,
                request_id=f"p{number}",
                host=host,
                data=b"x",
                headers=TOKENS | {EXPECTED: "1"},
            )
            assert pinned.status == 421
            assert 0 < float(pinned.headers["Retry-After"]) <= MAX_AGE_S
            usual = await fleet.request(
                path, request_id=f"u{number}", host=host, data=b"x"
            )
            assert usual.status == 200
        # Each host asks each server once at most, and then knows.
        assert sum(runner.misdirected for runner in fleet.runners) <= 4
        for host in fleet.hosts:
            for runner in fleet.runners:
                entry = next(
                    entry
                    for entry in host.context.servers.all_entries()
                    if entry.server_id == runner.server_id
                )
                assert not host.context.health.is_unreachable(entry.incarnation)


@pytest.mark.parametrize("path", ["/chat/a", "/plain/a"])
async def test_pinned_request_is_served_where_its_version_is(path):
    """Pattern: a release of weights, half of the servers done."""
    async with gateway_fleet(runners=4) as fleet:
        for number, runner in enumerate(fleet.runners):
            runner.behaviour.weights = number % 2 + 1
        for number in range(20):
            for version in ("1", "2"):
                reply = await fleet.request(
                    path,
                    request_id=f"{version}-{number}",
                    data=b"x",
                    headers=TOKENS | {EXPECTED: version},
                )
                assert reply.status == 200
                assert reply.headers["X-Galenascale-Weight-Versions"] == version


async def test_pinned_items_run_once_their_version_is_released():
    """Guards items that wait for a release."""
    async with gateway_fleet(runners=2) as fleet:
        set_weights(fleet, [1])
        reply = await fleet.request(
            "/jobs/x",
            request_id="pinned",
            data=make_job(5, headers=TOKENS | {EXPECTED: "2"}),
        )
        assert reply.status == 202
        await until(lambda: any(runner.misdirected for runner in fleet.runners))
        set_weights(fleet, [2])
        assert len(await wait_for_results(fleet, "pinned", 5)) == 5
