"""Time until a leaving server gets no new work, for each sign of it."""

import asyncio
import types

import aiohttp
import attrs
import pytest

from galenascale.embedded import EmbeddedDeployment
from galenascale.engine_answers import KvExport
from galenascale.errors import BackendError, Execution
from galenascale.generated.messages import MembershipSettings
from galenascale.host_methods import connect_gossip
from galenascale.load_poller import LoadPoller
from galenascale.requests import ServerReport
from galenascale.standins.engine_text import completion_text
from galenascale.stream_moves import MoveCosts
from test.fake_engine import TOKENS, Deployment, FakeEngine, failure, text
from test.fleet import GOSSIP_S, Fleet

GOAL_S = 3.0
# 9 hosts in 3 domains, as in the deployments of today.
HOSTS = {f"{domain}{i}": domain for domain in "def" for i in range(3)}
SERVERS = 60


class Reports:
    """Load reports with a lag; `leaving_at` is when s0 began to leave."""

    def __init__(self, clock, lag_s):
        self.clock, self.lag_s = clock, lag_s
        self.leaving_at = float("inf")

    async def load_report(self, server):
        await asyncio.sleep(0)
        at = self.clock.monotonic() - self.lag_s
        leaving = server.name == "s0" and at >= self.leaving_at
        return ServerReport(server.name, int(at * 1000), leaving=leaving)


class Host:
    """The online path of one host, with gossip over a simulated fleet."""

    def __init__(self, fleet, host_id, engine):
        self.deployment = Deployment(engine, servers=SERVERS, slots=2)
        self.online, self.clock = self.deployment.service, self.deployment.clock
        self.clock.now_s = fleet.now
        self.membership = fleet.membership(host_id)
        self.peering = types.SimpleNamespace(exchange=fleet.exchanges_by_id[host_id])
        self.config = types.SimpleNamespace(
            current=self.online.refresh_config(), age_s=lambda: None, notice=None
        )
        self.config.current = attrs.evolve(self.config.current, version=-1)
        self.online.dispatcher("svc")
        connect_gossip(self)

    def sends_to(self, server_id):
        return self.online.dispatcher("svc").router.accepts_work(server_id)


async def one_host(engine=None):
    fleet = Fleet({"d0": "d"})
    return Host(fleet, "d0", engine or FakeEngine())


async def seconds_until_spared(host):
    """Return the time until s0 gets nothing, in steps of the poll."""
    start = host.clock.now_s
    while host.sends_to("s0") and host.clock.now_s < start + 60:
        await host.clock.advance(0.05)
    return host.clock.now_s - start


@pytest.mark.parametrize("domain", ["d", "e"])
async def test_own_report(domain):
    """Guards the polling of servers of the own and of another domain."""
    host = await one_host()
    reports = Reports(host.clock, lag_s=0.5)
    settings = types.SimpleNamespace(
        failure_domain=domain, membership=MembershipSettings()
    )
    args = (host.config, host.online, reports, host.membership, host.clock, settings)
    task = asyncio.create_task(LoadPoller(*args).run())
    await host.clock.advance(2.0)
    assert host.sends_to("s0")
    reports.leaving_at = host.clock.now_s
    seconds = await seconds_until_spared(host)
    assert seconds <= (1.2 if domain == "d" else GOAL_S)
    assert host.membership.servers.is_leaving("s0")
    task.cancel()
    await host.online.close()


class LeavingEngine(FakeEngine):
    """Servers of which s0 answers 503 with X-Leaving."""

    async def stream(self, server, *args):
        if server.name == "s0":
            raise BackendError("leaving", code="leaving", execution=Execution.NOT_RUN)
        async for chunk in super().stream(server, *args):
            yield chunk


async def test_refusal_and_peers_word():
    """Guards the sign in an answer, and that all hosts hear of it in time."""
    fleet = Fleet(HOSTS)
    fleet.rounds(12)
    hosts = {name: Host(fleet, name, LeavingEngine()) for name in HOSTS}
    first = hosts["d0"]
    requests = [first.deployment.request(f"r{i}") for i in range(2 * SERVERS)]
    results = await first.deployment.run(*map(first.deployment.call, requests))
    assert all(error is None for _, error in results)
    assert not first.sends_to("s0")
    rounds = 0
    while any(host.sends_to("s0") for host in hosts.values()):
        fleet.rounds(1)
        rounds += 1
        assert rounds * GOSSIP_S <= GOAL_S
    assert all(host.sends_to("s1") for host in hosts.values())
    for host in hosts.values():
        await host.online.close()


