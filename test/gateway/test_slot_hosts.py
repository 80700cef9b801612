"""Hosts that ask each other for slots, on a bus in memory with faults."""

import asyncio
import contextlib
import random

import attrs
import pytest

from galenascale.gateway.health import ServerHealth
from galenascale.gateway.load import FleetLoad, hash_key
from galenascale.gateway.metrics import GatewayMetrics
from galenascale.gateway.peer_table import Peer
from galenascale.gateway.servers import ServerEntry, ServerList
from galenascale.gateway.slots import client
from galenascale.gateway.slots.leases import SlotRefused
from galenascale.gateway.slots.pool import MIN_RUNS_FOR_FORECAST
from galenascale.gateway.slots.pool_map import SUSPICION_S
from galenascale.gateway.slots.service import SlotService
from galenascale.generated.gateway_messages import (
    SlotMessage,
    SlotMessageKind,
    SlotOutcome,
)
from test.gateway.fleet import until

SLOTS = 4
# Longer than in the product: a busy machine must not make owners look silent.
ANSWER_TIMEOUT_S = 0.15


@pytest.fixture(autouse=True)
def patient_clients(monkeypatch):
    """Let hosts wait longer for answers."""
    monkeypatch.setattr(client, "ANSWER_TIMEOUT_S", ANSWER_TIMEOUT_S)


class Clock:
    """Time of the event loop."""

    def monotonic(self):
        """Return seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds):
        """Wait."""
        await asyncio.sleep(seconds)


class Log:
    """Keeps the lines of all hosts."""

    def __init__(self):
        self.lines = []

    def write(self, event, level="info", **fields):
        """Keep a line."""
        self.lines.append((event, fields))


@attrs.define
class Settings:
    """The part of the settings that slots read."""

    host_id: str
    failure_domain: str


@attrs.define(eq=False)
class Host:
    """One host's parts that slots use."""

    settings: Settings
    servers: ServerList
    health: ServerHealth
    load: FleetLoad
    clock: Clock
    log: Log
    rng: random.Random
    metrics: GatewayMetrics
    slots: SlotService = None
    task: object = None

    @property
    def address(self):
        """Return the address, which is the id here."""
        return self.settings.host_id


class Bus:
    """Delivers messages between hosts a millisecond later."""

    def __init__(self, domains=2, hosts=3, servers=1):
        self.rng = random.Random(3)
        self.lost = set()
        self.lost_share = 0.0
        self.messages = 0
        self.hosts_by_address = {}
        self.entries = [
            ServerEntry(f"s{domain}-{number}", "llm", "", f"d{domain}", SLOTS, False)
            for domain in range(domains)
            for number in range(servers)
        ]
        for domain in range(domains):
            for number in range(hosts):
                self.add(f"h{domain}-{number}", f"d{domain}")
        self.see_all()

    def add(self, host_id, domain):
        """Add a host."""
        host = Host(
            Settings(host_id, domain),
            ServerList(),
            ServerHealth(),
            FleetLoad(host_id),
            Clock(),
            Log(),
            random.Random(host_id),
            GatewayMetrics(),
        )
        host.slots = SlotService(
            host, host_id, 1000, lambda to, message: self.send(host_id, to, message)
        )
        for number, entry in enumerate(self.entries):
            host.servers.apply(entry.server_id, number, entry, 0.0)
        self.hosts_by_address[host_id] = host

    def see_all(self, *, without=()):
        """Let all hosts know each other; some are heard no more."""
        hosts = self.hosts_by_address.values()
        for host in hosts:
            peers = [
                Peer(
                    other.address,
                    0.0,
                    host_id=other.address,
                    failure_domain=other.settings.failure_domain,
                )
                for other in hosts
                if other is not host
            ]
            host.slots.set_hosts(peers, self.hosts_by_address.keys() - set(without))

    def send(self, sender, to, message):
        """Deliver a message unless one of its ends is away."""
        self.messages += 1
        if {sender, to} & self.lost or self.rng.random() < self.lost_share:
            return
        host = self.hosts_by_address.get(to)
        if host is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(0.001, host.slots.receive, [message], sender)

    def owner(self, domain):
        """Return the address of the host that owns a domain's pool."""
        host = next(iter(self.hosts_by_address.values()))
        slots = host.slots._pool_map
        (pool,) = [
            pool
            for pool in slots._pools_by_key.values()
            if pool.failure_domain == domain
        ]
        return slots.owner(pool, host.clock.monotonic())

    def other(self, domain):
        """Return a host of a domain that owns no pool."""
        return next(
            host
            for host in self.hosts_by_address.values()
            if host.settings.failure_domain == domain
            and host.address != self.owner(domain)
        )


