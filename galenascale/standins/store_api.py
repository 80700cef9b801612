"""HTTP interface of the platform's store, and a stand-in with faults."""

import asyncio
import base64
import struct

import orjson
from aiohttp import web

from galenascale.clock import Clock
from galenascale.errors import UserError
from galenascale.standins.server import query_integer
from galenascale.standins.topic_store import AppendRejected, TopicStore, stream_name

MAX_NEWEST_ITEMS = 500
# Interval at which a long-polling read checks for new records.
POLL_INTERVAL_S = 0.01
DEFAULT_READ_KB = 1024
# Largest record, and largest records of one append, in bytes.
MAX_RECORD_BYTES = 1 << 18
MAX_CALL_BYTES = 1 << 21


class StoreFaults:
    """Faults that tests inject into the store."""

    def __init__(self):
        # Failure mode by the client's IP address, "*" for all others: busy
        # (503), many (429), reset (connection reset) or silent (no response).
        self.failure_mode_by_client = {}
        self.delay_s = 0.0
        # Probability that a write takes effect but gets no response.
        self.lost_response_probability = 0.0

    def failure_mode(self, client):
        """Return the failure mode for a client address, or None."""
        return self.failure_mode_by_client.get(
            client, self.failure_mode_by_client.get("*")
        )


class StoreHandlers:
    """HTTP handlers of the store's public API, backed by a TopicStore."""

    def __init__(self, state, clock):
        self.state = state
        self.records_read = 0
        self.record_bytes = MAX_RECORD_BYTES
        self._clock = clock
        self._stopped = asyncio.Event()
        self.handlers_by_path = {
            "/log-append": self._append,
            "/log-read": self._read,
            "/log-newest": self._newest,
            "/log-trim": self._trim,
            "/log-join": self._join,
            "/log-leave": self._leave,
            "/log-owners": self._owners,
        }

    def stop(self):
        """Make all long-polling reads return."""
        self._stopped.set()

    async def _append(self, request):
        query = request.query
        body = await request.read()
        producer = None
        if "ProducerId" in query:
            producer = (query["ProducerId"], int(query["epoch"]), int(query["Seq"]))
        records = parse_records(body)
        sizes = [len(record) for record in records]
        if max(sizes, default=0) > self.record_bytes or sum(sizes) > MAX_CALL_BYTES:
            return _json({"why": "too large"}, 413)
        try:
            offset = self.state.append(
                query["Topic"],
                int(query["part"]),
                records,
                at=int(query["At"]) if "At" in query else None,
                producer=producer,
            )
        except AppendRejected as error:
            return _json(error.fields, error.status)
        return _json({"Offset": offset, "EndOffset": offset + len(records)})

    async def _read(self, request):
        query = request.query
        name = stream_name(query["Topic"], query_integer(query, "part", 0))
        start = query_integer(query, "From", 0)
        deadline = self._clock.monotonic() + query_integer(query, "WaitMs", 0) / 1000
        stream = self.state.log.streams_by_name[name]
        while stream.next_offset <= start and not self._stopped.is_set():
            remaining_s = deadline - self._clock.monotonic()
            if remaining_s <= 0:
                break
            await self._clock.sleep(min(POLL_INTERVAL_S, remaining_s))
        if start < stream.first_offset:
            return _json({"FirstOffset": stream.first_offset}, 410)
        max_bytes = query_integer(query, "MaxKb", DEFAULT_READ_KB) * 1024
        records = self.state.log.read(name, start, stream.next_offset, max_bytes)
        self.records_read += len(records)
        parts = [struct.pack(">QQ", stream.next_offset, stream.first_offset)]
        for _, record in records:
            parts += [struct.pack(">I", len(record)), record]
        return web.Response(body=b"".join(parts))

    async def _newest(self, request):
        topic = request.query["Topic"]
        after = request.query.get("After", "")
        newest = sorted(
            (key, value, offset)
            for key, (value, offset) in self.state.newest(topic).items()
            if key > after
        )
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, value, offset in newest[:MAX_NEWEST_ITEMS]
        ]
        end = self.state.partition(topic, 0).next_offset
        more = len(newest) > MAX_NEWEST_ITEMS
        return _json({"Items": items, "HasMore": more, "EndOffset": end})

    async def _trim(self, request):
        query = request.query
        partition = self.state.partition(query["Topic"], int(query["part"]))
        partition.trim(int(query["BeforeOffset"]))
        return _json({})

    async def _join(self, request):
        fields = orjson.loads(await request.read())
        generation, assigned = self.state.join(
            fields["group"],
            fields["MemberId"],
            fields["Topics"],
            fields["TtlMs"] / 1000,
            self._clock.monotonic(),
        )
        parts = [[topic, number, 0] for topic, number in assigned]
        return _json({"GenerationId": generation, "parts": parts})

    async def _leave(self, request):
        fields = orjson.loads(await request.read())
        self.state.leave(fields["group"], fields["MemberId"], self._clock.monotonic())
        return _json({})

    async def _owners(self, request):
        rows = self.state.owners(request.query["group"], self._clock.monotonic())
        return _json({"parts": [[*row, 0] for row in rows]})


class StoreStandin:
    """HTTP server with the store's public API and injected faults."""

    def __init__(self, rng, partitions=24):
        self.state = TopicStore(partitions)
        self.faults = StoreFaults()
        # (client address, path) of each request, in order of arrival.
        self.calls = []
        self.address = ""
        self._rng = rng
        self._stopped = asyncio.Event()
        self._store_handlers = StoreHandlers(self.state, Clock())

    def limit_records(self, max_bytes):
        """Refuse appends of larger records."""
        self._store_handlers.record_bytes = max_bytes

    async def start(self, host="127.0.0.1"):
        """Listen on a free port of `host`."""
        self._runner = web.ServerRunner(
            web.Server(self._handle, access_log=None), shutdown_timeout=0.1
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def stop(self):
        """Stop listening and end all long-polling reads."""
        self._stopped.set()
        self._store_handlers.stop()
        await self._runner.cleanup()

    def write_key(self, topic, key, value):
        """
        Append a keyed record and return its offset.

        The operator and the backend servers write such records.
        """
        name = key.encode()
        record = bytes([len(name)]) + name + value
        return self.state.append(topic, 0, [record])

    async def _handle(self, request):
        client = request.remote
        self.calls.append((client, request.path))
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        failure_mode = self.faults.failure_mode(client)
        if failure_mode is not None:
            return await self._respond_with_failure(request, failure_mode)
        call = self._store_handlers.handlers_by_path.get(request.path)
        if call is None:
            return web.Response(status=404)
        try:
            response = await call(request)
        except UserError as error:
            return _json({"why": error.message}, 400)
        is_write = request.method == "POST"
        if is_write and self._rng.random() < self.faults.lost_response_probability:
            request.transport.abort()
        return response

    async def _respond_with_failure(self, request, failure_mode):
        if failure_mode == "reset":
            request.transport.abort()
        if failure_mode == "silent":
            await self._stopped.wait()
        return web.Response(status=429 if failure_mode == "many" else 503)


def parse_records(body):
    """
    Return the records in the body of an append request.

    Each is preceded by its length as a big-endian 32-bit integer.
    """
    records = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        position += 4
        records.append(body[position : position + length])
        position += length
    return records


def _json(fields, status=200):
    return web.Response(
        status=status, body=orjson.dumps(fields), content_type="application/json"
    )
