"""Checks of silent servers, without a network."""

import asyncio
import types

import attrs
import pytest

from galenascale.clock import FakeClock
from galenascale.errors import BackendError
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


@attrs.define
class Connection:
    """A connection, last active at `active_at` in loop time."""

    active_at: float
    ended: bool = False

    def fail(self, message):
        """Record that the request was given up."""
        self.ended = True


@attrs.define(eq=False)
class Send:
    """A request that was sent to a server."""

    server: Server
    connection: Connection
    repeatable: bool


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
def parts():
    """Return parts with one server in another failure domain."""
    clock = FakeClock()
    server = Server("s1")
    parts = types.SimpleNamespace(
        clock=clock,
        pool=Pool(),
        health=ServerHealth(),
        log=types.SimpleNamespace(write=lambda *args, **fields: None),
        servers=types.SimpleNamespace(all_entries=lambda: parts.entries),
        entries=[server],
        settings=types.SimpleNamespace(failure_domain="near"),
        server=server,
    )
    parts.reachability = Reachability(parts)
    return parts


def add_send(parts, repeatable, silent_s):
    """Watch a request whose connection has been silent for `silent_s`."""
    active_at = asyncio.get_running_loop().time() - silent_s
    send = Send(parts.server, Connection(active_at), repeatable)
    parts.reachability.add(send)
    return send


async def check_due(parts):
    """Check the servers that are due for a check."""
    for server in list(parts.reachability._servers_due()):
        await parts.reachability._run_check(server)


@pytest.mark.parametrize(
    ("code", "ended", "paused"),
    [(None, False, False), ("connect_timeout", True, True)]
    + [("connect_failed", False, True)],
)
async def test_silent_server_is_checked(parts, code, ended, paused):
    """
    Guards streams against stalling when a network link is cut.

    Seen in load trouble-3 of a site at 33.5 s: streams waited 3 s for TCP
    keepalive probes to fail, and their callers had disconnected by then.
    """
    parts.pool.code = code
    repeatable = add_send(parts, True, SILENCE_BEFORE_CHECK_S * 2)
    once = add_send(parts, False, SILENCE_BEFORE_CHECK_S * 2)
    await check_due(parts)
    assert repeatable.connection.ended is ended
    # A request that must not run twice stays on its connection.
    assert not once.connection.ended
    assert parts.health.is_unreachable("s1") is paused


async def test_server_that_sends_bytes_is_not_checked(parts):
    """Guards against connection checks that are not needed."""
    add_send(parts, True, SILENCE_BEFORE_CHECK_S * 2)
    add_send(parts, True, 0.0)
    await check_due(parts)
    assert parts.pool.opened == []


async def test_checks_of_silent_accepting_server_are_rate_limited(parts):
    """Guards a server with a long queue against frequent checks."""
    add_send(parts, True, 60.0)
    for _ in range(10):
        await check_due(parts)
        await parts.clock.advance(RECHECK_INTERVAL_S / 5)
    assert len(parts.pool.opened) == 2


async def test_unreachable_server_is_used_again_once_it_accepts(parts):
    """Guards recovered capacity; a check detects it, not a request."""
    parts.pool.code = "connect_timeout"
    with pytest.raises(BackendError):
        await parts.reachability.check(parts.server)
    for _ in range(20):
        await check_due(parts)
        await parts.clock.advance(0.1)
    assert 2 <= len(parts.pool.opened) <= 6
    assert parts.health.is_unreachable("s1")
    parts.pool.code = None
    await parts.clock.advance(MAX_CHECK_DELAY_S)
    await check_due(parts)
    assert not parts.health.is_unreachable("s1")


async def test_servers_of_unreachable_domain_are_checked_at_once(parts):
    """
    Guards requests against failing at each server of an unreachable domain.

    Seen in load trouble-3 of a site at 33.5 s: within 2 s each host lost
    several requests, one for each server of the disconnected failure domain.
    """
    parts.entries = [Server(f"s{n}") for n in range(1, 4)]
    parts.entries.append(Server("n1", failure_domain="near"))
    parts.pool.code = "connect_timeout"
    add_send(parts, True, SILENCE_BEFORE_CHECK_S * 2)
    await check_due(parts)
    assert [
        parts.health.is_unreachable(entry.incarnation) for entry in parts.entries
    ] == [
        True,
        True,
        True,
        False,
    ]
    parts.pool.code = None
    await check_due(parts)
    assert not parts.health.is_unreachable("s2")
    assert not parts.health.is_unreachable("s3")
