"""Hosts that grant each other slots, over an in-memory bus with faults."""

import asyncio
import contextlib
import random

import attrs
import pytest

from galenascale.gateway.configuration import ConfigurationState
from galenascale.gateway.health import ServerHealth
from galenascale.gateway.load import FleetLoad, hash_key
from galenascale.gateway.metrics import GatewayMetrics
from galenascale.gateway.ownership import SUSPICION_S, OwnerCandidate, Ownership
from galenascale.gateway.server_limits import ServerLimits
from galenascale.gateway.servers import ServerEntry, ServerList
from galenascale.gateway.slots import acquisition, pool_map
from galenascale.gateway.slots.leases import SlotRefused
from galenascale.gateway.slots.pool_map import build_pools
from galenascale.gateway.slots.run_times import MIN_RUNS_FOR_FORECAST
from galenascale.gateway.slots.service import SlotService
from galenascale.generated.gateway_messages import (
    SlotMessage,
    SlotMessageKind,
    SlotOutcome,
)
from test.gateway.fleet import until

SLOTS = 4
# Longer than in the product, so that a busy test machine does not make owners
# time out.
ANSWER_TIMEOUT_S = 0.15


@pytest.fixture(autouse=True)
def long_answer_timeout(monkeypatch):
    """Raise the time that hosts wait for answers."""
    monkeypatch.setattr(acquisition, "ANSWER_TIMEOUT_S", ANSWER_TIMEOUT_S)


