"""Log lines and metrics of answers that their callers did not take."""

import asyncio

import pytest

from galenascale.gateway.limit_log import CutReason
from test.gateway.fleet import until
from test.gateway.test_caller_connection import (
    by_length,
    encode_request,
    running_listener,
)

WHOLE_BYTES = 32 << 20


def go_silent(connection):
    """Do what the watch of the peer does."""
    connection._peer_watch._on_gone()


def take_nothing(connection):
    """Do what the limit on unread answers does."""
    connection._abort_unread_answer()


def need_memory(connection):
    """Do what the memory for callers does."""
    connection._give_way_unread()


def break_off(connection):
    """Do what an answer without an end does."""
    connection.break_off()


def stop(connection):
    """Do what the end of a stop does."""
    connection.drop_unsent()


def lose(connection):
    """Do what a reset by the caller does."""
    connection.transport.abort()


@pytest.mark.parametrize(
    ("end", "reason"),
    [
        (go_silent, CutReason.SILENT),
        (take_nothing, CutReason.UNREAD),
        (need_memory, CutReason.MEMORY),
        (lose, CutReason.LOST),
        (stop, CutReason.STOPPED),
        (break_off, CutReason.BROKEN),
    ],
)
async def test_cut_answer_names_its_reason_and_bytes(end, reason):
    """Guards against stops and limits whose cuts no log line explains."""
    async with running_listener() as listener:
        _, writer = await listener.connect()
        writer.write(encode_request("large", by_length, b""))
        await until(lambda: listener.connections)
        (connection,) = listener.connections
        await until(lambda: connection.untaken.process)
        end(connection)
        await until(lambda: listener.cuts)
        (cut,) = listener.cuts
        assert cut.reason is reason
        assert 0 < cut.untaken.process < WHOLE_BYTES
        writer.transport.abort()


async def test_answer_that_is_taken_is_no_cut():
    """Whole answers leave no line."""
    async with running_listener() as listener:
        reader, writer = await listener.connect()
        writer.write(encode_request("small", by_length, b""))
        await reader.readuntil(b"/small ")
        writer.close()
        await until(lambda: not listener.connections)
        await asyncio.sleep(0)
        assert listener.cuts == []
