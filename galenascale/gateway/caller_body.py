"""Reads the body of a caller's request within its limits."""

import asyncio
import contextlib

from aiohttp import web

from galenascale.errors import UserError
from galenascale.gateway.attempts import not_run_error

# Seconds within which a caller must send the body of a request.
BODY_TIMEOUT_S = 10.0
# Retry-After in seconds while the memory for bodies is used up.
MEMORY_RETRY_S = 0.5
# Memory in bytes of a header field beside its text, in the forms in which the
# parser and the request hold it.
FIELD_OVERHEAD_BYTES = 300
# Multiple of its size that a job needs beside its body, for its parts and its
# records.
JOB_OVERHEAD = 2


class CallerBody:
    """One request's body, and its part of the memory for bodies."""

    def __init__(self, context, http_request, limit_bytes):
        self._context = context
        self._http_request = http_request
        self._limit_bytes = limit_bytes
        self._timeout = None
        # HeldBody; None outside of `hold`.
        self._held = None

    @contextlib.contextmanager
    def hold(self):
        """Hold the memory of the body until the request is answered."""
        memory = self._context.caller_memory
        with memory.hold(self._stop_reading, self._now()) as self._held:
            try:
                yield
            finally:
                self._context.metrics.caller_body_bytes.set(memory.held_bytes)

    def _now(self):
        return self._context.clock.monotonic()

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
        # The head stays for as long as the body is awaited.
        self._take_memory(_head_bytes(request.raw_headers))
        if request.headers.get("Expect", "").lower() == "100-continue":
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        body = bytearray()
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S) as self._timeout:
                async for piece in request.content.iter_any():
                    if len(body) + len(piece) > self._limit_bytes:
                        raise self._too_large()
                    self._take_memory(len(piece))
                    body += piece
        except TimeoutError as error:
            if self._held.evicted:
                raise self._memory_full() from error
            self._count("body_timeout")
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
            self._held.on_evict = None
        return bytes(body)

    def reserve_for_job(self):
        """Take the memory that a job needs; raise RequestFailed if full."""
        self._take_memory(JOB_OVERHEAD * self._held.held_bytes)

    def _take_memory(self, count):
        memory = self._context.caller_memory
        if not memory.add(self._held, count, self._limit_bytes, self._now()):
            raise self._memory_full()

    def _too_large(self):
        self._count("body_bytes")
        return UserError(
            f"body has more than {self._limit_bytes} bytes",
            step="read_body",
            http_status=413,
        )

    def _memory_full(self):
        self._count("caller_memory")
        return not_run_error(
            "memory for bodies is used up, and others make more progress",
            code="caller_memory_full",
            retry_after_s=MEMORY_RETRY_S,
        )

    def _count(self, limit):
        self._context.metrics.caller_limits.labels(limit).inc()


def _head_bytes(raw_headers):
    """Return the memory of the header fields of a request."""
    text_bytes = sum(len(name) + len(value) for name, value in raw_headers)
    return text_bytes + FIELD_OVERHEAD_BYTES * len(raw_headers)
