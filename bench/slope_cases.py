"""Sizes and costs of the parts of a host; each function measures one size.

Figures ending in `_us` or `_ms` are processor time, as a mean over repeats.
"""

import asyncio
import random
import types

from bench.config import traced_bytes
from bench.timing import mean_us, mean_us_async
from galenascale import codec, ledger
from galenascale.admission import Admission, Ticket
from galenascale.batch.grants import GrantService
from galenascale.batch.slots import BatchSlots
from galenascale.clock import Clock
from galenascale.configuration import Configuration
from galenascale.generated import messages
from galenascale.http_api.batches import count_items
from galenascale.key_table import key_digest
from galenascale.metrics import Metrics
from galenascale.requests import ServerReport
from galenascale.routing import Router, RouteRequest
from galenascale.shards import Shards, make_record
from galenascale.shards.follower import ShardFollower
from galenascale.shards.keeper import bodies_in_use, next_effect_ms
from galenascale.standins.log_store import LogStore
from galenascale.store import OffsetRange, ReadResult
from galenascale.tenants import Tenants

CHUNK_ITEMS = 32
# Bytes of one recorded answer: about 300 tokens.
ANSWER_BYTES = 1200
DAY_MS = 24 * 3600 * 1000


class MemoryLog:
    """A log client without a network."""

    def __init__(self):
        self.store = LogStore()
        self.appended_bytes = 0

    async def append(self, stream, body):
        """Append a body."""
        self.appended_bytes += len(body)
        return self.store.append(stream, body)

    async def read(self, stream, offset, limit=500):
        """Return records as LogClient.read does."""
        records = self.store.read(stream, offset, limit)
        return ReadResult(records, *self.store.bounds(stream))

    async def bounds(self, stream):
        """Return the bounds of a stream."""
        return OffsetRange(*self.store.bounds(stream))


def routing(servers):
    """Measure routing, reports and batch slots with servers of one domain."""
    declared = [
        messages.BackendServerDeclaration(
            name=f"runner-{number:05}", service_name="s", failure_domain="d", slots=8
        )
        for number in range(servers)
    ]
    ids = [server.name for server in declared]

    def make():
        router = Router("d", random.Random(1))
        router.set_servers(declared, 0.0)
        return router

    router, state_bytes = traced_bytes(make)
    rng = random.Random(2)
    # Two requests a server are in flight; times pass as at 100 requests/s.
    now = [0.0]
    running = []

    def request():
        now[0] += 0.01
        route = RouteRequest("m", "v", prefix_hash=rng.getrandbits(32))
        choice = router.choose(route, now[0])
        router.note_started(choice.server.name, now[0])
        running.append(choice.server.name)
        if len(running) > 2 * servers:
            server_id = running.pop(0)
            router.note_success(server_id, now[0])
            router.note_ended(server_id, now[0])

    mean_us(request, 2 * servers)
    request_us = mean_us(request, 2000)
    reports = [ServerReport(server_id, running=2, slots=8) for server_id in ids]
    loads = router.digest()
    digest_bytes = len(codec.encode(messages.GossipMessage(loads=loads)))
    slots = [BatchSlots() for _ in ids]
    return {
        "servers": servers,
        "request_us": request_us,
        "report_us": mean_us(
            lambda: [router.note_load_report(item, now[0], 0) for item in reports],
            5,
            servers,
        ),
        "peer_digest_us_per_server": mean_us(
            lambda: router.note_peer_loads("peer", loads, now[0]), 5, servers
        ),
        "own_digest_us": mean_us(router.digest, 20),
        "digest_bytes": digest_bytes,
        "batch_slot_us": mean_us(
            lambda: [slot.allowed(now[0], 8, 2, 1) for slot in slots], 20, servers
        ),
        "state_bytes": state_bytes,
    }


def tenants(count):
    """Measure admission, keys and metrics with waiting tenants."""
    names = [f"team-{number}" for number in range(count)]
    declared = {
        name: messages.TenantDeclaration(name=name, key_digests=[key_digest(name)])
        for name in names
    }
    keys = Tenants()
    configuration = Configuration(tenants_by_id=declared)
    install_us = mean_us(lambda: keys.install(configuration), 3)
    _, keys_bytes = traced_bytes(lambda: keys.install(configuration))
    admission = Admission(max_queue=2 * count)
    admission.configure(2 * count, declared)
    _, admission_bytes = traced_bytes(
        lambda: [admission.offer(Ticket(name, name, 1e9), 0.0) for name in names]
    )

    def pass_one():
        ticket, _ = admission.start_next(1.0, lambda ticket: True)
        admission.finish(ticket)
        admission.offer(Ticket(ticket.tenant, ticket.tenant, 1e9), 1.0)

    metrics = Metrics()
    gaps = [0] * 16 + [1]

    def record_all():
        for name in names:
            metrics.record("online", name, 0.1, 0.5, gaps, 0.02)

    _, metrics_bytes = traced_bytes(record_all)
    return {
        "tenants": count,
        "all_waiting_admit_us": mean_us(pass_one, 200),
        "admission_bytes": admission_bytes,
        "key_lookup_us": mean_us(lambda: keys.tenant_of("Bearer team-1"), 2000),
        "key_install_us": install_us,
        "keys_bytes": keys_bytes,
        "metrics_record_us": mean_us(record_all, 3, count),
        "metrics_bytes": metrics_bytes,
        "metrics_render_us": mean_us(metrics.render, 5),
        "metrics_render_bytes": len(metrics.render()),
    }