@contextlib.asynccontextmanager
async def running(**fields):
    """Yield a Bus whose hosts do what is due."""
    bus = Bus(**fields)
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(host.slots.run())
            for host in bus.hosts_by_address.values()
        ]
        try:
            yield bus
        finally:
            for task in tasks:
                task.cancel()


async def acquire(host, *, wait_s=0.5, **fields):
    """Return a lease for a request of a host, or None."""
    now = host.clock.monotonic()
    fields = {"start_by": now + 1.0, **fields}
    return await host.slots.client.acquire("llm", now + wait_s, **fields)


async def test_requests_of_a_domain_meet_on_no_server():
    """Guards a burst at many hosts, which know only of their own requests."""
    async with running(domains=1, hosts=5, servers=3) as bus:
        hosts = list(bus.hosts_by_address.values())
        leases = await asyncio.gather(
            *(acquire(hosts[number % 5]) for number in range(3 * SLOTS))
        )
        keys = [lease.server_key for lease in leases]
        assert all(keys.count(key) == SLOTS for key in set(keys))
        assert await acquire(hosts[0], wait_s=0.05) is None
        hosts[0].slots.client.release(leases[0])
        lease = await acquire(hosts[1])
        assert lease.server_key == leases[0].server_key


async def test_full_domain_uses_the_slots_of_another():
    """Guards callers of a domain with more load than servers."""
    async with running() as bus:
        host = bus.other("d0")
        leases = [await acquire(host) for _ in range(2 * SLOTS)]
        domains = [lease.pool.failure_domain for lease in leases]
        assert domains.count("d0") == domains.count("d1") == SLOTS


async def test_wait_ends_when_a_slot_is_free_elsewhere():
    """Guards requests that queue beside a free slot of another domain."""
    async with running() as bus:
        host = bus.other("d0")
        leases = [await acquire(host) for _ in range(2 * SLOTS)]
        waiting = asyncio.create_task(acquire(host, wait_s=2.0))
        await asyncio.sleep(0.05)
        foreign = next(lease for lease in leases if lease.pool.failure_domain == "d1")
        host.slots.client.release(foreign)
        assert (await waiting).server_key == foreign.server_key


@pytest.mark.parametrize("gone", ["frozen", "gone"])
async def test_next_host_stands_in_for_an_owner(gone):
    """
    Guards requests against waiting for an owner that is away.

    The stand-in must learn what runs before it grants the same slots again.
    """
    async with running(domains=1) as bus:
        host = bus.other("d0")
        held = await acquire(host)
        away = bus.owner("d0")
        bus.lost.add(away)
        if gone == "gone":
            bus.see_all(without=[away])
        began_at = host.clock.monotonic()
        # The request goes on by the choice of its host.
        assert await acquire(host) is None
        waited_s = host.clock.monotonic() - began_at
        assert waited_s < 2 * client.ANSWER_ATTEMPTS * ANSWER_TIMEOUT_S
        leases = [await acquire(host) for _ in range(SLOTS - 1)]
        assert None not in [held, *leases]
        assert await acquire(host, wait_s=0.1) is None


async def test_owner_that_answers_again_is_asked_again_soon():
    """
    Guards slots against a stand-in beside an owner that is back.

    The load: a host was killed and back after 0.5 s; some requests had failed
    to reach it at the same moment, and its stand-in granted the same slots
    beside it for ten seconds.
    """
    async with running(domains=1) as bus:
        host = bus.other("d0")
        owner = bus.owner("d0")
        bus.lost.add(owner)
        assert await asyncio.gather(*(acquire(host) for _ in range(4))) == [None] * 4
        bus.lost.clear()
        await asyncio.sleep(SUSPICION_S)
        assert (await acquire(host)).owner == owner


