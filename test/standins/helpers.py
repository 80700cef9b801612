"""Helpers that run stand-ins on free loopback ports and call them."""

import asyncio
import contextlib

import aiohttp

from galenascale.generated.messages import (
    EngineStandinSettings,
    PlatformStandinSettings,
)
from galenascale.standins.engine import EngineStandin
from galenascale.standins.plain_service import PlainServiceStandin
from galenascale.standins.platform import PlatformStandin

SETTINGS_TYPES = {
    EngineStandin: EngineStandinSettings,
    PlainServiceStandin: EngineStandinSettings,
    PlatformStandin: PlatformStandinSettings,
}


class StandinClient:
    """HTTP client of a running stand-in."""

    def __init__(self, standin, session):
        self.standin = standin
        self.session = session

    async def call(self, method, path, body=None, **kwargs):
        """Return the status and the JSON body of a response, or None."""
        async with self.session.request(
            method, self.standin.url + path, json=body, **kwargs
        ) as response:
            is_json = response.content_type == "application/json"
            return response.status, await response.json() if is_json else None

    async def faults(self, **values):
        """Replace the faults of the stand-in."""
        status, answer = await self.call("PUT", "/faults", values)
        assert status == 200, answer

    async def state(self):
        """Return the state that a backend server reports."""
        return (await self.call("GET", "/state"))[1]


@contextlib.asynccontextmanager
async def run_standin(kind, clock=None, **settings):
    """Run a stand-in of class `kind` and yield its StandinClient."""
    standin = kind.from_config(SETTINGS_TYPES[kind](**settings), clock)
    async with aiohttp.ClientSession() as session:
        await standin.start()
        try:
            yield StandinClient(standin, session)
        finally:
            await standin.stop()


async def wait_until(condition):
    """Poll an async condition until it holds; fail after about 10 s."""
    for _ in range(2000):
        if await condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("condition did not become true")


async def advance_until_done(clock, awaitable, step_s=0.25):
    """Advance a fake clock until an awaitable is done; return its result."""
    task = asyncio.ensure_future(awaitable)
    while not task.done():
        await clock.advance(step_s)
        await asyncio.sleep(0.001)
    return task.result()