def make_job(name, items, now_ms=0):
    """Return a JobCreated with chunks of CHUNK_ITEMS."""
    refs = [
        messages.ChunkRef(
            messages.Position("data.0", number, 0),
            first,
            min(CHUNK_ITEMS, items - first),
            CHUNK_ITEMS * 400,
        )
        for number, first in enumerate(range(0, items, CHUNK_ITEMS))
    ]
    return messages.JobCreated(
        job_id=name,
        tenant="t",
        body_digest="b",
        service_name="s",
        model="m",
        endpoint="/v1/chat/completions",
        chunks=refs,
        item_count=items,
        created_ms=now_ms,
        due_ms=now_ms + DAY_MS,
        expires_ms=now_ms + 30 * DAY_MS,
    )


def _outcomes(job, chunk):
    ref = job.chunks[chunk]
    found = [
        messages.ItemOutcome(item, 1, 200, b"x" * ANSWER_BYTES, 1)
        for item in range(ref.first_item, ref.first_item + ref.item_count)
    ]
    return make_record(messages.Outcomes(job.job_id, chunk, -1, found, 1))


def one_job(items):
    """Measure the ledger with one job of so many items."""
    job = make_job("job", items)
    created = make_record(job)
    # Snapshots and state are measured when every item has its outcome.
    records = [_outcomes(job, chunk) for chunk in range(len(job.chunks))]
    state = ledger.ShardState()
    apply_created_us = mean_us(lambda: ledger.apply(state, "work.0", 0, 0, created), 1)
    offsets = iter(range(1, len(records) + 1))

    def apply_next():
        offset = next(offsets)
        ledger.apply(state, "work.0", offset, 0, records[offset - 1])
        state.through_offset = offset

    apply_us = mean_us(apply_next, len(records) - 1, CHUNK_ITEMS)
    grant_last_us = asyncio.run(_grant_us(state))
    apply_next()
    snapshot = ledger.to_snapshot(state)
    content = codec.encode(snapshot)
    restored, state_bytes = traced_bytes(
        lambda: ledger.from_snapshot(codec.decode(messages.ShardSnapshot, content))
    )
    entry = restored.jobs_by_id["job"]
    return {
        "items": items,
        "job_record_bytes": len(created.body),
        "apply_job_us": apply_created_us,
        "apply_outcome_us_per_item": apply_us,
        "grant_last_chunk_us": grant_last_us,
        "view_us": mean_us(lambda: count_items(entry), 20),
        "snapshot_write_ms": mean_us(
            lambda: codec.encode(ledger.to_snapshot(restored)), 3, 1000
        ),
        "snapshot_read_ms": mean_us(
            lambda: ledger.from_snapshot(codec.decode(messages.ShardSnapshot, content)),
            3,
            1000,
        ),
        "snapshot_bytes": len(content),
        "state_bytes": state_bytes,
        "keeper_scan_us": mean_us(lambda: sum(1 for _ in bodies_in_use(restored)), 3),
        **asyncio.run(_log_path(job)),
    }


async def _log_path(job, chunks=30):
    """Measure grants, group commit and reading with a log in memory."""
    log, settings = MemoryLog(), messages.HostSettings()
    settings.log.linger_s = settings.log.urgent_linger_s = 0.0
    shards = Shards(log, Clock(), settings.log, "host-1")
    try:
        await shards.submit(0, [make_record(job)], urgent=True)
        grants = GrantService(shards, Clock(), settings.batch)
        request = messages.WorkRequest(
            shard=0, service_name="s", host_id="host-1", max_items=CHUNK_ITEMS
        )
        loop_us = await mean_us_async(lambda: grants.grant(request), chunks)
        records = [_outcomes(job, chunk) for chunk in range(chunks)]
        iterator = iter(records)
        before = log.appended_bytes
        write_us = await mean_us_async(
            lambda: shards.submit(0, [next(iterator)], urgent=True), len(records)
        )
        items = chunks * CHUNK_ITEMS
        appended = log.appended_bytes - before
        follower = ShardFollower(log, 0, Clock())
        read_us = await mean_us_async(follower.refresh, 1)
        return {
            "grant_us": loop_us,
            "write_outcome_us_per_item": round(write_us / CHUNK_ITEMS, 3),
            "appended_bytes_per_item": round(appended / items, 1),
            "read_all_us_per_item": round(read_us / items, 3),
        }
    finally:
        await shards.close()


async def _grant_us(state):
    """Return the cost of a grant whose claims are not appended."""

    async def refresh(max_age_s=0.0):
        return state

    async def submit(shard, records, timeout_s):
        verdict = types.SimpleNamespace(valid=False, offset=0)
        return [verdict] * len(records)

    follower = types.SimpleNamespace(refresh=refresh)
    shards = types.SimpleNamespace(follower=lambda shard: follower, submit=submit)
    grants = GrantService(shards, Clock(), messages.BatchSettings())
    request = messages.WorkRequest(shard=0, service_name="s", max_items=CHUNK_ITEMS)
    return await mean_us_async(lambda: grants.grant(request), 10)


def many_jobs(count):
    """Measure what scans all jobs of a shard, with jobs of 64 items."""
    state = ledger.ShardState()
    for number in range(count):
        record = make_record(make_job(f"job-{number}", 64))
        ledger.apply(state, "work.0", number, 0, record)

    return {
        "jobs": count,
        "grant_us": asyncio.run(_grant_us(state)),
        "keeper_due_us": mean_us(lambda: next_effect_ms(state), 5),
        "keeper_scan_us": mean_us(lambda: sum(1 for _ in bodies_in_use(state)), 5),
        "snapshot_write_ms": mean_us(
            lambda: codec.encode(ledger.to_snapshot(state)), 3, 1000
        ),
        "snapshot_bytes": len(codec.encode(ledger.to_snapshot(state))),
    }