async def test_owner_of_another_domain_is_replaced():
    """Guards held slots of a foreign pool when its owner dies unasked."""
    async with running() as bus:
        host = bus.other("d0")
        leases = [await acquire(host) for _ in range(2 * SLOTS)]
        foreign = [lease for lease in leases if lease.pool.failure_domain == "d1"]
        away = bus.owner("d1")
        bus.lost.add(away)
        bus.see_all(without=[away])
        await until(
            lambda: all(lease.owner not in (None, away) for lease in foreign), 3.0
        )
        near = next(
            other
            for other in bus.hosts_by_address.values()
            if other.settings.failure_domain == "d1" and other.address != away
        )
        assert await acquire(near, wait_s=0.2) is None
        host.slots.client.release(foreign[0])
        assert (await acquire(near)).server_key == foreign[0].server_key


async def test_lost_messages_leak_no_slot():
    """Guards slots against lost asks, grants and ends."""
    async with running(domains=1, hosts=4, servers=2) as bus:
        bus.lost_share = 0.05
        hosts = list(bus.hosts_by_address.values())

        async def use(number):
            lease = await acquire(hosts[number % 4], wait_s=4.0)
            if lease is not None:
                await asyncio.sleep(0.02)
                hosts[number % 4].slots.client.release(lease)
            return lease

        leases = await asyncio.gather(*map(use, range(120)))
        assert sum(lease is not None for lease in leases) > 100
        bus.lost_share = 0.0
        await asyncio.sleep(3.0)
        again = await asyncio.gather(*(acquire(hosts[1]) for _ in range(2 * SLOTS)))
        assert None not in again


@pytest.mark.parametrize("wait_s", [0.0, 0.001, 0.002, 0.003, 0.004])
@pytest.mark.parametrize("ended_by", ["caller", "timeout"])
async def test_slot_that_is_granted_as_its_request_ends_is_given_back(ended_by, wait_s):
    """
    Guards slots against callers who leave in the moment of the grant.

    Such a slot would be named as held until its host restarts.
    """
    async with running(domains=1, servers=1) as bus:
        host = bus.other("d0")
        own = host.slots.client
        if ended_by == "caller":
            task = asyncio.create_task(acquire(host))
            await asyncio.sleep(0)
            loop = asyncio.get_running_loop()
            loop.call_later(wait_s, task.cancel)
            with contextlib.suppress(asyncio.CancelledError):
                own.release(await task)
        else:
            held = [await acquire(host) for _ in range(SLOTS)]
            task = asyncio.create_task(acquire(host, wait_s=0.02))
            await asyncio.sleep(0.018 - 0.002 + wait_s)
            own.release(held.pop())
            lease = await task
            for each in [*held, lease]:
                if each is not None:
                    own.release(each)
        await asyncio.sleep(0.2)
        assert not own._leases_by_number
        assert not own._pending_by_number


async def test_grant_beside_the_end_of_its_request_is_given_back():
    """Guards against the same without the luck of the moment."""
    async with running(domains=1, servers=1) as bus:
        host = bus.other("d0")
        own = host.slots.client
        task = asyncio.create_task(acquire(host))
        await asyncio.sleep(0)
        (pending,) = own._pending_by_number.values()
        task.cancel()
        # The cancelled task has not run yet.
        grant = SlotMessage(
            kind=SlotMessageKind.GRANT,
            pool=pending.pool.key,
            run=pending.request.number,
            server=hash_key("s0-0"),
        )
        host.slots.receive([grant], pending.owner)
        with contextlib.suppress(asyncio.CancelledError):
            await task
        assert not own._leases_by_number


async def test_host_that_is_gone_gives_its_slots_back():
    """Guards slots against hosts that die with requests on them."""
    async with running(domains=1, servers=1) as bus:
        host = bus.other("d0")
        for _ in range(SLOTS):
            assert await acquire(host) is not None
        bus.lost.add(host.address)
        near = bus.hosts_by_address[bus.owner("d0")]
        assert await acquire(near, wait_s=4.0) is not None


