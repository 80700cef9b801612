"""Two hosts that race for two servers, with pauses and a faulty log."""

import asyncio

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from galenascale import codec
from galenascale.clock import Clock, FakeClock
from galenascale.engine_answers import ServerState
from galenascale.errors import BackendError, GalenascaleError
from galenascale.generated import messages
from galenascale.generated.messages import BackendServerDeclaration, RecordKind
from galenascale.placement import Action, Leases, Order, VersionKey
from galenascale.placement.orders import OrderRun
from galenascale.requests import ServerReport
from galenascale.shards import Shards
from galenascale.shards.ids import FLEET_STREAM
from test.fakes import FakeLog, run_with_clock

LEASE_S, MARGIN_S = 20.0, 2.0
SETTINGS = messages.PlacementSettings(
    lease_ms=int(LEASE_S * 1000), lease_margin_ms=int(MARGIN_S * 1000), max_loads=1
)
LOG = messages.LogSettings(shards=1, linger_s=0.1, urgent_linger_s=0.0)
SERVERS = {
    name: BackendServerDeclaration(name=name, checks_fencing=checks)
    for name, checks in (("checks", True), ("ignores", False))
}
LOAD = Order(Action.LOAD_MODEL, VersionKey("m", "v"), size_bytes=1)
ROLE = Order(Action.SET_ROLE, name="decode")


class HostClock(Clock):
    """The shared time; a paused host notices nothing until it goes on."""

    def __init__(self, shared):
        self.shared = shared
        self.running = asyncio.Event()
        self.running.set()

    def monotonic(self):
        return self.shared.monotonic()

    def wall_ms(self):
        return self.shared.wall_ms()

    async def sleep(self, seconds):
        await self.shared.sleep(seconds)
        await self.running.wait()


class HostLog(FakeLog):
    """A host's log client; answers reach a paused host when it goes on."""

    def __init__(self, world, clock):
        super().__init__(world.store)
        self._world, self._clock = world, clock

    async def append(self, stream, body):
        await self._clock.running.wait()
        before = self.store.bounds(stream)[1]
        failure = offset = None
        try:
            offset = await super().append(stream, body)
        except GalenascaleError as error:
            failure = error
        for position in range(before, self.store.bounds(stream)[1]):
            self._world.appended_at[position] = self._clock.monotonic()
        # A pause that begins now comes between the claim and its answer.
        await self._clock.sleep(0.1)
        if failure is not None:
            raise failure
        return offset

    async def read(self, stream, offset, limit=500):
        result = await super().read(stream, offset, limit)
        await self._clock.running.wait()
        return result


class World:
    """The log, the servers and what reached them."""

    def __init__(self):
        self.clock = FakeClock()
        self.store = FakeLog().store
        self.appended_at = {}
        self.highest = dict.fromkeys(SERVERS, -1)
        # (server id, fencing number, host) in the order of sending.
        self.sent, self.effects = [], []
        self.loading = {}
        self.order_s = 0.0

    def claims(self):
        """Return (server id, holder) by claim offset, as written."""
        found = {}
        for offset, body in self.store.read(FLEET_STREAM, 0, 10**6, 10**9):
            for record in codec.decode(messages.LogBatch, body).records:
                if record.kind == RecordKind.SERVER_CLAIM:
                    claim = codec.decode(messages.ServerClaim, record.body)
                    found[offset, claim.server_id] = claim.holder
        return found


class Engine:
    """Servers as one host reaches them."""

    def __init__(self, world, host_id, clock):
        self.world, self.host_id, self.clock = world, host_id, clock

    async def state(self, server):
        await self.clock.sleep(0.05)
        return ServerState(ServerReport(server.name), 0)

    async def order(self, server, fencing, action, target, version, size_bytes):
        """Check the moment of sending; take effect later, if not stale."""
        world, now = self.world, self.clock.monotonic()
        numbers = [f for name, f, _ in world.sent if name == server.name]
        world.sent.append((server.name, fencing, self.host_id))
        assert world.claims()[fencing, server.name] == self.host_id
        assert now < world.appended_at[fencing] + LEASE_S
        # Each holder sends only before the next one's first order.
        assert fencing >= max(numbers, default=-1)
        if action == Action.LOAD_MODEL:
            world.loading[self.host_id, server.name] = now
        try:
            await world.clock.sleep(world.order_s)
            if server.checks_fencing and fencing < world.highest[server.name]:
                raise BackendError("stale", code="stale_fencing")
            world.highest[server.name] = max(world.highest[server.name], fencing)
            world.effects.append((server.name, fencing))
        finally:
            world.loading.pop((self.host_id, server.name), None)
        await self.clock.running.wait()


class NoBacklog:
    async def backlog_s(self, model, version, limit_s):
        return 0.0


class Host:
    """One host with its own view of the log."""

    def __init__(self, world, host_id):
        self.clock = HostClock(world.clock)
        self.log = HostLog(world, self.clock)
        self.shards = Shards(self.log, self.clock, LOG, host_id)
        self.leases = Leases(self.shards, self.clock, SETTINGS, host_id, "i")
        self.engine = Engine(world, host_id, self.clock)
        self.tasks_by_server = {}
        self.failures = []

    def start(self, server, orders):
        """Start to give orders to a server, unless the host does already."""
        task = self.tasks_by_server.get(server.name)
        if task is not None and not task.done():
            return
        left = list(orders)
        run = OrderRun(
            server,
            lambda now, facts: left.pop(0) if left else None,
            self.leases,
            self.engine,
            NoBacklog(),
            self.clock,
            SETTINGS,
        )
        self.tasks_by_server[server.name] = asyncio.ensure_future(self._run(run))

    async def _run(self, run):
        try:
            return await run.run()
        except GalenascaleError:
            return False
        except AssertionError as error:
            self.failures.append(error)