class Clock:
    """The clock of the event loop."""

    def monotonic(self):
        """Return seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds):
        """Sleep in the event loop."""
        await asyncio.sleep(seconds)


class Log:
    """Keeps the log lines of a host."""

    def __init__(self):
        self.lines = []

    def write(self, event, level="info", **fields):
        """Keep a log line."""
        self.lines.append((event, fields))


@attrs.define
class Settings:
    """The settings that slots read."""

    host_id: str
    failure_domain: str
    tenant_weights: dict = attrs.field(factory=dict)
    server_speeds: bool = True
    leave_domain: bool = True


@attrs.define(eq=False)
class Host:
    """The members of GatewayContext that slots use."""

    settings: Settings
    servers: ServerList
    health: ServerHealth
    load: FleetLoad
    clock: Clock
    log: Log
    rng: random.Random
    metrics: GatewayMetrics
    ownership: Ownership
    configuration: ConfigurationState = attrs.field(factory=ConfigurationState)
    limits: ServerLimits = attrs.field(factory=ServerLimits)
    slots: SlotService = None
    task: object = None

    @property
    def address(self):
        """Return the address, which equals the host id in these tests."""
        return self.settings.host_id


def set_owners(host, candidates):
    """Let a host know other hosts, and new owners of the slots it holds."""
    if host.ownership.set_hosts(candidates):
        host.slots.on_owners_changed()


class Bus:
    """Delivers messages between hosts after a millisecond, or loses them."""

    def __init__(self, domains=2, hosts=3, servers=1):
        self.rng = random.Random(3)
        self.unreachable = set()
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
        self.set_peers()

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
            Ownership(OwnerCandidate(host_id, domain, host_id)),
        )
        host.slots = SlotService(
            host, 1000, lambda to, message: self.send(host_id, to, message)
        )
        for number, entry in enumerate(self.entries):
            host.servers.apply(entry.server_id, number, entry, 0.0)
        self.hosts_by_address[host_id] = host

    def set_peers(self, *, silent_hosts=()):
        """Let all hosts know each other; `silent_hosts` are not heard."""
        hosts = self.hosts_by_address.values()
        for host in hosts:
            set_owners(
                host,
                [
                    OwnerCandidate(
                        other.address,
                        other.settings.failure_domain,
                        other.address,
                        is_responsive=other.address not in silent_hosts,
                    )
                    for other in hosts
                    if other is not host
                ],
            )

    def send(self, sender, to, message):
        """Deliver a message unless it is lost or a host is unreachable."""
        self.messages += 1
        if {sender, to} & self.unreachable or self.rng.random() < self.lost_share:
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

    def non_owner(self, domain):
        """Return a host of a domain that owns no pool."""
        return next(
            host
            for host in self.hosts_by_address.values()
            if host.settings.failure_domain == domain
            and host.address != self.owner(domain)
        )


@contextlib.asynccontextmanager
async def running(**fields):
    """Yield a Bus and run the periodic work of its hosts."""
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
    """Return a Lease for an online request of a host, or None."""
    now = host.clock.monotonic()
    fields = {"start_by": now + 1.0, **fields}
    return await host.slots.client.acquire("llm", now + wait_s, **fields)


async def test_hosts_of_a_domain_share_its_slots():
    """Guards against overfull servers in a burst that many hosts receive."""
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
    """Guards callers in a domain with more load than slots."""
    async with running() as bus:
        host = bus.non_owner("d0")
        leases = [await acquire(host) for _ in range(2 * SLOTS)]
        domains = [lease.pool.failure_domain for lease in leases]
        assert domains.count("d0") == domains.count("d1") == SLOTS


async def test_wait_ends_when_a_slot_is_free_elsewhere():
    """Guards against requests that queue while another domain has a slot."""
    async with running() as bus:
        host = bus.non_owner("d0")
        leases = [await acquire(host) for _ in range(2 * SLOTS)]
        waiting = asyncio.create_task(acquire(host, wait_s=2.0))
        await asyncio.sleep(0.05)
        remote = next(lease for lease in leases if lease.pool.failure_domain == "d1")
        host.slots.client.release(remote)
        assert (await waiting).server_key == remote.server_key


@pytest.mark.parametrize("failure", ["frozen", "gone"])
async def test_substitute_replaces_an_unreachable_owner(failure):
    """
    Guards requests against waiting for an owner that is unreachable.

    The substitute must learn of the held slots before it grants any.
    """
    async with running(domains=1) as bus:
        host = bus.non_owner("d0")
        held = await acquire(host)
        failed_owner = bus.owner("d0")
        bus.unreachable.add(failed_owner)
        if failure == "gone":
            bus.set_peers(silent_hosts=[failed_owner])
        started_at = host.clock.monotonic()
        # Without an answer the host chooses a server by itself.
        assert await acquire(host) is None
        waited_s = host.clock.monotonic() - started_at
        assert waited_s < 2 * acquisition.ANSWER_ATTEMPTS * ANSWER_TIMEOUT_S
        leases = [await acquire(host) for _ in range(SLOTS - 1)]
        assert None not in [held, *leases]
        assert await acquire(host, wait_s=0.1) is None


async def test_recovered_owner_is_used_again_soon():
    """
    Guards against a substitute that goes on after the owner has recovered.

    A host was killed and was back after 0.5 s. Several requests had failed to
    reach it at once, and its substitute granted the same slots beside it for
    ten seconds.
    """
    async with running(domains=1) as bus:
        host = bus.non_owner("d0")
        owner = bus.owner("d0")
        bus.unreachable.add(owner)
        assert await asyncio.gather(*(acquire(host) for _ in range(4))) == [None] * 4
        bus.unreachable.clear()
        await asyncio.sleep(SUSPICION_S)
        assert (await acquire(host)).owner == owner


async def test_owner_of_another_domain_is_replaced():
    """Guards held slots whose owner dies while no request is sent to it."""
    async with running() as bus:
        host = bus.non_owner("d0")
        leases = [await acquire(host) for _ in range(2 * SLOTS)]
        remote = [lease for lease in leases if lease.pool.failure_domain == "d1"]
        failed_owner = bus.owner("d1")
        bus.unreachable.add(failed_owner)
        bus.set_peers(silent_hosts=[failed_owner])
        await until(
            lambda: all(lease.owner not in (None, failed_owner) for lease in remote),
            3.0,
        )
        local_host = next(
            other
            for other in bus.hosts_by_address.values()
            if other.settings.failure_domain == "d1" and other.address != failed_owner
        )
        assert await acquire(local_host, wait_s=0.2) is None
        host.slots.client.release(remote[0])
        assert (await acquire(local_host)).server_key == remote[0].server_key


async def test_lost_messages_leak_no_slot():
    """Guards slots against lost requests, grants and ends."""
    async with running(domains=1, hosts=4, servers=2) as bus:
        bus.lost_share = 0.05
        hosts = list(bus.hosts_by_address.values())

        async def use_slot(number):
            lease = await acquire(hosts[number % 4], wait_s=4.0)
            if lease is not None:
                await asyncio.sleep(0.02)
                hosts[number % 4].slots.client.release(lease)
            return lease

        leases = await asyncio.gather(*map(use_slot, range(120)))
        assert sum(lease is not None for lease in leases) > 100
        bus.lost_share = 0.0
        await asyncio.sleep(3.0)
        leases_after_loss = await asyncio.gather(
            *(acquire(hosts[1]) for _ in range(2 * SLOTS))
        )
        assert None not in leases_after_loss


@pytest.mark.parametrize("wait_s", [0.0, 0.001, 0.002, 0.003, 0.004])
@pytest.mark.parametrize("ended_by", ["caller", "timeout"])
async def test_slot_granted_as_its_request_ends_is_released(ended_by, wait_s):
    """
    Guards against a leak if a caller leaves while the slot is granted.

    The host would renew such a slot until it restarts.
    """
    async with running(domains=1, servers=1) as bus:
        host = bus.non_owner("d0")
        slot_client = host.slots.client
        if ended_by == "caller":
            task = asyncio.create_task(acquire(host))
            await asyncio.sleep(0)
            loop = asyncio.get_running_loop()
            loop.call_later(wait_s, task.cancel)
            with contextlib.suppress(asyncio.CancelledError):
                slot_client.release(await task)
        else:
            held = [await acquire(host) for _ in range(SLOTS)]
            task = asyncio.create_task(acquire(host, wait_s=0.02))
            await asyncio.sleep(0.018 - 0.002 + wait_s)
            slot_client.release(held.pop())
            lease = await task
            for each in [*held, lease]:
                if each is not None:
                    slot_client.release(each)
        await asyncio.sleep(0.2)
        assert not slot_client._leases_by_number
        assert not slot_client._pending_by_number


async def test_grant_to_a_cancelled_request_is_released():
    """Guards against the same leak, with a fixed order of events."""
    async with running(domains=1, servers=1) as bus:
        host = bus.non_owner("d0")
        slot_client = host.slots.client
        task = asyncio.create_task(acquire(host))
        await asyncio.sleep(0)
        (pending,) = slot_client._pending_by_number.values()
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
        assert not slot_client._leases_by_number


async def test_slots_of_a_dead_host_are_freed():
    """Guards slots against hosts that die while they hold some."""
    async with running(domains=1, servers=1) as bus:
        host = bus.non_owner("d0")
        for _ in range(SLOTS):
            assert await acquire(host) is not None
        bus.unreachable.add(host.address)
        local_host = bus.hosts_by_address[bus.owner("d0")]
        assert await acquire(local_host, wait_s=4.0) is not None


async def test_item_is_preempted_for_a_request():
    """Guards requests of one host against the items of another."""
    async with running(domains=1, servers=1) as bus:
        host = bus.non_owner("d0")
        preempted = []
        leases = []

        def start(lease):
            leases.append(lease)
            lease.on_preempt = preempt

        def preempt(lease):
            preempted.append(lease)
            host.slots.client.release(lease, SlotOutcome.UNUSED)

        for _ in range(SLOTS):
            host.slots.client.submit("llm", start, batch=True, start_by=1e6)
        await until(lambda: len(leases) == SLOTS - 1)
        local_host = bus.hosts_by_address[bus.owner("d0")]
        assert await acquire(local_host) is not None
        assert preempted == []
        lease = await acquire(local_host)
        await until(lambda: preempted)
        assert preempted[0].server_key == lease.server_key
        # The reserve keeps the fourth item waiting.
        assert len(leases) == SLOTS - 1


async def test_owner_learns_of_failures_that_one_host_saw():
    """
    Guards callers against a server that fails some of its requests.

    Without the owner each host would have to see several failures itself.
    """
    async with running(domains=1, servers=2) as bus:
        host = bus.non_owner("d0")
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
    """Guards requests against a wait after which they would be late."""
    async with running(domains=1, hosts=2, servers=1) as bus:
        host = bus.non_owner("d0")
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
async def test_invalid_message_does_no_harm(kind):
    """Guards a host against broken messages and those of other versions."""
    async with running(domains=1, hosts=2, servers=1) as bus:
        host = bus.non_owner("d0")
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


async def test_request_to_a_wrong_owner_is_redirected():
    """
    Guards against two owners that grant the same slots at a time.

    After a restart of all hosts, which found each other in 0.2 s, items
    stayed with the first owner and requests went to the second. Three servers
    had twice as many runs as slots for ten seconds.
    """
    async with running(domains=1, hosts=4, servers=1) as bus:
        hosts = list(bus.hosts_by_address.values())
        owner = bus.owner("d0")
        misled = next(host for host in hosts if host.address != owner)
        other = next(
            host for host in hosts if host.address not in (owner, misled.address)
        )
        # This host knows only one other host, which is not the owner.
        set_owners(misled, [OwnerCandidate(other.address, "d0", other.address)])
        leases = [await acquire(misled) for _ in range(2)]
        local_host = bus.hosts_by_address[owner]
        leases += [await acquire(local_host) for _ in range(SLOTS - 2)]
        assert None not in leases
        assert await acquire(local_host, wait_s=0.1) is None
        assert await acquire(misled, wait_s=0.1) is None
        assert {lease.owner for lease in leases} <= {owner, misled.address}


async def test_pools_are_built_once_for_many_new_servers(monkeypatch):
    """
    Pattern: a host starts and reads the entries of thousands of servers.

    Built for each of them, the pools cost seconds of processor time.
    """
    built = []

    def count(entries):
        built.append(len(entries))
        return build_pools(entries)

    bus = Bus(domains=1, hosts=1, servers=1)
    (host,) = bus.hosts_by_address.values()
    monkeypatch.setattr(pool_map, "build_pools", count)
    records = [
        (f"n{number}", number + 9, ServerEntry(f"n{number}", "llm", "", "d0", 8, False))
        for number in range(200)
    ]
    host.servers.apply_snapshot(records, 300, 0.0)
    pools = host.slots._pool_map
    assert pools.pool_of_server(records[0][2]) is not None
    assert pools.pool_of_server(records[-1][2]) is not None
    assert len(built) == 1
