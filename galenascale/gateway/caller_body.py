"""Reads the body of a caller's request within its limits."""

import asyncio

from aiohttp import web

from galenascale.errors import UserError
from galenascale.gateway.bounded_connection import memory_full_error

# Seconds within which a caller must send the body of a request.
BODY_TIMEOUT_S = 10.0
# Multiple of its size that a job needs beside its body, for its parts and its
# records.
JOB_OVERHEAD = 2


class CallerBody:
    """
    One request's body, and its part of the memory for callers.

    `count_limit` is called with the name of a limit that the caller met.
    """

    def __init__(self, http_request, limit_bytes, count_limit):
        self._http_request = http_request
        self._connection = http_request.protocol
        self._limit_bytes = limit_bytes
        self._count_limit = count_limit
        self._timeout = None

    def _stop_reading(self):
        """Wake the reading task, as the body has to give way."""
        if self._timeout is not None:
            self._timeout.reschedule(0.0)

    async def read(self):
        """
        Return the whole body.

        Raise UserError for one that is too large, malformed or takes too long,
        and RequestFailed (503, not run) if there is no memory for it.
        """
        request = self._http_request
        if not request.body_exists:
            return b""
        if (request.content_length or 0) > self._limit_bytes:
            raise self._too_large()
        if request.headers.get("Expect", "").lower() == "100-continue":
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        held = self._connection.held
        held.begin_step(self._stop_reading, asyncio.get_running_loop().time())
        try:
            return await self._read_pieces()
        except TimeoutError as error:
            if held.evicted:
                raise self._memory_full() from error
            self._count_limit("body_timeout")
            raise UserError(
                f"body did not arrive within {BODY_TIMEOUT_S} s",
                step="read_body",
                http_status=408,
            ) from error
        except ConnectionError as error:
            # Nobody waits for an answer any more.
            raise asyncio.CancelledError from error
        except web.RequestPayloadError as error:
            raise UserError(f"body is malformed: {error}", step="read_body") from error
        finally:
            # A whole body is not evicted any more.
            held.on_evict = None

    async def _read_pieces(self):
        body = bytearray()
        async with asyncio.timeout(BODY_TIMEOUT_S) as self._timeout:
            async for piece in self._http_request.content.iter_any():
                if len(body) + len(piece) > self._limit_bytes:
                    raise self._too_large()
                self._take_memory(len(piece))
                body += piece
        return bytes(body)

    def reserve_for_job(self):
        """Take the memory that a job needs; raise RequestFailed if full."""
        self._take_memory(JOB_OVERHEAD * self._connection.held.held_bytes)

    def _take_memory(self, count):
        if not self._connection.hold(count):
            raise self._memory_full()

    def _too_large(self):
        self._count_limit("body_bytes")
        return UserError(
            f"body has more than {self._limit_bytes} bytes",
            step="read_body",
            http_status=413,
        )

    def _memory_full(self):
        self._count_limit("caller_memory")
        return memory_full_error()