async def test_removed_declaration():
    """Guards against new work for a server that is not declared any more."""
    host = await one_host()
    online = host.online
    config = online.refresh_config()
    servers = {k: v for k, v in config.servers_by_id.items() if k != "s0"}
    online._config_source = lambda: attrs.evolve(config, servers_by_id=servers)
    online.report(ServerReport("s1", host.clock.wall_ms()))
    assert not host.sends_to("s0") and host.sends_to("s1")
    await online.close()


class MovingEngine(FakeEngine):
    """Engines that hold each stream at a token and pass KV caches on."""

    def __init__(self, imports="ok"):
        super().__init__(hold_at=2)
        self.imports, self.moves = imports, []

    async def kv_export(self, server, attempt_id):
        assert self.running[attempt_id] == server.name
        return KvExport(f"kv-{attempt_id}", 9)

    async def kv_import(self, server, kv_id, source):
        self.moves.append((kv_id, source.name, server.name))
        if self.imports == "hang":
            await asyncio.Event().wait()
        if self.imports == "fail":
            raise failure("overloaded")


@pytest.mark.parametrize(
    ("prompt", "limit", "imports", "servers", "is_moved", "has_kv"),
    [
        ("short", None, "ok", 2, True, False),
        ("long " * 2000, None, "ok", 2, True, True),
        ("long " * 2000, None, "fail", 2, True, True),
        ("long " * 2000, None, "hang", 2, True, True),
        # The answer ends soon; nothing else has room.
        ("short", TOKENS, "ok", 2, False, False),
        ("short", None, "ok", 1, False, False),
    ],
)
async def test_streams_move_from_a_leaving_server(
    prompt, limit, imports, servers, is_moved, has_kv
):
    """Guards that a moved answer is whole, and when the cache goes with it."""
    engine = MovingEngine(imports)
    deployment = Deployment(engine, servers=servers, slots=1)
    body = {"max_tokens": limit} if limit else {}
    request = deployment.request("r", prompt=prompt, **body)
    call = asyncio.ensure_future(deployment.call(request))
    await deployment.clock.advance(0.5)
    (old,) = engine.running.values()
    deployment.service.leaving(old)
    await deployment.clock.advance(0.5)
    if imports != "hang":
        assert (set(engine.running.values()) != {old}) == is_moved
    await deployment.clock.advance(5.0 if imports == "hang" else 0.1)
    engine.go_on.set()
    ((chunks, error),) = await deployment.run(call)
    assert error is None
    assert [chunk.text for chunk in chunks] == [text(request, i) for i in range(TOKENS)]
    assert len(engine.starts) == 1 + is_moved
    assert len(engine.moves) == has_kv
    assert all(move[1:] == (old, f"s{1 - int(old[1])}") for move in engine.moves)
    await deployment.close()


def test_the_measured_rate_decides_on_transfers():
    """Guards the comparison of a transfer with a prefill."""
    costs = MoveCosts(1000.0, 10_000.0, 0.1)
    assert not costs.is_transfer_cheaper(100) and costs.is_transfer_cheaper(200)
    for _ in range(30):
        costs.note_transfer(1000, 10.1)
    assert not costs.is_transfer_cheaper(100_000)
    costs.note_transfer(10, 0.2)
    assert 100 < costs.kv_tokens_per_s < 200


async def test_a_stream_takes_its_cache_to_another_engine():
    """Guards the whole way of a move over HTTP, against the stand-ins."""
    async with EmbeddedDeployment.from_directory("examples/mutara") as embedded:
        summary, entry = embedded.summary(), embedded.summary().entry_hosts[0]
        mover = embedded.hosts_by_id[entry.id].online.mover
        mover.settings = attrs.evolve(mover.settings, finish_s=0.0)
        engines = [
            item for item in embedded.standins_by_id.values() if hasattr(item, "loaded")
        ]
        headers = {"Authorization": f"Bearer {summary.caller_key}"}
        body = {"model": "assist@v1:quotes", "prompt": "word " * 8000}
        async with aiohttp.ClientSession(headers=headers) as session:
            request = session.post(
                f"{entry.url}/v1/completions", json=body | {"max_tokens": 150}
            )
            answer = asyncio.ensure_future(request)
            running = []
            while not running or running[0].generated < 20:
                await embedded.clock.sleep(0.01)
                running = [item for e in engines for item in e.model.running]
            (old,) = (item for item in engines if item.model.running)
            prefilled = {id(item): item.model.prefilled_tokens for item in engines}
            old.draining = True
            async with await answer as response:
                choice = (await response.json())["choices"][0]
        assert choice["text"] == completion_text(running[0].digest, 0, 150)
        others = [item for item in engines if item is not old]
        more = [item.model.prefilled_tokens - prefilled[id(item)] for item in others]
        assert sorted(more) == [0] * len(more[:-1]) + [1]
        assert not any(item.resume_mismatches for item in engines)
