"""Checks of silent servers, without a network."""

import asyncio
import types
from unittest.mock import Mock

import attrs
import pytest

from galenascale.clock import FakeClock
from galenascale.errors import BackendError
from galenascale.gateway.crashes import InterruptedRun
from galenascale.gateway.health import MAX_CHECK_DELAY_S, ServerHealth
from galenascale.gateway.reachability import (
    RECHECK_INTERVAL_S,
    SILENCE_BEFORE_CHECK_S,
    Reachability,
)


@attrs.frozen
class Server:
    """The fields of a ServerEntry that the checks read."""

    server_id: str
    failure_domain: str = "far"
    address: str = "10.0.0.1:80"

    @property
    def incarnation(self):
        """Return the key of the server run."""
        return self.server_id

    @property
    def run_key(self):
        """Return the key of the server run in messages."""
        return self.server_id


@attrs.define
class Connection:
    """A connection, last active at `active_at` in loop time."""

    active_at: float
    ended: bool = False

    def fail(self, message):
        """Record that the request was given up."""
        self.ended = True


@attrs.define(eq=False)
class Attempt:
    """A request that was sent to a server."""

    server: Server
    connection: Connection
    repeatable: bool


def find(entries, incarnation):
    """Return the entry of a run of a server, or None."""
    return next((item for item in entries if item.incarnation == incarnation), None)


class Pool:
    """Opens connections, or fails with `code` if it is set."""

    def __init__(self):
        self.code = None
        self.opened = []

    async def preconnect(self, server):
        """Record a connection attempt; raise BackendError if `code` is set."""
        self.opened.append(server.server_id)
        if self.code:
            raise BackendError("cannot connect", code=self.code, step="connect")


@pytest.fixture
def context():
    """Return a context with one server in another failure domain."""
    clock = FakeClock()
    server = Server("s1")
    context = types.SimpleNamespace(
        clock=clock,
        pool=Pool(),
        health=ServerHealth(),
        log=types.SimpleNamespace(write=lambda *args, **fields: None),
        servers=types.SimpleNamespace(
            all_entries=lambda: context.entries,
            find=lambda incarnation: find(context.entries, incarnation),
        ),
        entries=[server],
        settings=types.SimpleNamespace(failure_domain="near"),
        server=server,
    )
    context.suspects = Mock()
    context.crashes = Mock()
    context.decision = Mock()
    context.announcer = Mock()
    context.load = Mock()
    context.metrics = Mock()
    context.reachability = Reachability(context)
    return context


def add_attempt(context, repeatable, silent_s):
    """Watch a request whose connection has been silent for `silent_s`."""
    active_at = asyncio.get_running_loop().time() - silent_s
    attempt = Attempt(context.server, Connection(active_at), repeatable)
    context.reachability.add(attempt)
    return attempt


async def check_due(context):
    """Check the servers that are due for a check."""
    for server in list(context.reachability._servers_due()):
        await context.reachability._run_check(server)


@pytest.mark.parametrize(
    ("code", "ended", "paused"),
    [(None, False, False), ("connect_timeout", True, True)]
    + [("connect_failed", False, True)],
)
async def test_silent_server_is_checked(context, code, ended, paused):
    """
    Guards streams against stalling when a network link is cut.

    Seen in load trouble-3 of a site at 33.5 s: streams waited 3 s for TCP
    keepalive probes to fail, and their callers had disconnected by then.
    """
    context.pool.code = code
    repeatable = add_attempt(context, True, SILENCE_BEFORE_CHECK_S * 2)
    once = add_attempt(context, False, SILENCE_BEFORE_CHECK_S * 2)
    await check_due(context)
    assert repeatable.connection.ended is ended
    # A request that must not run twice stays on its connection.
    assert not once.connection.ended
    assert context.health.is_unreachable("s1") is paused


async def test_server_that_sends_bytes_is_not_checked(context):
    """Guards against connection checks that are not needed."""
    add_attempt(context, True, SILENCE_BEFORE_CHECK_S * 2)
    add_attempt(context, True, 0.0)
    await check_due(context)
    assert context.pool.opened == []


async def test_checks_of_silent_accepting_server_are_rate_limited(context):
    """Guards a server with a long queue against frequent checks."""
    add_attempt(context, True, 60.0)
    for _ in range(10):
        await check_due(context)
        await context.clock.advance(RECHECK_INTERVAL_S / 5)
    assert len(context.pool.opened) == 2


async def test_unreachable_server_is_used_again_once_it_accepts(context):
    """Guards recovered capacity; a check detects it, not a request."""
    context.pool.code = "connect_timeout"
    with pytest.raises(BackendError):
        await context.reachability.check(context.server)
    for _ in range(20):
        await check_due(context)
        await context.clock.advance(0.1)
    assert 2 <= len(context.pool.opened) <= 6
    assert context.health.is_unreachable("s1")
    context.pool.code = None
    await context.clock.advance(MAX_CHECK_DELAY_S)
    await check_due(context)
    assert not context.health.is_unreachable("s1")


async def test_servers_of_unreachable_domain_are_checked_at_once(context):
    """
    Guards requests against failing at each server of an unreachable domain.

    Seen in load trouble-3 of a site at 33.5 s: within 2 s each host lost
    several requests, one for each server of the disconnected failure domain.
    """
    context.entries = [Server(f"s{n}") for n in range(1, 4)]
    context.entries.append(Server("n1", failure_domain="near"))
    context.pool.code = "connect_timeout"
    add_attempt(context, True, SILENCE_BEFORE_CHECK_S * 2)
    await check_due(context)
    assert [
        context.health.is_unreachable(entry.incarnation) for entry in context.entries
    ] == [
        True,
        True,
        True,
        False,
    ]
    context.pool.code = None
    await check_due(context)
    assert not context.health.is_unreachable("s2")
    assert not context.health.is_unreachable("s3")


async def test_crash_of_a_server_is_noticed_at_once(context):
    """
    Guards servers, as a request that crashes one goes to the next.

    Checks that waited for the next poll noticed crashes 0.1 s late.
    """
    context.pool.code = "connect_refused"
    run = InterruptedRun("r1", 1, ("a",), (7,), begun=False, at=0.0)
    context.reachability.check_for_crash(Server("s1"), run)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    (crash,) = context.suspects.record_crash.call_args.args
    assert crash.part_keys == (7,)


async def test_poll_looks_at_unreachable_servers_only(context):
    """Guards hosts of large fleets, in which most servers are reachable."""
    context.entries = [Server(f"s{n}") for n in range(3000)]
    context.health.mark_suspected("s7", context.clock.monotonic())
    context.servers.all_entries = Mock(side_effect=AssertionError)
    (due,) = context.reachability._servers_due()
    assert due.server_id == "s7"


async def test_removed_server_is_forgotten(context):
    """Guards memory: requests fail after their server's entry is gone."""
    context.health.mark_unreachable("former", context.clock.monotonic())
    await context.clock.advance(MAX_CHECK_DELAY_S)
    await check_due(context)
    assert context.pool.opened == []
    assert not context.health.is_unreachable("former")