async def test_item_makes_room_for_a_request():
    """Guards requests of any host against items of any other."""
    async with running(domains=1, servers=1) as bus:
        host = bus.other("d0")
        interrupted = []
        leases = []

        def begin(lease):
            leases.append(lease)
            lease.on_preempt = make_room

        def make_room(lease):
            interrupted.append(lease)
            host.slots.client.release(lease, SlotOutcome.UNUSED)

        for _ in range(SLOTS):
            host.slots.client.submit("llm", begin, batch=True, start_by=1e6)
        await until(lambda: len(leases) == SLOTS - 1)
        near = bus.hosts_by_address[bus.owner("d0")]
        assert await acquire(near) is not None
        assert interrupted == []
        lease = await acquire(near)
        await until(lambda: interrupted)
        assert interrupted[0].server_key == lease.server_key
        # The reserve keeps the fourth item waiting.
        assert len(leases) == SLOTS - 1


async def test_failures_that_one_host_saw_are_known_to_the_owner():
    """
    Guards callers against a server that fails a part of its requests.

    Each host alone would need some failures of its own to see it.
    """
    async with running(domains=1, servers=2) as bus:
        host = bus.other("d0")
        bad = hash_key("s0-0")
        for _ in range(12):
            lease = await acquire(host)
            outcome = SlotOutcome.SERVED
            if lease.server_key == bad:
                outcome = SlotOutcome.FAILED
            host.slots.client.release(lease, outcome)
            await asyncio.sleep(0.005)
        owner = bus.hosts_by_address[bus.owner("d0")]
        incarnation = bus.entries[0].incarnation
        assert owner.health.quality(incarnation, owner.clock.monotonic()) < 1.0


async def test_refusal_reaches_the_request():
    """Guards requests that would be late against waiting in vain."""
    async with running(domains=1, hosts=2, servers=1) as bus:
        host = bus.other("d0")
        for _ in range(MIN_RUNS_FOR_FORECAST):
            lease = await acquire(host)
            await asyncio.sleep(0.02)
            host.slots.client.release(lease)
        for _ in range(SLOTS):
            await acquire(host)
        now = host.clock.monotonic()
        with pytest.raises(SlotRefused):
            await acquire(host, start_by=now - 1.0, refusable=True)
        # One that may not be refused waits.
        assert await acquire(host, wait_s=0.05, start_by=now - 1.0) is None


@pytest.mark.parametrize("kind", [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 77])
async def test_message_without_sense_does_no_harm(kind):
    """Guards a host against messages of other versions and broken ones."""
    async with running(domains=1, hosts=2, servers=1) as bus:
        host = bus.other("d0")
        pool = next(iter(host.slots._pool_map._pools_by_key))
        for message in (
            SlotMessage(kind=kind),
            SlotMessage(kind=kind, pool=pool, server=5, run=9, wait_ms=-(1 << 31)),
            SlotMessage(kind=kind, pool=pool, from_pool=1, free=9, outcome=99),
        ):
            for other in bus.hosts_by_address.values():
                other.slots.receive([message], "nowhere")
        await asyncio.sleep(0.1)
        assert await acquire(host) is not None


async def test_hosts_that_see_another_owner_are_led_to_the_right_one():
    """
    Guards slots against two owners that grant them side by side.

    The load: all hosts started anew and found each other within 0.2 s; items
    stayed with the first owner and requests went to the second, so that three
    servers had twice the runs that they have slots for ten seconds.
    """
    async with running(domains=1, hosts=4, servers=1) as bus:
        hosts = list(bus.hosts_by_address.values())
        right = bus.owner("d0")
        astray = next(host for host in hosts if host.address != right)
        wrong = next(
            host for host in hosts if host.address not in (right, astray.address)
        )
        # This host knows of one other only, which is not the owner.
        peers = [Peer(wrong.address, 0.0, host_id=wrong.address, failure_domain="d0")]
        astray.slots.set_hosts(peers, {wrong.address})
        leases = [await acquire(astray) for _ in range(2)]
        near = bus.hosts_by_address[right]
        leases += [await acquire(near) for _ in range(SLOTS - 2)]
        assert None not in leases
        assert await acquire(near, wait_s=0.1) is None
        assert await acquire(astray, wait_s=0.1) is None
        assert {lease.owner for lease in leases} <= {right, astray.address}
