"""Client of the platform's store: a log with topics and partitions."""

import base64

import aiohttp
import attrs
import orjson

from galenascale.errors import DecodeError
from galenascale.gateway.http_bodies import read_limited_body
from galenascale.gateway.store_sizes import MAX_READ_BYTES, READ_KB
from galenascale.platform.fields import get_field, parse_json_object
from galenascale.platform.records import (
    decode_keyed_record,
    encode_keyed_record,
    frame_records,
    parse_read_response,
)
from galenascale.store import (
    KeyedReadResult,
    KeyedRecord,
    Membership,
    PartitionTrimmed,
    ReadResult,
    StoreFenced,
    StoreOutcomeUnknown,
    StoreRefused,
    StoreUnavailable,
)

# Timeout in seconds of a call that the store answers at once; when it is slow,
# it takes about 0.25 s.
CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# Seconds that a long poll may take beyond the wait that it asked of the store.
# A host must meet its time limits again 3 s after the end of a store outage,
# so a read that began during the outage has to time out well before that.
LONG_POLL_GRACE_S = 1.0
# Statuses with which the store rejects a call without applying it.
_REJECTED_STATUSES = frozenset((429, 503, 507))
# Statuses with which it rejects the call as such, whoever makes it.
_REFUSED_STATUSES = frozenset((400, 413, 422))


@attrs.frozen
class _Response:
    status: int
    body: bytes

    def fields(self):
        return parse_json_object(self.body, "response of the store")


class StoreClient:
    """
    Calls the store; each call is an HTTP request with a timeout.

    Calls raise StoreUnavailable if the store did not apply the call, its kind
    StoreRefused if it never will, and StoreOutcomeUnknown if it may have.
    """

    def __init__(self, url, session, timeout_s=CALL_TIMEOUT_S):
        self._url = url.rstrip("/")
        self._session = session
        self._timeout_s = timeout_s

    @classmethod
    def from_config(cls, settings, session):
        """Return a client of the store at the address in the StoreSettings."""
        return cls(f"http://{settings.address}", session)

    async def append(self, topic, partition, records, *, expected_offset=None):
        """
        Append all records or none and return the offset of the first.

        With `expected_offset`, raise StoreFenced and append nothing unless the
        next append of the partition has that offset.
        """
        params = {"Topic": topic, "part": str(partition)}
        if expected_offset is not None:
            params["At"] = str(expected_offset)
        response = await self._call(
            "POST", "/log-append", params, frame_records(records)
        )
        if response.status in (409, 412):
            raise StoreFenced(
                "partition does not end at the expected offset",
                step="append",
                peer=self._url,
            )
        return get_field(self._check_status(response, "append").fields(), "Offset", int)

    async def append_keyed(self, topic, key, value):
        """Append a value of a key and return its offset; None removes it."""
        return await self.append(topic, 0, [encode_keyed_record(key, value or b"")])

    async def read(
        self, topic, partition, offset, *, wait_s=0.0, max_kb=READ_KB, timeout_s=None
    ):
        """
        Return the ReadResult of the records from an offset on.

        The store waits up to `wait_s` for the first record and returns about
        `max_kb` of them; `timeout_s` applies to calls without `wait_s`. Raise
        PartitionTrimmed if records from the offset on are deleted.
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
        response = await self._call("GET", "/log-read", params, timeout_s=timeout_s)
        if response.status == 410:
            raise PartitionTrimmed(get_field(response.fields(), "FirstOffset", int))
        if response.status == 404:
            # The first append creates the topic.
            return ReadResult([], 0, 0)
        return parse_read_response(self._check_status(response, "read").body, offset)

    async def read_latest(self, topic, *, timeout_s=None):
        """
        Return (latest KeyedRecord of each key, end offset) of a keyed topic.

        `timeout_s` applies to each page.
        """
        params = {"Topic": topic, "part": "0"}
        records = []
        end_offset = None
        while True:
            response = await self._call(
                "GET", "/log-newest", params, timeout_s=timeout_s
            )
            if response.status == 404:
                return [], 0
            fields = self._check_status(response, "read_newest").fields()
            records.extend(map(_decode_latest, get_field(fields, "Items", list)))
            # Pages do not form a snapshot: records may change while they are
            # read, so reads go on from the end offset of the first page.
            if end_offset is None:
                end_offset = get_field(fields, "EndOffset", int)
            if not get_field(fields, "HasMore", bool, False) or not records:
                return records, end_offset
            if records[-1].key == params.get("After"):
                raise StoreUnavailable(
                    "store has more keys, but does not send them",
                    step="read_newest",
                    peer=self._url,
                )
            params["After"] = records[-1].key

    async def read_keyed(self, topic, offset, *, wait_s=0.0, timeout_s=None):
        """Return the KeyedReadResult of the records from an offset on."""
        result = await self.read(topic, 0, offset, wait_s=wait_s, timeout_s=timeout_s)
        records = []
        broken = []
        for record_offset, record in result.records:
            try:
                key, value = decode_keyed_record(record)
            except DecodeError as error:
                # Without a key it says nothing; the others hold.
                broken.append(f"offset {record_offset}: {error.message}")
                continue
            records.append(KeyedRecord(key, value, record_offset))
        next_offset = offset + len(result.records)
        return KeyedReadResult(
            records,
            next_offset,
            is_at_end=next_offset >= result.next_offset,
            broken=tuple(broken),
        )

    async def join(self, group, member, topics, lease_s, generation):
        """Join a group or renew its lease; return the Membership."""
        fields = {
            "group": group,
            "MemberId": member,
            "Topics": topics,
            "TtlMs": int(lease_s * 1000),
            "GenerationId": generation,
        }
        response = await self._call("POST", "/log-join", None, orjson.dumps(fields))
        joined = self._check_status(response, "join").fields()
        return Membership(
            generation=get_field(joined, "GenerationId", int),
            # Rows of topic, partition and committed offset.
            partitions=tuple(row[1] for row in get_field(joined, "parts", list)),
        )

    async def leave(self, group, member):
        """Leave a group, which frees the member's partitions at once."""
        fields = {"group": group, "MemberId": member}
        response = await self._call("POST", "/log-leave", None, orjson.dumps(fields))
        self._check_status(response, "leave")

    def _check_status(self, response, step):
        if response.status == 200:
            return response
        message = f"store responded with status {response.status}"
        if response.status in _REFUSED_STATUSES:
            raise StoreRefused(message, step=step, peer=self._url)
        if response.status in _REJECTED_STATUSES or 400 <= response.status < 500:
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
                body = await read_limited_body(response, MAX_READ_BYTES)
                return _Response(response.status, body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise StoreUnavailable(
                f"cannot connect to the store: {error!r}", step=path, peer=self._url
            ) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            # A read changes nothing, so its outcome is never unknown.
            error_type = StoreUnavailable if method == "GET" else StoreOutcomeUnknown
            raise error_type(
                f"store did not respond: {error!r}", step=path, peer=self._url
            ) from error


def _decode_latest(fields):
    try:
        value = base64.b64decode(get_field(fields, "Value", str), validate=True)
    except ValueError as error:
        raise DecodeError("value is not base64", step="decode") from error
    return KeyedRecord(
        get_field(fields, "Key", str), value or None, get_field(fields, "Offset", int)
    )
