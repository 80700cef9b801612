"""A small test fleet: store, runners and gateway hosts on loopback."""

import asyncio
import contextlib
import random
import socket

import aiohttp
import attrs
import orjson

from galenascale.gateway.host import GatewayHost
from galenascale.gateway.sockets import split_address
from galenascale.generated.gateway_messages import (
    GatewaySettings,
    LimitsInTime,
    StoreSettings,
)
from galenascale.platform.adapter import PlatformAdapter
from galenascale.standins.runner import RunnerStandin
from galenascale.standins.store_api import StoreStandin
from test.gateway.ports import free_port

HOST_NAME = "front.example"
WAIT_S = 10.0


def make_route(name, kind, service, **fields):
    """Return a route in the operator's configuration format."""
    return {
        "Name": name,
        "Host": HOST_NAME,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 5000,
        "SloMs": 400,
        "Priority": 0,
        "Service": service,
        "Attempts": 2,
        **fields,
    }


ROUTES = (
    make_route("plain", "idempotent", "app"),
    make_route("once", "non_idempotent", "app", Attempts=1),
    make_route("chat", "streaming", "llm", CanResume=True, GapTargetMs=300),
    make_route("talk", "streaming", "llm", CanResume=False, Attempts=1),
    make_route("jobs", "batch", "llm", DueMs=18000, ItemTtlS=60, Attempts=3),
)


async def until(condition, wait_s=WAIT_S):
    """Poll a condition; fail if it is not true within `wait_s` seconds."""
    give_up_at = asyncio.get_running_loop().time() + wait_s
    while not condition():
        assert asyncio.get_running_loop().time() < give_up_at, "waited too long"
        await asyncio.sleep(0.01)


class LoopbackAdapter(PlatformAdapter):
    """Adapter that connects from its own loopback address."""

    def __init__(self, address):
        super().__init__()
        self._address = address

    def make_session(self):
        """Return a session that the stand-ins can identify by address."""
        connector = aiohttp.TCPConnector(limit=0, local_addr=(self._address, 0))
        return aiohttp.ClientSession(connector=connector)


@attrs.define
class Reply:
    """A response; `complete` is False if the body was cut off."""

    status: int
    headers: dict
    body: bytes
    complete: bool = True


class GatewayFleet:
    """Store stand-in, runners and gateway hosts of one test."""

    def __init__(self):
        self.rng = random.Random(7)
        self.store = StoreStandin(self.rng)
        self.runners = []
        self.hosts = []
        self.routes = list(ROUTES)
        # Tenants in the operator's configuration format; None for none at all.
        self.tenants = None
        # Limits on callers in the operator's configuration format.
        self.limits = {
            "HeaderBytes": 16384,
            "BodyBytes": 1 << 20,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        }
        self.version = 0
        self.bounds = {"stop_grace_s": 2.0}
        self.log_level = "error"
        self.ports = {
            "caller": free_port(),
            "ready": free_port(),
            "peer": free_port(),
            "datagram": free_port(socket.SOCK_DGRAM),
        }

    async def start(self, hosts=1, runners=2):
        """Start everything and wait until the hosts are ready."""
        await self.store.start()
        for service in ("app", "llm"):
            for number in range(runners):
                await self.add_runner(f"{service}-{number}", service)
        self.write_config()
        for number in range(hosts):
            await self.add_host(number + 1)
        await until(lambda: all(host.ready for host in self.hosts))

    async def add_runner(self, server_id, service, **fields):
        """Start a runner and register it."""
        runner = RunnerStandin(server_id, service, **fields)
        await runner.start(port=free_port())
        self.runners.append(runner)
        self.register(runner)
        return runner

    def register(self, runner, state="ready"):
        """Write the entry of a runner to the store."""
        self.store.write_key(
            "keyed.servers", runner.server_id, runner.registration(state)
        )

    def unregister(self, runner):
        """Remove the entry of a runner from the store."""
        self.store.write_key("keyed.servers", runner.server_id, b"")

    def runners_of(self, service):
        """Return the runners of a service."""
        return [runner for runner in self.runners if runner.service == service]

    def write_config(self, routes=None):
        """Write the next version of the configuration."""
        self.version += 1
        if routes is not None:
            self.routes = list(routes)
        engine = {"Slots": 8, "KvTokens": 100_000}
        config = {
            "Version": self.version,
            "Routes": self.routes,
            "Services": [
                {"Name": "app", "MaxConns": 100},
                {"Name": "llm", "MaxConns": 100, "EngineKind": engine},
            ],
            "Limits": self.limits,
        }
        if self.tenants is not None:
            config["Tenants"] = self.tenants
        self.store.write_key("keyed.op", "config", orjson.dumps(config))

    def settings(self, number):
        """Return the settings of a host."""
        address = f"127.0.0.{number}"
        return GatewaySettings(
            host_id=f"host-{number}",
            failure_domain="a",
            caller_listen=f"{address}:{self.ports['caller']}",
            ready_listen=f"{address}:{self.ports['ready']}",
            peer_listen=f"{address}:{self.ports['peer']}",
            peer_datagram_port=self.ports["datagram"],
            seeds=[f"127.0.0.1:{self.ports['peer']}"],
            store=StoreSettings(address=self.store.address, min_lease_ms=200),
            bounds=LimitsInTime(**self.bounds),
            failure_domains=["a"],
            log_level=self.log_level,
        )

    async def add_host(self, number):
        """Start a gateway host in this process."""
        settings = self.settings(number)
        adapter = LoopbackAdapter(split_address(settings.peer_listen)[0])
        host = await GatewayHost.from_config(settings, adapter)
        await host.start()
        self.hosts.append(host)
        return host

    def url(self, path, number=1):
        """Return the URL of a path on a host."""
        return f"http://127.0.0.{number}:{self.ports['caller']}{path}"

    async def request(self, path, *, request_id="r1", host=1, **fields):
        """Send a request with the usual headers and return the Reply."""
        headers = make_headers(request_id, path) | fields.pop("headers", {})
        method = fields.pop("method", "POST")
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                method, self.url(path, host), headers=headers, **fields
            ) as response,
        ):
            try:
                body = await response.read()
            except aiohttp.ClientPayloadError:
                return Reply(response.status, dict(response.headers), b"", False)
            return Reply(response.status, dict(response.headers), body)

    async def close(self):
        """Stop everything."""
        for host in self.hosts:
            await host.kill()
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()


def make_tenant(name, *keys, **fields):
    """Return a tenant in the operator's configuration format."""
    return {"Name": name, "ApiKeys": list(keys), **fields}


def key_header(key):
    """Return the header with which a caller sends its key."""
    return {"Authorization": f"Token {key}"}


def make_headers(request_id, path):
    """Return the headers of a caller's request."""
    headers = {
        "Host": HOST_NAME,
        "X-Galenascale-Attempt-Id": request_id,
        "X-Galenascale-Deadline-Ms": "3000",
    }
    if path.startswith(("/chat", "/talk")):
        headers["X-Galenascale-Model"] = "m"
        headers["X-Galenascale-Token-Usage"] = "100,80"
    return headers


@contextlib.asynccontextmanager
async def gateway_fleet(*, tenants=None, bounds=None, caller_limits=None, **fields):
    """
    Yield a started GatewayFleet.

    `bounds` are fields of LimitsInTime, `caller_limits` those of the
    configuration, as far as they differ from the usual ones.
    """
    fleet = GatewayFleet()
    fleet.tenants = tenants
    fleet.bounds.update(bounds or {})
    fleet.limits |= caller_limits or {}
    try:
        await fleet.start(**fields)
        yield fleet
    finally:
        await fleet.close()
