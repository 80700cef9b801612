"""
Processor time of a gateway's own work by the number of hosts and servers.

Prints microseconds for each kind of work at two sizes and the slope between
them, for docs/CAPACITY.md.
"""

import itertools
import random
import time

import attrs

from bench.rate_fleet import RateFleet
from galenascale.codec import decode, encode
from galenascale.gateway.balancing import Candidate, choose_candidate
from galenascale.gateway.configuration import Tenant, TenantTable
from galenascale.gateway.gossip import StatusRouter
from galenascale.gateway.jobs.quota_reconciler import QuotaReconciler
from galenascale.gateway.jobs.quota_state import OpenJob, QuotaState
from galenascale.gateway.jobs.state import JobState
from galenascale.gateway.load import FleetLoad, InFlightCounts, hash_key
from galenascale.gateway.peer_table import PeerTable
from galenascale.gateway.servers import ServerEntry, ServerList
from galenascale.gateway.slots.decisions import Grant, PoolServer
from galenascale.gateway.slots.messages import make_answer, make_ask, make_ended
from galenascale.gateway.slots.pool import SlotPool
from galenascale.gateway.slots.pool_map import Pool
from galenascale.gateway.slots.wait_queue import SlotRequest
from galenascale.generated.gateway_messages import (
    HostStatus,
    Job,
    JobItem,
    QuotaRecord,
    QuotaRecordKind,
    RateMessage,
    RateMessageKind,
    ServerInFlight,
    StatusBatch,
)
from galenascale.key_table import KeyTable, key_digest

SIZES = (50, 500)
SERVERS_IN_STATUS = 8
SLOTS = 8
ITEMS = 10
REPEATS = 30


@attrs.frozen
class Work:
    """One kind of work: a function of a size that returns what is timed."""

    name: str
    unit: str
    make: object


def make_status(number, servers):
    """Return the state of a host with some requests in flight."""
    keys = [hash_key(f"s{(number + step) % servers}") for step in range(8)]
    return HostStatus(
        host_id=f"h{number}",
        started_ms=1,
        sequence=number,
        failure_domain=f"d{number % 4}",
        address=f"10.0.{number // 250}.{number % 250}",
        in_flight=[ServerInFlight(key, 2, 1) for key in keys[:SERVERS_IN_STATUS]],
    )


def make_entry(number):
    """Return the entry of a server."""
    return ServerEntry(f"s{number}", "llm", f"10.1.0.1:{number}", "d1", 8, False, 1, 1)


def receive_statuses(size):
    """Return a function that applies the states of all hosts once."""
    data = [encode(StatusBatch([make_status(n, size)])) for n in range(size)]
    load = FleetLoad("own")
    table = PeerTable("10.9.9.9")
    round_number = 0

    def run():
        nonlocal round_number
        round_number += 1
        for item in data:
            for status in decode(StatusBatch, item).statuses:
                status.sequence += round_number * size
                table.update(status, 1.0)
                parts = {
                    part.server_key: InFlightCounts(part.online, part.batch)
                    for part in status.in_flight
                }
                load.set_peer_report(status.host_id, parts, 1.0)

    return run


def choose_server(size):
    """Return a function that chooses a server for one request."""
    servers = ServerList()
    load = FleetLoad("own")
    for number in range(size):
        servers.apply(f"s{number}", number, make_entry(number), 1.0)
        load.start(f"s{number}")
    rng = random.Random(1)

    def run():
        candidates = [
            Candidate(entry, load.total_at(entry.server_id).online)
            for entry in servers.usable("llm", 2.0)
        ]
        choose_candidate(candidates, rng)

    return run


def grant_slot(size):
    """Return a function that grants a slot of a nearly full pool once."""
    slots = SlotPool(random.Random(1))
    slots.set_servers([PoolServer(key, SLOTS) for key in range(1, size + 1)])
    for number in range(size * (SLOTS - 1)):
        slots.submit(SlotRequest("h0", number, start_by=9.0), 1.0)
    number = itertools.count(size * SLOTS)

    def run():
        request = SlotRequest("h1", next(number), start_by=9.0)
        slots.submit(request, 1.0)
        slots.end(request.run_id, 1.0)

    return run


