"""A whole deployment in one process on one event loop, with stand-ins."""

import asyncio
import contextlib
import socket
import uuid

import aiohttp
import attrs

from galenascale import codec
from galenascale.clock import Clock
from galenascale.config_follower import STREAM as CONFIG_STREAM
from galenascale.deployments import Deployment
from galenascale.errors import GalenascaleError
from galenascale.generated.messages import (
    ConfigChange,
    HostSettings,
    LogBatch,
    LogRecord,
    RecordKind,
)
from galenascale.host import Host
from galenascale.key_table import key_digest
from galenascale.log_client import LogClient
from galenascale.logs import get_logger
from galenascale.platform.store import StoreClient
from galenascale.settings import check_host_settings
from galenascale.standins.engine import EngineStandin
from galenascale.standins.plain_service import PlainServiceStandin
from galenascale.standins.platform import PlatformStandin

log = get_logger("embedded")

LOOPBACK = "127.0.0.1"
READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.02
STANDIN_TYPES = {"engine": EngineStandin, "plain": PlainServiceStandin}


class NotReady(GalenascaleError):
    """The hosts of an embedded deployment did not get ready in time."""

    code = "not_ready"


@attrs.frozen
class EntryHost:
    """One running entry host."""

    id: str
    failure_domain: str
    url: str


@attrs.frozen
class BackendServer:
    """One running stand-in of a backend server."""

    id: str
    service: str
    url: str


@attrs.frozen
class Summary:
    """What a user needs to call the deployment."""

    entry_hosts: list[EntryHost]
    platform_url: str
    backend_servers: list[BackendServer]
    caller_key: str
    operator_key: str


