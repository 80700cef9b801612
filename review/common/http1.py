"""A small HTTP/1.1 client and request parser on asyncio streams."""

import asyncio
import contextlib
import time

import attrs

CONNECT_TIMEOUT_S = 1.0
LIMIT_BYTES = 1 << 24


@attrs.define
class Answer:
    """An answer as a caller saw it; `status` is 0 without a whole head."""

    status: int = 0
    headers: dict = attrs.field(factory=dict)
    body: bytes = b""
    # Whether the answer came to its end, by its own framing.
    complete: bool = False
    error: str = ""
    # Monotonic seconds.
    sent_at: float = 0.0
    done_at: float = 0.0

    @property
    def signature(self):
        """Return the runner's signature; None without one."""
        return self.headers.get("x-galenascale-response-signature")


async def read_head(reader):
    """Return (first line, headers by lower-case name); None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


class Connection:
    """A caller's connection to one gateway, used for many requests."""

    def __init__(self, address):
        self.address = address
        self._reader = None
        self._writer = None

    @property
    def is_open(self):
        """Return True if another request may be sent."""
        return self._writer is not None

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def call(self, method, path, headers, body=b"", timeout_s=5.0):
        """Send a request and return the Answer; never raise."""
        answer = Answer(sent_at=time.monotonic())
        try:
            async with asyncio.timeout(timeout_s):
                await self._exchange(answer, method, path, headers, body)
        except TimeoutError:
            answer.error = "no answer in time"
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            answer.error = repr(error)
        answer.done_at = time.monotonic()
        if not answer.complete or answer.headers.get("connection") == "close":
            self.close()
        return answer

    async def _exchange(self, answer, method, path, headers, body):
        if self._writer is None:
            host, port = self.address.split(":")
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._reader, self._writer = await asyncio.open_connection(
                    host, int(port), limit=LIMIT_BYTES
                )
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        answer.sent_at = time.monotonic()
        self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = await read_head(self._reader)
        if head is None:
            raise ConnectionError("closed without an answer")
        answer.status = int(head[0].split(" ")[1])
        answer.headers = head[1]
        await self._read_body(answer)
        answer.complete = True

    async def _read_body(self, answer):
        headers = answer.headers
        if "content-length" in headers:
            length = int(headers["content-length"])
            answer.body = await self._reader.readexactly(length)
            return
        if headers.get("transfer-encoding") != "chunked":
            answer.body = await self._reader.read()
            self.close()
            return
        while True:
            size = int((await self._reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await self._reader.readexactly(size + 2)
            if not size:
                return
            answer.body += piece[:-2]


async def call_once(address, method, path, headers, body=b"", timeout_s=5.0):
    """Send one request on a new connection and return the Answer."""
    connection = Connection(address)
    answer = await connection.call(method, path, headers, body, timeout_s)
    with contextlib.suppress(OSError):
        connection.close()
    return answer
