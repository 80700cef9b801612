"""Client of the platform's store: a log with topics and partitions."""

import base64

import aiohttp
import attrs
import orjson

from galenascale.errors import DecodeError
from galenascale.gateway.http_bodies import read_limited_body
from galenascale.platform.fields import get_field, parse_json_object
from galenascale.platform.records import (
    decode_keyed_record,
    encode_keyed_record,
    frame_records,
    parse_read_response,
)
from galenascale.store import (
    KeyedRecord,
    Membership,
    PartitionTrimmed,
    ReadResult,
    StoreFenced,
    StoreOutcomeUnknown,
    StoreUnavailable,
)

# Longest wait for the answer to a call that the store answers at once; its
# slow days are about a quarter of a second an answer.
CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# Longest wait for the answer to a read after the time that it asked the store
# to wait. A host that the store answers again must not hang in a read from
# before for the 3 s after which it is held to its bounds.
LONG_POLL_GRACE_S = 1.0
# Largest answer of the store: a page of newest records has 1 MB, and a read
# may have a record more than it asked for.
MAX_RESPONSE_BYTES = 4 << 20
# Statuses by which the store states that nothing was done.
_REJECTED_STATUSES = frozenset((429, 503, 507))


@attrs.frozen
class _Response:
    status: int
    body: bytes

    def fields(self):
        return parse_json_object(self.body, "answer of the store")


class StoreClient:
    """
    Calls the store; each call is one HTTP request with a timeout.

    Calls raise StoreUnavailable if the store surely did nothing and
    StoreOutcomeUnknown if that is not known.
    """

    def __init__(self, url, session, timeout_s=CALL_TIMEOUT_S):
        self._url = url.rstrip("/")
        self._session = session
        self._timeout_s = timeout_s

    @classmethod
    def from_settings(cls, settings, session):
        """Return the client of the store in the settings."""
        return cls(f"http://{settings.address}", session)

    async def append(self, topic, partition, records, *, expected_offset=None):
        """
        Append all records or none and return the offset of the first.

        With `expected_offset` nothing is appended unless the partition ends
        there, and
        StoreFenced is raised.
        """
        params = {"Topic": topic, "part": str(partition)}
        if expected_offset is not None:
            params["At"] = str(expected_offset)
        answer = await self._call("POST", "/log-append", params, frame_records(records))
        if answer.status in (409, 412):
            raise StoreFenced("append was overtaken", step="append", peer=self._url)
        return get_field(self._check_status(answer, "append").fields(), "Offset", int)

    async def append_keyed(self, topic, key, value):
        """Write the newest value of a key; None drops the key."""
        return await self.append(topic, 0, [encode_keyed_record(key, value or b"")])

    async def read(
        self, topic, partition, offset, *, wait_s=0.0, max_kb=1024, timeout_s=None
    ):
        """
        Return the records from an offset on, waiting for the first of them.

        `timeout_s` bounds a call that does not wait. Raise PartitionTrimmed if
        records after the offset are deleted.
        """
        params = {
            "Topic": topic,
            "part": str(partition),
            "From": str(offset),
            "MaxKb": str(max_kb),
        }
        if wait_s:
            params["WaitMs"] = str(int(wait_s * 1000))
            timeout_s = wait_s + LONG_POLL_GRACE_S
        answer = await self._call("GET", "/log-read", params, timeout_s=timeout_s)
        if answer.status == 410:
            raise PartitionTrimmed(get_field(answer.fields(), "FirstOffset", int))
        if answer.status == 404:
            # The topic is created by its first append.
            return ReadResult([], 0, 0)
        return parse_read_response(self._check_status(answer, "read").body, offset)

    async def read_latest(self, topic, *, timeout_s=None):
        """
        Return (newest KeyedRecord of each key, end offset) of a topic.

        `timeout_s` bounds each call.
        """
        params = {"Topic": topic, "part": "0"}
        records = []
        end_offset = None
        while True:
            answer = await self._call("GET", "/log-newest", params, timeout_s=timeout_s)
            if answer.status == 404:
                return [], 0
            fields = self._check_status(answer, "read_newest").fields()
            records.extend(map(_decode_latest, get_field(fields, "Items", list)))
            # Pages are no snapshot: later reading begins where the first
            # ended.
            if end_offset is None:
                end_offset = get_field(fields, "EndOffset", int)
            if not get_field(fields, "HasMore", bool, False) or not records:
                return records, end_offset
            params["After"] = records[-1].key

    async def read_keyed(self, topic, offset, *, wait_s=0.0, timeout_s=None):
        """Return (KeyedRecords from an offset on, offset to go on from)."""
        result = await self.read(topic, 0, offset, wait_s=wait_s, timeout_s=timeout_s)
        records = []
        for record_offset, record in result.records:
            key, value = decode_keyed_record(record)
            records.append(KeyedRecord(key, value, record_offset))
        return records, offset + len(records)

    async def join(self, group, member, topics, lease_s, generation):
        """Join a group or stay in it; return the Membership."""
        fields = {
            "group": group,
            "MemberId": member,
            "Topics": topics,
            "TtlMs": int(lease_s * 1000),
            "GenerationId": generation,
        }
        answer = await self._call("POST", "/log-join", None, orjson.dumps(fields))
        joined = self._check_status(answer, "join").fields()
        return Membership(
            generation=get_field(joined, "GenerationId", int),
            # Rows of topic, partition and committed offset.
            partitions=tuple(row[1] for row in get_field(joined, "parts", list)),
        )

    async def leave(self, group, member):
        """Leave a group, so that others get its partitions at once."""
        fields = {"group": group, "MemberId": member}
        answer = await self._call("POST", "/log-leave", None, orjson.dumps(fields))
        self._check_status(answer, "leave")

    def _check_status(self, answer, step):
        if answer.status == 200:
            return answer
        message = f"store answered {answer.status}"
        if answer.status in _REJECTED_STATUSES or 400 <= answer.status < 500:
            raise StoreUnavailable(message, step=step, peer=self._url)
        raise StoreOutcomeUnknown(message, step=step, peer=self._url)

    async def _call(self, method, path, params, body=None, timeout_s=None):
        timeout = aiohttp.ClientTimeout(
            total=timeout_s or self._timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.request(
                method, self._url + path, params=params, data=body, timeout=timeout
            ) as response:
                body = await read_limited_body(response, MAX_RESPONSE_BYTES)
                return _Response(response.status, body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise StoreUnavailable(
                f"store cannot be reached: {error!r}", step=path, peer=self._url
            ) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            # A call that only reads has no outcome to find out.
            error_type = StoreUnavailable if method == "GET" else StoreOutcomeUnknown
            raise error_type(
                f"no answer of the store: {error!r}", step=path, peer=self._url
            ) from error


def _decode_latest(fields):
    try:
        value = base64.b64decode(get_field(fields, "Value", str), validate=True)
    except ValueError as error:
        raise DecodeError("value is not base64", step="decode") from error
    return KeyedRecord(
        get_field(fields, "Key", str), value or None, get_field(fields, "Offset", int)
    )
