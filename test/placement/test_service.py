"""The placement service over a fake log, clock and servers."""

import asyncio
import math
import re
import types

import aiohttp
import pytest

from galenascale.clock import Clock, FakeClock
from galenascale.configuration import Configuration
from galenascale.engine_answers import ServerState
from galenascale.errors import BackendError, UserError
from galenascale.generated import messages
from galenascale.placement import Leases, PlacementService
from galenascale.placement.observations import DemandMix
from galenascale.requests import ServerReport
from galenascale.settings import check_host_settings
from galenascale.shards import FLEET, Shards
from galenascale.standins.platform import PlatformStandin
from galenascale.weight_store import WeightStore, WeightStoreUnavailable
from test.fakes import FakeLog, run_with_clock

SETTINGS = messages.PlacementSettings(unload_after_s=20.0, max_loads=2)
LOG = messages.LogSettings(shards=1, linger_s=0.1)


class Engines:
    """Servers that carry out orders; `errors` and `hang` are faults."""

    def __init__(self, clock, names):
        self.clock = clock
        self.loaded = {name: {} for name in names}
        self.errors, self.hang = [], False
        self.order_s, self.at_work, self.most_loads = 1.0, 0, 0
        self.orders = []

    def report(self, name):
        models = tuple(self.loaded[name])
        return ServerReport(
            name, models=models, adapters_by_version=dict(self.loaded[name])
        )

    async def state(self, server):
        return ServerState(self.report(server.name), -1)

    async def order(self, server, fencing, action, target, version, size_bytes):
        self.orders.append((server.name, action, target, version, size_bytes))
        if self.errors:
            raise BackendError("fault", code=self.errors.pop(0))
        self.at_work += action.startswith("load")
        self.most_loads = max(self.most_loads, self.at_work)
        try:
            await self.clock.sleep(math.inf if self.hang else self.order_s)
        finally:
            self.at_work -= action.startswith("load")
        model, _, adapter = target.partition(":")
        versions = self.loaded[server.name]
        if action == "load_model":
            versions[model, version] = ()
        elif action == "load_adapter":
            versions[model, version] = (*versions[model, version], adapter)
        else:
            del versions[model, version]


class Fleet:
    """Hosts that share the servers of one service."""

    def __init__(self, hosts=2, servers=4):
        self.clock, self.log = FakeClock(), FakeLog()
        names = [f"s{i}" for i in range(servers)]
        self.engines = Engines(self.clock, names)
        self.backlog_s, self.tasks, self.hosts = 0.0, [], []
        declared = {
            name: messages.BackendServerDeclaration(
                name=name, service_name="svc", failure_domain="ab"[i % 2]
            )
            for i, name in enumerate(names)
        }
        model = messages.ModelDeclaration(
            name="m",
            service_name="svc",
            versions=[messages.ModelVersion("v1")],
            adapters=["x"],
            replicas=3,
        )
        services = {"svc": messages.ServiceDeclaration(name="svc")}
        config = Configuration(1, services, {"m": model}, {}, declared)
        self.config = types.SimpleNamespace(current=config)
        for number in range(hosts):
            self.add_host(f"h{number}", hosts)

    def add_host(self, host_id, count):
        shards = Shards(self.log, self.clock, LOG, host_id)
        service = PlacementService(
            host_id,
            self.config,
            Leases(shards, self.clock, SETTINGS, host_id, "i"),
            self.engines,
            types.SimpleNamespace(backlog_s=self.tell_backlog_s),
            self.clock,
            SETTINGS,
            lambda server: f"h{int(server.name[1:]) % count}",
            lambda service, server_id: 0,
            lambda server_id: False,
        )
        service.shards = shards
        self.hosts.append(service)
        self.tasks.append(asyncio.ensure_future(service.run()))

    async def tell_backlog_s(self, model, version, limit_s):
        return self.backlog_s

    async def run(self, seconds):
        for _ in range(int(seconds)):
            for host in self.hosts:
                for name in self.engines.loaded:
                    host.observe(self.engines.report(name))
            await self.clock.advance(1.0)

    async def leases(self):
        shards = self.hosts[0].shards
        state = await run_with_clock(self.clock, shards.view(FLEET))
        return set(state.leases_by_server)

    async def close(self):
        for host in self.hosts:
            await run_with_clock(self.clock, host.close())
            await host.shards.close()
        for task in self.tasks:
            task.cancel()


