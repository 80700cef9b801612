"""Stand-in of the platform over HTTP: log service, host list, weight store."""

import base64
import collections

import attrs
from aiohttp import web

from galenascale.errors import UserError
from galenascale.settings_files import structure
from galenascale.standins.host_list import STATES, LaggedHostList, ListedHost
from galenascale.standins.log_store import LogStore
from galenascale.standins.rates import SharedBandwidth, TokenBucket
from galenascale.standins.server import (
    StandinServer,
    json_response,
    read_json,
)

SLOW_ANSWER_S = 1.5
MAX_APPEND_BYTES = 4_000_000
DEFAULT_READ_LIMIT = 500
DOMAIN_HEADER = "X-Failure-Domain"


def _one_of(*values):
    return attrs.field(default=values[0], validator=attrs.validators.in_(values))


@attrs.define
class PlatformFaults:
    """Faults of the platform; PUT /faults replaces all of them."""

    append: str = _one_of("ok", "down", "slow", "lost_answer", "duplicate")
    read: str = _one_of("ok", "down", "slow")
    # Faults of the host list: an old view, or none.
    hosts: str = _one_of("ok", "down", "frozen")
    # None keeps the retention of the settings.
    retention_records: int | None = None
    # Failure domains whose requests get no answer.
    partition: list[str] = attrs.field(factory=list)

    def __attrs_post_init__(self):
        if self.retention_records is not None and self.retention_records < 0:
            raise ValueError("retention_records must not be negative")


@attrs.define
class PlatformStats:
    """Counts since the start."""

    appends: int = 0
    append_bytes: int = 0
    refused_appends: int = 0
    reads: int = 0
    read_records: int = 0
    host_list_reads: int = 0
    weight_bytes: int = 0
    appends_by_stream: dict = attrs.field(factory=collections.Counter)


class PlatformStandin(StandinServer):
    """Log service, host list and weight store with faults."""

    faults_type = PlatformFaults

    def __init__(self, settings, clock=None):
        super().__init__(settings, clock)
        now = self.clock.monotonic()
        self.log = LogStore(settings.retention_records)
        self.hosts = LaggedHostList(settings.host_list_lag_s, settings.host_ttl_s)
        self.stats = PlatformStats()
        self._append_bucket = TokenBucket(settings.appends_per_s, now)
        self._bandwidth = SharedBandwidth(settings.weight_bytes_per_s)
        # The list that a frozen host list keeps showing.
        self._frozen_hosts = None

    def routes(self):
        """Return the routes of docs/backend-api.md."""
        return [
            web.post("/v1/streams/{name}/records", self._append),
            web.get("/v1/streams/{name}/records", self._read),
            web.get("/v1/streams/{name}", self._bounds),
            web.get("/v1/hosts", self._list_hosts),
            web.put("/v1/hosts/{host_id}", self._put_host),
            web.get("/v1/weights/{model}/{version}", self._weights),
            web.get("/stats", self._stats),
        ]

    def is_held(self, request):
        """Return whether the request comes from a domain that is cut off."""
        return request.headers.get(DOMAIN_HEADER) in self.faults.partition

    @web.middleware
    async def gate(self, request, handler):
        """Hold requests of cut-off domains and reset them afterwards."""
        if not self.is_held(request):
            return await handler(request)
        while self.is_held(request):
            await self.faults_changed.wait()
        # The request was lost on its way, so it must have no effect now.
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)

    def apply_faults(self):
        """Take over the retention and the view of a frozen host list."""
        kept = self.faults.retention_records
        self.log.retention_records = (
            self.settings.retention_records if kept is None else kept
        )
        for name in list(self.log.streams_by_name):
            self.log.trim(name)
        if self.faults.hosts != "frozen":
            self._frozen_hosts = None
        elif self._frozen_hosts is None:
            self._frozen_hosts = self.hosts.view(self.clock.monotonic())

    # --- Log service

    async def _append(self, request):
        mode, name = self.faults.append, request.match_info["name"]
        body = await request.read()
        if len(body) > MAX_APPEND_BYTES:
            return web.Response(status=413)
        if mode == "slow":
            await self.clock.sleep(SLOW_ANSWER_S)
        if mode == "down" or not self._append_bucket.take(self.clock.monotonic()):
            self.stats.refused_appends += 1
            return web.Response(status=503 if mode == "down" else 429)
        self.stats.appends += 1
        self.stats.appends_by_stream[name] += 1
        self.stats.append_bytes += len(body)
        offset = self.log.append(name, body)
        if mode == "duplicate":
            self.log.append(name, body)
        if mode == "lost_answer" and request.transport is not None:
            request.transport.abort()
        return json_response({"offset": offset})

    async def _read(self, request):
        offset = _integer(request.query, "offset", 0)
        limit = _integer(request.query, "limit", DEFAULT_READ_LIMIT)
        await self._check_read()
        records = self.log.read(request.match_info["name"], offset, limit)
        self.stats.read_records += len(records)
        encoded = [[at, base64.b64encode(body).decode()] for at, body in records]
        return json_response(
            {"records": encoded} | self._bounds_of(request.match_info["name"])
        )

    async def _bounds(self, request):
        await self._check_read()
        return json_response(self._bounds_of(request.match_info["name"]))

    def _bounds_of(self, name):
        first, following = self.log.bounds(name)
        return {"first_offset": first, "next_offset": following}

    async def _check_read(self):
        self.stats.reads += 1
        if self.faults.read == "down":
            raise web.HTTPServiceUnavailable
        if self.faults.read == "slow":
            await self.clock.sleep(SLOW_ANSWER_S)

    # --- Host list

    async def _put_host(self, request):
        if self.faults.hosts == "down":
            raise web.HTTPServiceUnavailable
        value = await read_json(request)
        value["host_id"] = request.match_info["host_id"]
        known = {field.name for field in attrs.fields(ListedHost)}
        host = {name: value[name] for name in known & value.keys()}
        if host.get("state", "live") not in STATES:
            raise UserError("state must be live or leaving", param="state")
        self.hosts.put(
            self.clock.monotonic(), structure(host, ListedHost, "announcement")
        )
        return json_response({"announced": True})

    async def _list_hosts(self, _):
        if self.faults.hosts == "down":
            raise web.HTTPServiceUnavailable
        self.stats.host_list_reads += 1
        hosts = self._frozen_hosts
        if hosts is None:
            hosts = self.hosts.view(self.clock.monotonic())
        return json_response({"hosts": [attrs.asdict(host) for host in hosts]})

    # --- Weight store

    async def _weights(self, request):
        size = _integer(request.query, "bytes", 0)
        wait_s = self._bandwidth.reserve(self.clock.monotonic(), size)
        await self.clock.sleep(wait_s)
        self.stats.weight_bytes += size
        return json_response({"bytes": size, "waited_s": wait_s})

    async def _stats(self, _):
        return json_response(attrs.asdict(self.stats))


def _integer(query, name, default):
    """Return a non-negative integer of the query; raise UserError if bad."""
    try:
        value = int(query.get(name, default))
    except ValueError as error:
        raise UserError(f"{name} must be an integer", param=name) from error
    if value < 0:
        raise UserError(f"{name} must not be negative", param=name)
    return value