def exchange_slot_messages(size):
    """Return a function that codes the messages of so many granted slots."""
    pool = Pool("llm", "d1")
    request = SlotRequest("", 1 << 56, start_by=2.0)
    messages = (
        make_ask(pool, request, 1.0),
        make_answer(pool, Grant(request, 77)),
        make_ended(pool, request.number, 77, 1),
    )

    def run():
        for _ in range(size):
            for message in messages:
                decode(StatusBatch, encode(StatusBatch(slots=[message])))

    return run


def route_statuses(size):
    """Return a function that decides where states are sent."""
    router = StatusRouter("h0", "d0")
    table = PeerTable("10.9.9.9")
    for number in range(1, size):
        table.update(make_status(number, size), 1.0)
    own = make_status(0, size)

    def run():
        router.take_messages(own, table.alive(1.0), table.addresses(1.0))

    return run


def fold_quota(size):
    """Return a function that reads the reservations and ends of jobs."""
    kinds = (QuotaRecordKind.RESERVE, QuotaRecordKind.RELEASE)
    data = [
        encode(QuotaRecord(kind=int(kind), job_id=f"j{n}", tokens=tokens, route="r"))
        for n in range(size)
        for kind, tokens in zip(kinds, (9000, 0), strict=True)
    ]

    def run():
        state = QuotaState("r")
        for record in data:
            state.apply(record)

    return run


def compare_quota(size):
    """Return a function that compares a quota with the open jobs once."""
    items = [JobItem(tokens=900) for _ in range(ITEMS)]
    jobs = {f"j{n}": JobState(f"j{n}", Job(items=items), "h", 1) for n in range(size)}
    open_jobs_by_id = {job_id: OpenJob(900 * ITEMS, 0) for job_id in jobs}
    reconciler = QuotaReconciler()

    def run():
        reconciler.corrections(open_jobs_by_id, jobs, lambda _: True, 1.0)

    return run


def decide_rate(size):
    """Return a function that decides a request of each of so many tenants."""
    names = [f"t{number}" for number in range(size)]
    tenants = [Tenant(name, requests_per_s=1e6, burst=1e6) for name in names]
    fleet = RateFleet(tenants, hosts=1)
    owner = fleet.hosts["a0"].owner
    numbers = itertools.count(1)

    def run():
        for name in names:
            message = RateMessage(
                kind=RateMessageKind.ASK, tenant=name, number=next(numbers)
            )
            batch = decode(StatusBatch, encode(StatusBatch(rates=[message])))
            owner.receive(batch.rates[0], "a9", 1.0)

    return run


def install_keys(size):
    """Return a function that installs two keys of each of so many tenants."""
    tenants_by_name = {
        f"t{number}": Tenant(
            f"t{number}", (key_digest(f"a{number}"), key_digest(f"b{number}"))
        )
        for number in range(size)
    }
    return lambda: TenantTable(tenants_by_name)


def find_keys(size):
    """Return a function that looks a key up, with so many tenants."""
    digests = {f"t{number}": (key_digest(f"a{number}"),) for number in range(size)}
    table = KeyTable(digests)
    return lambda: table.find(b"a1")


WORKS = (
    Work("decide a request of each tenant", "tenant", decide_rate),
    Work("install the keys of tenants", "tenant", install_keys),
    Work("look a key up", "tenant", find_keys),
    Work("receive one round of states", "host", receive_statuses),
    Work("choose a server", "server", choose_server),
    Work("grant a slot and take it back", "server of the pool", grant_slot),
    Work("code the messages of a slot", "slot", exchange_slot_messages),
    Work("decide where states go", "host", route_statuses),
    Work("fold a quota", "job", fold_quota),
    Work("compare a quota", "job", compare_quota),
)


def measure_us(run):
    """Return the microseconds of processor time of the fastest repeat."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time()
        run()
        times.append(time.process_time() - started)
    return min(times) * 1e6


def main():
    """Print one line for each kind of work."""
    for work in WORKS:
        first, second = (measure_us(work.make(size)) for size in SIZES)
        slope = (second - first) / (SIZES[1] - SIZES[0])
        print(
            f"{work.name}: {first:.0f} us at {SIZES[0]}, {second:.0f} us at "
            f"{SIZES[1]}, {slope:.2f} us a {work.unit}"
        )


if __name__ == "__main__":
    main()