async def test_servers_reach_their_targets_and_leases_end():
    """Guards the whole path: plan, lease, shared loads, orders, release."""
    fleet = Fleet()
    await fleet.run(60)
    held = [name for name, loaded in fleet.engines.loaded.items() if loaded]
    assert len(held) == 3 and {int(name[1:]) % 2 for name in held} == {0, 1}
    assert all(fleet.engines.loaded[name] == {("m", "v1"): ("x",)} for name in held)
    assert fleet.engines.most_loads <= SETTINGS.max_loads
    sizes = {action: size for _, action, _, _, size in fleet.engines.orders}
    assert sizes == {"load_model": 10**9, "load_adapter": 2 * 10**7}
    assert len(fleet.engines.orders) == 6 and not await fleet.leases()
    before = fleet.log.appends
    await fleet.run(300)
    assert len(fleet.engines.orders) == 6
    assert fleet.log.appends == before, "leases cost appends without an order"
    await fleet.close()


async def test_a_burst_of_claims_gives_way():
    """Guards the length of the queue when many hosts claim at once."""
    fleet = Fleet(hosts=6, servers=24)
    model = fleet.config.current.models_by_name["m"]
    model.replicas = 0
    await fleet.run(4)
    assert len(await fleet.leases()) <= 2 * SETTINGS.max_loads
    await fleet.run(200)
    assert all(item == {("m", "v1"): ("x",)} for item in fleet.engines.loaded.values())
    assert fleet.engines.most_loads <= SETTINGS.max_loads
    assert not await fleet.leases()
    await fleet.close()


async def test_a_backlog_of_the_weight_store_holds_loads_up():
    """Guards the rate limit that all servers share."""
    fleet = Fleet(hosts=1, servers=1)
    fleet.backlog_s = math.inf
    await fleet.run(40)
    assert not fleet.engines.orders
    fleet.backlog_s = 0.0
    await fleet.run(10)
    assert fleet.engines.loaded["s0"]
    await fleet.close()


async def test_a_failed_order_is_tried_again_after_a_pause():
    """Guards against a storm of orders to a server that refuses them."""
    fleet = Fleet(hosts=1, servers=1)
    fleet.engines.errors = ["bad_request", "connect_failed"]
    await fleet.run(15)
    assert len(fleet.engines.orders) == 2
    await fleet.run(20)
    assert fleet.engines.loaded["s0"] == {("m", "v1"): ("x",)}
    await fleet.close()


@pytest.mark.parametrize("hang", [False, True])
async def test_a_planned_stop_gives_leases_back(hang):
    """Guards the release, and the wait for an order that may be at work."""
    fleet = Fleet(hosts=1, servers=1)
    fleet.engines.hang = hang
    fleet.engines.order_s = 3.0
    await fleet.run(2)
    assert await fleet.leases() == {"s0"}
    await run_with_clock(fleet.clock, fleet.hosts[0].close())
    assert await fleet.leases() == ({"s0"} if hang else set())
    assert len(fleet.engines.orders) == 1
    await fleet.close()


async def test_weight_store_tells_its_backlog():
    """Guards the adapter against the platform's stand-in."""
    settings = messages.PlatformStandinSettings(weight_bytes_per_s=1000)
    platform = PlatformStandin(settings)
    await platform.start()
    async with aiohttp.ClientSession() as session:
        store = WeightStore(session, platform.url, Clock())
        assert await store.backlog_s("m", "", 5.0) < 5.0
        platform._bandwidth.reserve(platform.clock.monotonic(), 10**6)
        assert await store.backlog_s("m", "v1", 0.05) == math.inf
        await platform.stop()
        with pytest.raises(WeightStoreUnavailable):
            await store.backlog_s("m", "v1", 1.0)


def test_shares_of_models_follow_recent_requests():
    """Guards the attribution of load to models."""
    mix = DemandMix()
    assert mix.shares(["a", "b"]) == {"a": 0.0, "b": 0.0}
    for second in range(2000):
        mix.note("a" if second < 1800 else "b", float(second))
    shares = mix.shares(["a", "b"])
    assert shares["b"] > 0.95 and sum(shares.values()) == pytest.approx(1.0)


@pytest.mark.parametrize(
    ("fields", "path"),
    [
        ({"lease_ms": 20_000, "lease_margin_ms": 5000}, "placement.lease_ms"),
        ({"lease_margin_ms": -1}, "placement.lease_margin_ms"),
        ({"max_loads": 0}, "placement.max_loads"),
        ({"kv_tokens_per_s": 0.0}, "placement.kv_tokens_per_s"),
        ({"plan_s": 0.0}, "placement.plan_s"),
    ],
)
def test_settings_that_cannot_work_are_refused(fields, path):
    """Guards a lease that ends before its renewal, and idle loops."""
    settings = messages.HostSettings(
        host_id="h",
        failure_domain="a",
        platform_url="http://p",
        peer_secret="0123456789abcdef",
        placement=messages.PlacementSettings(**fields),
    )
    with pytest.raises(UserError, match=re.escape(f"f: $.{path}: must ")):
        check_host_settings(settings, "f")