class EmbeddedDeployment:
    """
    Runs a Deployment between start() and stop(), or in `async with`.

    With a port the entry hosts, the platform and the backend servers listen on
    consecutive ports from it on, in the order of deployment.json; without one
    on free ports. Peer listeners always use free ports.
    """

    def __init__(self, deployment, port=0, clock=None):
        self.deployment = deployment
        self.clock = clock or Clock()
        self.platform = None
        self.standins_by_id = {}
        self.hosts_by_id = {}
        self._first_port = port
        self._stack = contextlib.AsyncExitStack()

    @classmethod
    def from_directory(cls, path, port=0, clock=None):
        """Return the embedded form of a deployment directory."""
        return cls(Deployment.from_directory(path), port, clock)

    async def __aenter__(self):
        await self.start()
        return self

    async def __aexit__(self, *_):
        await self.stop()

    async def start(self):
        """Start all parts and return when every host is ready."""
        try:
            await self._start_standins()
            self._session = await self._stack.enter_async_context(
                aiohttp.ClientSession()
            )
            await self._publish()
            await self._start_hosts()
            await self._wait_until_ready(self.hosts_by_id)
        except BaseException:
            await self.stop()
            raise

    async def stop(self):
        """Stop the hosts, then the stand-ins."""
        await self._stack.aclose()

    async def restart(self, host_id, graceful=True):
        """Replace a host; return once the new one is ready."""
        host = self.hosts_by_id[host_id]
        await host.stop(graceful)
        self.hosts_by_id[host_id] = replacement = Host.from_config(host.settings)
        await replacement.start()
        await self._wait_until_ready([host_id])

    def summary(self):
        """Return the Summary of the running deployment."""
        settings = self.deployment.settings
        return Summary(
            [
                EntryHost(host_id, host.settings.failure_domain, host.settings.url)
                for host_id, host in self.hosts_by_id.items()
            ],
            self.platform.url,
            [
                BackendServer(server_id, standin.settings.service_name, standin.url)
                for server_id, standin in self.standins_by_id.items()
            ],
            settings.caller_key,
            settings.operator_key,
        )

    def _port(self, place):
        return self._first_port + place if self._first_port else 0

    async def _start_standins(self):
        settings = self.deployment.settings
        place = len(settings.hosts)
        self.platform = PlatformStandin.from_config(
            attrs.evolve(settings.platform, port=self._port(place)), self.clock
        )
        await self._start(self.platform)
        for number, server in enumerate(settings.backend_servers, 1):
            standin = STANDIN_TYPES[server.kind].from_config(
                attrs.evolve(
                    server,
                    port=self._port(place + number),
                    platform_url=self.platform.url,
                    seed=settings.seed + number,
                ),
                self.clock,
            )
            await self._start(standin)
            self.standins_by_id[server.server_id] = standin

    async def _start(self, standin):
        self._stack.push_async_callback(standin.stop)
        await standin.start()

    async def _publish(self):
        """Append the declarations as the first change of the config stream."""
        urls_by_server = {
            server_id: standin.url for server_id, standin in self.standins_by_id.items()
        }
        change = ConfigChange(
            change_id=uuid.uuid4().hex,
            entries=self.deployment.entries(urls_by_server),
            author="embedded",
            created_ms=self.clock.wall_ms(),
        )
        record = LogRecord(
            change.change_id, RecordKind.CONFIG_CHANGE, 1, codec.encode(change)
        )
        client = LogClient(StoreClient(self.platform.url, self._session))
        await client.append(CONFIG_STREAM, codec.encode(LogBatch(records=[record])))

    async def _start_hosts(self):
        for settings in self._host_settings():
            host = Host.from_config(settings)
            self.hosts_by_id[settings.host_id] = host
        # Hosts drain side by side, so that a stop takes as long as one host.
        self._stack.push_async_callback(self._stop_hosts)
        await asyncio.gather(*(host.start() for host in self.hosts_by_id.values()))

    async def _stop_hosts(self):
        results = await asyncio.gather(
            *(host.stop() for host in self.hosts_by_id.values()),
            return_exceptions=True,
        )
        for host_id, result in zip(self.hosts_by_id, results, strict=True):
            if isinstance(result, BaseException):
                log.error("%s did not stop cleanly: %r.", host_id, result)

    def _host_settings(self):
        settings = self.deployment.settings
        count = len(settings.hosts)
        ports = free_ports(2 * count)
        if self._first_port:
            ports[:count] = range(self._first_port, self._first_port + count)
        ports_by_id = {
            place.host_id: (ports[index], ports[count + index])
            for index, place in enumerate(settings.hosts)
        }
        peer_urls_by_id = {
            host_id: f"http://{LOOPBACK}:{peer_port}"
            for host_id, (_, peer_port) in ports_by_id.items()
        }
        secret = uuid.uuid4().hex
        for place in settings.hosts:
            port, peer_port = ports_by_id[place.host_id]
            host_settings = attrs.evolve(
                settings.host or HostSettings(),
                host_id=place.host_id,
                failure_domain=place.failure_domain,
                listen_address=LOOPBACK,
                port=port,
                peer_port=peer_port,
                url=f"http://{LOOPBACK}:{port}",
                peer_url=peer_urls_by_id[place.host_id],
                platform_url=self.platform.url,
                peer_secret=secret,
                operator_key_digests=[key_digest(settings.operator_key)],
                seed_peers={
                    host_id: url
                    for host_id, url in peer_urls_by_id.items()
                    if host_id != place.host_id
                },
            )
            check_host_settings(host_settings, place.host_id)
            yield host_settings

    async def _wait_until_ready(self, host_ids):
        deadline = self.clock.monotonic() + READY_TIMEOUT_S
        waiting = dict.fromkeys(host_ids)
        while waiting:
            for host_id in list(waiting):
                if await self._is_ready(self.hosts_by_id[host_id].settings.url):
                    del waiting[host_id]
            if waiting and self.clock.monotonic() > deadline:
                raise NotReady(f"hosts are not ready: {', '.join(waiting)}")
            if waiting:
                await self.clock.sleep(READY_POLL_S)

    async def _is_ready(self, url):
        try:
            async with self._session.get(f"{url}/readyz") as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False


def free_ports(count):
    """Return free loopback ports; all are bound before any is released."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            listener = stack.enter_context(socket.socket())
            listener.bind((LOOPBACK, 0))
            ports.append(listener.getsockname()[1])
        return ports
