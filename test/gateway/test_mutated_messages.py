"""
Datagrams of hosts and records in the store that were changed at random.

Guards a host against one message that ends its reader, and against memory that
such messages make it hold.
"""

import asyncio
import random
import tracemalloc

import pytest

from galenascale.codec import decode, encode
from galenascale.errors import DecodeError
from galenascale.gateway.jobs.pieces import PieceRange, encode_pointer, find_pieces
from galenascale.gateway.jobs.records import encode_record
from galenascale.gateway.jobs.state import PartitionState
from galenascale.generated.gateway_messages import (
    BlockRecord,
    HostStatus,
    ItemOutcome,
    ItemProgress,
    ItemState,
    Job,
    JobClaim,
    JobItem,
    JobOutcomes,
    JobProgress,
    JobRecordKind,
    RelayedState,
    SlotMessage,
    SlotMessageKind,
    StatusBatch,
)
from test.gateway.fleet import gateway_fleet
from test.gateway.mutations import ROUNDS, mutate
from test.gateway.test_jobs import make_job

# Memory in bytes by which a host may grow.
MAX_GROWTH_BYTES = 8 << 20
CAPTURED = 40


async def capture_datagrams(fleet, host):
    """Return datagrams that a host receives while requests are served."""
    protocol = host.discovery.peer_protocol
    received = []
    handle = protocol.datagram_received

    def capture(data, address):
        received.append(data)
        handle(data, address)

    protocol.datagram_received = capture
    number = 0
    while len(received) < CAPTURED:
        path = ("/chat/a", "/plain/a", "/jobs/a")[number % 3]
        body = make_job(2) if path == "/jobs/a" else b""
        request_id = f"r{number}"
        sender = number % len(fleet.hosts) + 1
        await fleet.request(path, request_id=request_id, host=sender, data=body)
        number += 1
    del protocol.datagram_received
    return received


@pytest.mark.parametrize("seed", [1, 2])
async def test_changed_datagrams_end_no_host(seed):
    """Every one is applied or logged as broken, and requests are served."""
    rng = random.Random(seed)
    async with gateway_fleet(hosts=3) as fleet:
        host = fleet.hosts[0]
        samples = await capture_datagrams(fleet, host)
        protocol = host.discovery.peer_protocol
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        for number in range(ROUNDS):
            protocol.datagram_received(mutate(rng, samples), ("127.0.0.9", 1))
            if number % 100 == 0:
                await asyncio.sleep(0)
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert after - before < MAX_GROWTH_BYTES
        assert not any(task.done() for task in host.background.tasks)
        assert not protocol._transport.is_closing()
        reply = await fleet.request("/plain/a", request_id="after")
        assert reply.status == 200


# Guards the exchange with all hosts against one text that is no address.
@pytest.mark.parametrize("host", ["a.example", "h\u00f6st", "\x00", "::1%\u00e9"])
async def test_message_with_a_broken_address_is_dropped(host):
    """The socket of the exchange closed for good, or looked the name up."""
    async with gateway_fleet(hosts=2) as fleet:
        protocol = fleet.hosts[0].discovery.peer_protocol
        sent = []
        send = protocol._send

        def record(address, data):
            sent.append(address)
            send(address, data)

        protocol._send = record
        message = SlotMessage(kind=int(SlotMessageKind.ASK), host=host, run=1)
        status = HostStatus(host_id="x", address=host, sequence=1)
        data = encode(StatusBatch(statuses=[status], slots=[message]))
        protocol.datagram_received(data, ("127.0.0.2", 1))
        await asyncio.sleep(0.1)
        assert host not in sent
        now = protocol._clock.monotonic()
        assert host not in protocol.table.addresses(now)
        assert not protocol._transport.is_closing()


def job_records():
    """Return valid records about one job, each kind once."""
    items = [JobItem(item_id=f"i{n}", path="/jobs/a", tokens=9) for n in range(3)]
    outcome = ItemOutcome(index=1, state=int(ItemState.COMPLETED), text=b"text")
    progress = ItemProgress(index=2, last_event_id=4, text=b"part")
    bodies = {
        JobRecordKind.JOB: Job(items=items, runner="host-1", runner_started_ms=1),
        JobRecordKind.CLAIM: JobClaim(runner="host-2", runner_started_ms=2),
        JobRecordKind.OUTCOMES: JobOutcomes(outcomes=[outcome]),
        JobRecordKind.PROGRESS: JobProgress(items=[progress]),
        JobRecordKind.ENDED: None,
    }
    records = [encode_record(kind, "job-1", body) for kind, body in bodies.items()]
    return [
        *records,
        encode_pointer(JobRecordKind.JOB, "job-1", PieceRange(1, 2, 3)),
    ]


@pytest.mark.parametrize("seed", [1, 2])
def test_changed_job_records_are_applied_or_refused(seed):
    """The reader of a partition goes on after each, with a usable state."""
    rng = random.Random(seed)
    samples = job_records()
    for _ in range(ROUNDS // 10):
        state = PartitionState()
        state.apply(samples[0])
        for offset in range(10):
            record = mutate(rng, samples)
            try:
                find_pieces(record)
                state.apply(record, offset)
            except DecodeError:
                continue
        for job in state.jobs_by_id.values():
            check_state(job)
        state.drop_older(1 << 62)


def check_state(job):
    """Ask a JobState all that hosts ask; nothing may be out of range."""
    assert job.size() > 0
    assert job.open_count == len(job.open_indexes())
    job.open_tokens()
    assert {outcome.index for outcome in job.outcomes} <= set(range(job.total))
    assert job.progress_by_index.keys() <= set(range(job.total))
    for progress in job.progress_by_index.values():
        assert isinstance(progress.text, bytes)


@pytest.mark.parametrize("message_type", [BlockRecord, RelayedState])
def test_other_changed_messages_are_decoded_or_refused(message_type):
    """Only DecodeError is raised for what is no message."""
    rng = random.Random(1)
    samples = [encode(message_type()), b""]
    for _ in range(ROUNDS):
        try:
            decode(message_type, mutate(rng, samples))
        except DecodeError:
            continue
