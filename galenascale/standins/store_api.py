"""HTTP stand-in of the platform's store, with its faults."""

import asyncio
import base64
import struct
import time

import orjson
from aiohttp import web

from galenascale.standins.topic_store import Rejected, TopicStore

MAX_NEWEST_ITEMS = 500
POLL_S = 0.01


class StoreFaults:
    """Faults that tests switch on."""

    def __init__(self):
        # Refusal by caller's address, "*" for all callers: busy (503),
        # many (429), reset or silent.
        self.refusal_by_caller = {}
        self.delay_s = 0.0
        # Share of the writes that are done and not answered.
        self.lost_share = 0.0

    def refusal(self, caller):
        """Return the refusal for a caller, or None."""
        return self.refusal_by_caller.get(caller, self.refusal_by_caller.get("*"))


class StoreStandin:
    """Serves the published calls of the store."""

    def __init__(self, rng, partitions=24):
        self.state = TopicStore(partitions)
        self.faults = StoreFaults()
        self.calls = []
        self.address = ""
        self._rng = rng
        self._stopped = asyncio.Event()
        self._calls_by_path = {
            "/log-append": self._append,
            "/log-read": self._read,
            "/log-newest": self._newest,
            "/log-trim": self._trim,
            "/log-join": self._join,
            "/log-leave": self._leave,
            "/log-owners": self._owners,
        }

    async def start(self, host="127.0.0.1"):
        """Listen on a free port of an address."""
        self._runner = web.ServerRunner(
            web.Server(self._handle, access_log=None), shutdown_timeout=0.1
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def stop(self):
        """Stop listening; reads that wait end."""
        self._stopped.set()
        await self._runner.cleanup()

    def write_key(self, topic, key, value):
        """Write a key as the operator or a backend server does."""
        name = key.encode()
        record = bytes([len(name)]) + name + value
        return self.state.append(topic, 0, [record])

    async def _handle(self, request):
        caller = request.remote
        self.calls.append((caller, request.path))
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        refusal = self.faults.refusal(caller)
        if refusal is not None:
            return await self._refuse(request, refusal)
        call = self._calls_by_path.get(request.path)
        if call is None:
            return web.Response(status=404)
        response = await call(request)
        is_write = request.method == "POST"
        if is_write and self._rng.random() < self.faults.lost_share:
            request.transport.abort()
        return response

    async def _refuse(self, request, refusal):
        if refusal == "reset":
            request.transport.abort()
        if refusal == "silent":
            await self._stopped.wait()
        return web.Response(status=429 if refusal == "many" else 503)

    async def _append(self, request):
        query = request.query
        body = await request.read()
        producer = None
        if "ProducerId" in query:
            producer = (query["ProducerId"], int(query["epoch"]), int(query["Seq"]))
        records = _parse_records(body)
        try:
            offset = self.state.append(
                query["Topic"],
                int(query["part"]),
                records,
                at=int(query["At"]) if "At" in query else None,
                producer=producer,
            )
        except Rejected as error:
            return _json(error.fields, error.status)
        return _json({"Offset": offset, "EndOffset": offset + len(records)})

    async def _read(self, request):
        query = request.query
        partition = self.state.partition(query["Topic"], int(query["part"]))
        start = int(query["From"])
        deadline = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while partition.end <= start and not self._stopped.is_set():
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                break
            await asyncio.sleep(min(POLL_S, remaining_s))
        if start < partition.first:
            return _json({"FirstOffset": partition.first}, 410)
        body = struct.pack(">QQ", partition.end, partition.first)
        limit = int(query.get("MaxKb", 1024)) * 1024
        for record in partition.records[start - partition.first :]:
            if len(body) > 16 and len(body) + len(record) > limit:
                break
            body += struct.pack(">I", len(record)) + record
        return web.Response(body=body)

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
        end = self.state.partition(topic, 0).end
        more = len(newest) > MAX_NEWEST_ITEMS
        return _json({"Items": items, "HasMore": more, "EndOffset": end})

    async def _trim(self, request):
        query = request.query
        partition = self.state.partition(query["Topic"], int(query["part"]))
        partition.trim(int(query["BeforeOffset"]))
        return _json({})

    async def _join(self, request):
        fields = orjson.loads(await request.read())
        generation, held = self.state.join(
            fields["group"],
            fields["MemberId"],
            fields["Topics"],
            fields["TtlMs"] / 1000,
            time.monotonic(),
        )
        parts = [[topic, number, 0] for topic, number in held]
        return _json({"GenerationId": generation, "parts": parts})

    async def _leave(self, request):
        fields = orjson.loads(await request.read())
        self.state.leave(fields["group"], fields["MemberId"], time.monotonic())
        return _json({})

    async def _owners(self, request):
        rows = self.state.owners(request.query["group"], time.monotonic())
        return _json({"parts": [[*row, 0] for row in rows]})


def _parse_records(body):
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