HOSTS = st.sampled_from([0, 1])


class LeaseMachine(RuleBasedStateMachine):
    """Checks what reaches the servers while holders pause and race."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.run_loop(self.set_up())

    def run_loop(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def set_up(self):
        self.world = World()
        self.hosts = [Host(self.world, name) for name in ("h0", "h1")]

    @rule(
        first=HOSTS,
        name=st.sampled_from(sorted(SERVERS)),
        orders=st.lists(st.sampled_from([LOAD, ROLE]), min_size=2, max_size=5),
        order_s=st.sampled_from([0.0, 0.4, 8.0, 30.0]),
        seconds=st.sampled_from([0.0, 0.16, 0.3, 1.0]),
    )
    def contend(self, first, name, orders, order_s, seconds):
        """Both hosts want to order; `order_s` is how long orders take."""

        async def act():
            self.world.order_s = order_s
            self.hosts[first].start(SERVERS[name], orders)
            await self.world.clock.advance(seconds)
            self.hosts[1 - first].start(SERVERS[name], orders)

        self.run_loop(act())

    @rule(
        host=HOSTS,
        name=st.sampled_from(sorted(SERVERS)),
        seconds=st.sampled_from([3.0, 17.5, 19.9, 21.0, 25.0, 45.0]),
    )
    def pause(self, host, name, seconds):
        """Stop a host for a time, in which the other one wants to order."""

        async def act():
            running = self.hosts[host].clock.running
            running.clear()
            await self.world.clock.advance(seconds / 2)
            self.hosts[1 - host].start(SERVERS[name], [LOAD, ROLE])
            await self.world.clock.advance(seconds / 2)
            running.set()
            await self.world.clock.advance(0.0)

        self.run_loop(act())

    @rule(seconds=st.sampled_from([0.05, 0.5, 3.0, 11.0, 23.0]))
    def wait(self, seconds):
        self.run_loop(self.world.clock.advance(seconds))

    @rule(
        host=HOSTS,
        faults=st.lists(
            st.sampled_from(["down", "lost_answer", "duplicate", "late"]), max_size=3
        ),
    )
    def break_log(self, host, faults):
        self.hosts[host].log.append_faults = faults

    @rule(host=HOSTS)
    def deliver_late(self, host):
        log = self.hosts[host].log
        before = log.store.bounds(FLEET_STREAM)[1]
        log.deliver_late()
        for offset in range(before, log.store.bounds(FLEET_STREAM)[1]):
            self.world.appended_at[offset] = self.world.clock.monotonic()

    @invariant()
    def orders_follow_the_leases(self):
        for host in self.hosts:
            assert not host.failures, host.failures[0]
        seen = {}
        for name, fencing in self.world.effects:
            if SERVERS[name].checks_fencing:
                assert fencing >= seen.get(name, -1)
                seen[name] = fencing

    def teardown(self):
        async def end():
            for host in self.hosts:
                host.clock.running.set()
                host.log.append_faults = []
            # Whatever happened, orders are possible again after a lease.
            await self.world.clock.advance(200.0)
            before = len(self.world.effects)
            self.world.order_s = 0.0
            # The first try may be the first sight of another host's claim.
            for _ in range(3):
                self.hosts[0].start(SERVERS["checks"], [LOAD])
                await self.world.clock.advance(30.0)
            assert len(self.world.effects) > before
            for host in self.hosts:
                for task in host.tasks_by_server.values():
                    task.cancel()
                await host.shards.close()

        self.run_loop(end())
        self.orders_follow_the_leases()
        self.loop.close()


LeaseMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=25)
TestLeases = LeaseMachine.TestCase


@pytest.fixture
async def world():
    yield World()


async def ask(world, coroutine):
    return await run_with_clock(world.clock, coroutine)


async def make_lease(world, host, name):
    return await ask(world, host.leases.acquire(name))


async def test_loads_of_all_hosts_share_one_budget(world):
    """Guards the limit of loads over the fleet, and the order of the queue."""
    hosts = [Host(world, name) for name in ("h0", "h1")]
    first = await make_lease(world, hosts[0], "a")
    second = await make_lease(world, hosts[1], "b")
    assert await ask(world, hosts[0].leases.may_load(first))
    assert not await ask(world, hosts[1].leases.may_load(second))
    # The queue is limited, and a renewal does not lose the place in it.
    assert await make_lease(world, hosts[1], "c") is None
    await world.clock.advance(LEASE_S / 2)
    offset = first.offset
    await ask(world, hosts[0].leases.renew_if_due(first))
    assert first.offset > offset and first.first_offset == offset
    await ask(world, hosts[1].leases.renew_if_due(second))
    assert not await ask(world, hosts[1].leases.may_load(second))
    await ask(world, hosts[0].leases.release(first))
    await world.clock.advance(2.0)
    assert await ask(world, hosts[1].leases.may_load(second))
    for host in hosts:
        await host.shards.close()


async def test_a_dead_holders_lease_lapses_with_the_margin(world):
    """Guards the wait of a successor, and the slot that a dead host held."""
    dead, alive = Host(world, "h0"), Host(world, "h1")
    await make_lease(world, dead, "a")
    dead.clock.running.clear()
    own = await make_lease(world, alive, "b")
    assert await make_lease(world, alive, "a") is None
    await world.clock.advance(LEASE_S - 2.0)
    assert await make_lease(world, alive, "a") is None
    assert not await ask(world, alive.leases.may_load(own))
    await world.clock.advance(2 * MARGIN_S)
    assert await ask(world, alive.leases.may_load(own))
    assert await make_lease(world, alive, "a") is not None
    dead.clock.running.set()
    for host in (dead, alive):
        await host.shards.close()
