"""Stand-in for the platform: store, host list and weight store over HTTP."""

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
    query_integer,
    read_json,
)
from galenascale.standins.store_api import StoreHandlers, parse_records
from galenascale.standins.topic_store import TopicStore, stream_name

SLOW_RESPONSE_DELAY_S = 1.5
MAX_APPEND_BYTES = 4_000_000
FAILURE_DOMAIN_HEADER = "X-Failure-Domain"


def _choice_field(*values):
    return attrs.field(default=values[0], validator=attrs.validators.in_(values))


@attrs.define
class PlatformFaults:
    """Faults of the platform; PUT /faults sets all of them at once."""

    append: str = _choice_field("ok", "down", "slow", "lost_answer", "duplicate")
    read: str = _choice_field("ok", "down", "slow")
    # Faults of the host list; "frozen" keeps returning an old view.
    hosts: str = _choice_field("ok", "down", "frozen")
    # Overrides the retention of the settings; None does not.
    retention_records: int | None = None
    # Failure domains whose requests get no response.
    partition: list[str] = attrs.field(factory=list)

    def __attrs_post_init__(self):
        if self.retention_records is not None and self.retention_records < 0:
            raise ValueError("retention_records must not be negative")


@attrs.define
class PlatformStats:
    """Counters since the start."""

    appends: int = 0
    append_bytes: int = 0
    refused_appends: int = 0
    reads: int = 0
    read_records: int = 0
    host_list_reads: int = 0
    weight_bytes: int = 0
    appends_by_stream: dict = attrs.field(factory=collections.Counter)


class PlatformStandin(StandinServer):
    """Store, host list and weight store with injected faults."""

    faults_type = PlatformFaults

    def __init__(self, settings, clock=None):
        super().__init__(settings, clock)
        now = self.clock.monotonic()
        self.log = LogStore(settings.retention_records)
        store = TopicStore(log=self.log)
        self._store_handlers = StoreHandlers(store, self.clock)
        self.hosts = LaggedHostList(settings.host_list_lag_s, settings.host_ttl_s)
        self.stats = PlatformStats()
        self._append_bucket = TokenBucket(settings.appends_per_s, now)
        self._bandwidth = SharedBandwidth(settings.weight_bytes_per_s)
        # View that a frozen host list returns; None if it is not frozen.
        self._frozen_hosts = None

    def routes(self):
        """Return the routes of docs/backend-api.md."""
        return [
            web.post("/log-append", self._append),
            web.get("/log-read", self._read),
            *self._fault_free_store_routes(),
            web.get("/v1/hosts", self._list_hosts),
            web.put("/v1/hosts/{host_id}", self._put_host),
            web.get("/v1/weights/{model}/{version}", self._weights),
            web.get("/stats", self._stats),
        ]

    def _fault_free_store_routes(self):
        """Return the store routes without faults of their own."""
        for path, handler in self._store_handlers.handlers_by_path.items():
            if path not in ("/log-append", "/log-read"):
                yield web.route("*", path, handler)

    def is_blocked(self, request):
        """Return whether the request is from a partitioned failure domain."""
        return request.headers.get(FAILURE_DOMAIN_HEADER) in self.faults.partition

    @web.middleware
    async def hold_blocked_requests(self, request, handler):
        """Delay the requests of partitioned domains, then reset them."""
        if not self.is_blocked(request):
            return await handler(request)
        while self.is_blocked(request):
            await self.faults_changed.wait()
        # A partition loses the request, so it must not take effect later.
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)

    def apply_faults(self):
        """Apply the retention limit, and freeze or unfreeze the host list."""
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

    # --- Store

    async def _append(self, request):
        mode = self.faults.append
        body = await request.read()
        if len(body) > MAX_APPEND_BYTES:
            return web.Response(status=413)
        if mode == "slow":
            await self.clock.sleep(SLOW_RESPONSE_DELAY_S)
        if mode == "down" or not self._append_bucket.try_acquire(
            self.clock.monotonic()
        ):
            self.stats.refused_appends += 1
            return web.Response(status=503 if mode == "down" else 429)
        self.stats.appends += 1
        name = stream_name(request.query["Topic"], request.query["part"])
        self.stats.appends_by_stream[name] += 1
        self.stats.append_bytes += sum(map(len, parse_records(body)))
        append = self._store_handlers.handlers_by_path["/log-append"]
        response = await append(request)
        if mode == "duplicate":
            await append(request)
        if mode == "lost_answer" and request.transport is not None:
            request.transport.abort()
        return response

    async def _read(self, request):
        self.stats.reads += 1
        if self.faults.read == "down":
            raise web.HTTPServiceUnavailable
        if self.faults.read == "slow":
            await self.clock.sleep(SLOW_RESPONSE_DELAY_S)
        response = await self._store_handlers.handlers_by_path[request.path](request)
        self.stats.read_records = self._store_handlers.records_read
        return response

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
        self.hosts.announce(
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
        size = query_integer(request.query, "bytes", 0)
        wait_s = self._bandwidth.reserve(self.clock.monotonic(), size)
        await self.clock.sleep(wait_s)
        self.stats.weight_bytes += size
        return json_response({"bytes": size, "waited_s": wait_s})

    async def _stats(self, _):
        return json_response(attrs.asdict(self.stats))
