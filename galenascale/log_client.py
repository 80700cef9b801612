"""Client of the platform's log service.

Only four calls are assumed: append to a named stream, read from an offset, and
the first and the next offset. Another wire format needs another adapter with
the same methods.
"""

import base64
import urllib.parse

import aiohttp
import attrs
import orjson

from galenascale.errors import AppendUnknown, LogUnavailable

# Answers that say that nothing was appended.
NOT_APPENDED_STATUSES = frozenset({400, 404, 413, 429, 503})
DEFAULT_READ_LIMIT = 500


@attrs.frozen
class Bounds:
    """First kept offset of a stream and the offset of its next append."""

    first_offset: int
    next_offset: int


@attrs.frozen
class ReadResult:
    """Records as (offset, body) pairs, with the bounds of the stream."""

    records: list[tuple[int, bytes]]
    first_offset: int
    next_offset: int


class LogClient:
    """Reads and appends over HTTP with a timeout for each call."""

    def __init__(self, session, base_url, timeout_s=2.0):
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    def _url(self, stream, suffix=""):
        name = urllib.parse.quote(stream, safe="")
        return f"{self._base_url}/v1/streams/{name}{suffix}"

    async def append(self, stream, body):
        """
        Append a body and return its offset.

        Raise LogUnavailable if it was surely not appended and AppendUnknown if
        that is not known.
        """
        try:
            async with self._session.post(
                self._url(stream, "/records"), data=body, timeout=self._timeout
            ) as response:
                if response.status in NOT_APPENDED_STATUSES:
                    raise LogUnavailable(
                        f"append refused with status {response.status}",
                        step="append",
                        peer=self._base_url,
                    )
                response.raise_for_status()
                return orjson.loads(await response.read())["offset"]
        except aiohttp.ClientConnectorError as error:
            raise LogUnavailable(
                "log service cannot be reached", step="append", peer=self._base_url
            ) from error
        except (TimeoutError, aiohttp.ClientError, ValueError, KeyError) as error:
            raise AppendUnknown(
                "append has no known outcome", step="append", peer=self._base_url
            ) from error

    async def read(self, stream, offset, limit=DEFAULT_READ_LIMIT):
        """
        Return up to `limit` records from an offset on.

        Offsets below the first kept one are skipped; the result tells the
        first offset. Raise LogUnavailable if there is no answer.
        """
        params = {"offset": str(offset), "limit": str(limit)}
        data = await self._get(self._url(stream, "/records"), params)
        return ReadResult(
            [(item[0], base64.b64decode(item[1])) for item in data["records"]],
            data["first_offset"],
            data["next_offset"],
        )

    async def bounds(self, stream):
        """Return the bounds of a stream; an empty one has (0, 0)."""
        data = await self._get(self._url(stream), None)
        return Bounds(data["first_offset"], data["next_offset"])

    async def _get(self, url, params):
        try:
            async with self._session.get(
                url, params=params, timeout=self._timeout
            ) as response:
                response.raise_for_status()
                return orjson.loads(await response.read())
        except (TimeoutError, aiohttp.ClientError, orjson.JSONDecodeError) as error:
            raise LogUnavailable(
                f"read failed: {error!r}", step="read", peer=self._base_url
            ) from error
