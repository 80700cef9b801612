"""Tests of the plain service stand-in and its faults."""

import asyncio

import aiohttp
import pytest

from galenascale.clock import FakeClock
from galenascale.standins.plain_service import PlainServiceStandin
from test.standins.helpers import run_standin, wait_until

FAST = {"service_time_ms": 1.0}
INVOICE = {"guest": "poison"}


@pytest.mark.parametrize(
    ("faults", "expected", "runs"),
    [
        ({}, 200, 1),
        ({"slow": 2.0}, 200, 1),
        ({"leave": True}, 503, 0),
        ({"drop_answer": True}, aiohttp.ClientError, 1),
        ({"hang": True}, TimeoutError, 0),
        ({"crash_on": "poison", "restart_after_s": 0.01}, aiohttp.ClientError, 1),
        ({"crash_on": "other"}, 200, 1),
    ],
)
async def test_runs_are_counted_as_the_outside_world_sees_them(faults, expected, runs):
    """Guards P6: the counts show whether a call was executed twice."""
    async with run_standin(PlainServiceStandin, **FAST) as client:
        await client.faults(**faults)
        timeout = aiohttp.ClientTimeout(total=0.1 if "hang" in faults else 10)
        call = client.call(
            "POST",
            "/invoices",
            INVOICE,
            headers={"X-Call-Id": "call-1"},
            timeout=timeout,
        )
        if isinstance(expected, int):
            assert (await call)[0] == expected
        else:
            with pytest.raises(expected):
                await call
        await wait_until(lambda: _is_up(client))
        # The faults stay set: without hang, a blocked call would run now.
        counts = client.standin.runs_by_call_id, client.standin.runs_by_content
        assert [sum(count.values()) for count in counts] == [runs, runs]


async def _is_up(client):
    return client.standin.is_listening


async def test_repeated_content_is_counted_with_and_without_call_ids():
    """Guards the counts by content, which find repeats under other ids."""
    async with run_standin(PlainServiceStandin, **FAST) as client:
        for number in range(3):
            headers = {"X-Call-Id": f"call-{number}"} if number else {}
            status, answer = await client.call(
                "POST", "/bookings", INVOICE, headers=headers
            )
            assert (status, answer["run"]) == (200, number + 1)
        await client.call("GET", "/quotes/7")
        _, runs = await client.call("GET", "/runs")
        assert runs["by_call_id"] == {"call-1": 1, "call-2": 1}
        assert sorted(runs["by_content"].values()) == [1, 3]


async def test_other_paths_and_reports():
    """Guards the idempotent paths and the format of the load report."""
    settings = {"server_id": "app-1", "slots": 2, "load_report_lag_s": 0.0} | FAST
    async with run_standin(PlainServiceStandin, **settings) as client:
        first = await client.call("POST", "/check", {"photo": 1})
        assert first == await client.call("POST", "/check", {"photo": 1})
        assert (await client.call("GET", "/quotes/9"))[1]["quote"] == "9"
        _, load = await client.call("GET", "/load")
        assert (load["server_id"], load["slots"], load["running"]) == ("app-1", 2, 0)
        assert (await client.call("PUT", "/faults", {"hangs": True}))[0] == 400
        assert (await client.call("PUT", "/faults", {"slow": 0.0}))[0] == 400


async def test_crash_loses_waiting_calls_but_a_closed_connection_does_not():
    """Guards which calls run: a disconnect does not cancel a call."""
    clock = FakeClock()
    async with run_standin(PlainServiceStandin, clock, slots=1) as client:
        tasks = []
        for number in range(3):
            headers = {"X-Call-Id": f"call-{number}"}
            call = client.call("POST", "/invoices", INVOICE, headers=headers)
            tasks.append(asyncio.create_task(call))
            await wait_until(
                lambda: asyncio.sleep(0, client.standin.in_flight == len(tasks))
            )
        tasks[0].cancel()
        await asyncio.wait(tasks[:1])
        await asyncio.sleep(0.02)
        await clock.advance(0.01)
        assert client.standin.runs_by_call_id == {"call-0": 1}
        client.standin.crash()
        await clock.advance(10)
        await wait_until(lambda: _is_up(client))
        await clock.advance(10)
        failures = await asyncio.gather(*tasks[1:], return_exceptions=True)
        assert all(isinstance(error, aiohttp.ClientError) for error in failures)
        assert client.standin.runs_by_call_id == {"call-0": 1}
        assert client.standin.in_flight == 0
