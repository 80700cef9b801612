"""
Faults reported by operators of similar systems, tested on complete hosts.

docs/testing.md lists the faults with all their tests.
"""

import asyncio
import contextlib
import socket
from unittest.mock import Mock

import attrs
import pytest

from galenascale.gateway import peer_table
from galenascale.gateway.sockets import split_address
from galenascale.standins.runner import RunnerStandin
from test.gateway.fleet import gateway_fleet, make_headers, until
from test.gateway.test_jobs import output_of, read_results, submit, wait_for_results

DUPLICATE_RESPONSE = (
    b"HTTP/1.1 200 OK\r\n%b"
    b"X-Galenascale-Response-Signature: old\r\nContent-Length: 3\r\n\r\nold"
)


class DuplicateResponseRunner(RunnerStandin):
    """Sends a duplicate response in place of the next response."""

    copy = b""

    async def _run(self, request, behaviour, reader, writer):
        if len(self.requests) > 1:
            writer.write(self.copy)
            await asyncio.sleep(0.02)
        return await super()._run(request, behaviour, reader, writer)


@pytest.mark.parametrize("path", ["/plain/a", "/once/a", "/chat/a"])
@pytest.mark.parametrize(
    "name", [b"X-Galenascale-Attempt-Id: r0\r\n", b""], ids=["id", "no id"]
)
async def test_late_second_answer_reaches_no_other_caller(path, name):
    """Guards callers against a response to the previous caller."""
    service = "llm" if path == "/chat/a" else "app"
    async with gateway_fleet(runners=0) as fleet:
        runner = DuplicateResponseRunner("late", service)
        runner.copy = DUPLICATE_RESPONSE % name
        runner.behaviour.echo_request_id = True
        await runner.start()
        fleet.runners.append(runner)
        fleet.register(runner)
        await until(lambda: fleet.hosts[0].context.servers.usable(service, 0.0))
        for number in range(6):
            reply = await fleet.request(path, request_id=f"r{number}", data=b"x")
            assert b"old" not in reply.body
            if reply.status == 200 and reply.complete:
                assert b"r%d" % number in reply.body
                assert reply.headers["X-Galenascale-Response-Signature"] == "signed"
        # The duplicates arrived on reused connections.
        assert runner.connections < len(runner.requests)


async def test_planned_stop_under_load_answers_all_that_was_accepted():
    """Guards requests that arrive while a host stops."""
    async with gateway_fleet(hosts=1) as fleet:
        for runner in fleet.runners:
            runner.behaviour.processing_time_s = 0.05
            runner.behaviour.event_interval_s = 0.03
        host = fleet.hosts[0]
        address, port = split_address(fleet.settings(1).caller_listen)
        cut = []
        answered = []

        async def call(number):
            path = ("/plain/a", "/chat/a", "/once/a")[number % 3]
            try:
                reader, writer = await asyncio.open_connection(address, port)
            except OSError:
                return False
            headers = make_headers(f"r{number}", path) | {"Connection": "close"}
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            writer.write(f"GET {path} HTTP/1.1\r\n{lines}\r\n".encode())
            with contextlib.suppress(ConnectionError):
                answer = await reader.read()
                if answer:
                    answered.append(number)
                else:
                    cut.append(number)
            writer.close()
            return True

        stop = asyncio.create_task(host.stop())
        calls = []
        for number in range(400):
            calls.append(asyncio.create_task(call(number)))
            await asyncio.sleep(0.01)
            if not host._caller_listener.is_serving():
                break
        await asyncio.gather(*calls)
        await stop
        assert cut == []
        assert len(answered) > 50


class StallingRunner(RunnerStandin):
    """Starts a stream and then only sends small comments."""

    async def _stream(self, request, behaviour, reader, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Galenascale-Attempt-Id: %b\r\n"
            b"X-Galenascale-Response-Signature: s\r\n\r\nid: 1\ndata: word1\n\n"
            % request.request_id.encode()
        )
        try:
            while True:
                writer.write(b":\n\n")
                await writer.drain()
                await asyncio.sleep(0.05)
        except ConnectionError:
            self.early_disconnects += 1
        return False


async def add_stalling_runner(fleet):
    """Add a server whose streams stall and wait until it is listed."""
    runner = StallingRunner("stalling", "llm")
    await runner.start()
    fleet.runners.append(runner)
    fleet.register(runner)
    servers = fleet.hosts[0].context.servers
    await until(lambda: len(servers.usable("llm", 0.0)) == 2)
    return runner


async def test_slow_stream_is_not_cut():
    """Guards healthy streams with long gaps, also before the first event."""
    async with gateway_fleet(runners=1) as fleet:
        (runner,) = fleet.runners_of("llm")
        runner.behaviour.events = 3
        runner.behaviour.event_interval_s = 0.9
        reply = await fleet.request("/chat/a", data=b"x")
        assert (reply.status, reply.complete) == (200, True)
        assert reply.body.count(b"data: word") == 3
        assert len(runner.requests) == 1


async def test_stalled_stream_ends_with_the_time_of_its_caller():
    """Guards callers against streams that only send comments."""
    async with gateway_fleet(runners=1) as fleet:
        (healthy,) = fleet.runners_of("llm")
        runner = await add_stalling_runner(fleet)
        healthy.behaviour.refuse = True
        async with asyncio.timeout(4.0):
            reply = await fleet.request("/talk/a", data=b"x")
        assert not reply.complete
        await until(lambda: runner.early_disconnects, 1.0)


async def test_stalled_item_goes_on_elsewhere():
    """Guards items against servers that only send comments."""
    async with gateway_fleet(runners=1) as fleet:
        (healthy,) = fleet.runners_of("llm")
        runner = await add_stalling_runner(fleet)
        healthy.behaviour.refuse = True
        assert await submit(fleet, "job-1", items=1) == 202
        await until(lambda: runner.requests)
        healthy.behaviour.refuse = False
        (result,) = await wait_for_results(fleet, "job-1", 1)
        assert result["Text"] == output_of(5)
        assert healthy.requests[-1].header("Last-Event-Id") == "1"
        await until(lambda: runner.early_disconnects, 1.0)


def stop_messages(host):
    """Stop a host from sending messages to other hosts."""
    host.discovery.peer_protocol._transport = Mock()


async def test_two_hosts_that_both_run_a_job_record_each_item_once():
    """Guards results if a job is taken over from a host that still runs."""
    async with gateway_fleet(hosts=2) as fleet:
        first, second = fleet.hosts
        await until(lambda: second.group_membership.partitions)
        for runner in fleet.runners_of("llm"):
            runner.behaviour.event_interval_s = 0.4
            runner.behaviour.events = 12
        partitions = second.runner._partitions
        # A job that the second host would take over.
        job_id = next(
            name
            for name in map("job-{}".format, range(100))
            if partitions.for_job(name).number in second.group_membership.partitions
        )
        assert await submit(fleet, job_id, items=4) == 202
        await until(
            lambda: sum(runner.running for runner in fleet.runners_of("llm")) == 4
        )
        stop_messages(first)
        jobs_by_id = partitions.for_job(job_id).state.jobs_by_id
        await until(lambda: job_id in jobs_by_id)
        await until(lambda: jobs_by_id[job_id].runner == "host-2")
        # Both hosts run the job until the first one reads the claim.
        await until(lambda: not first.runner._items_by_key)
        results = await wait_for_results(fleet, job_id, 4)
        assert sorted(item["Id"] for item in results) == [f"item-{n}" for n in range(4)]
        assert {item["Text"] for item in results} == {output_of(12)}
        assert results == (await read_results(fleet, job_id, host=2))["Outputs"]


async def test_host_that_is_silent_for_a_while_keeps_its_work():
    """Guards running items against a takeover from a host that is delayed."""
    async with gateway_fleet(hosts=2) as fleet:
        first = fleet.hosts[0]
        for runner in fleet.runners_of("llm"):
            runner.behaviour.event_interval_s = 0.5
            runner.behaviour.events = 8
        assert await submit(fleet, "job-1", items=4) == 202
        await until(
            lambda: sum(runner.running for runner in fleet.runners_of("llm")) == 4
        )
        transport = first.discovery.peer_protocol._transport
        stop_messages(first)
        await asyncio.sleep(peer_table.PEER_TIMEOUT_S * 0.7)
        first.discovery.peer_protocol._transport = transport
        await wait_for_results(fleet, "job-1", 4)
        assert sum(len(runner.requests) for runner in fleet.runners_of("llm")) == 4


async def test_server_whose_entry_lapses_keeps_its_work():
    """Guards running streams if the store entry of a server expires."""
    async with gateway_fleet(runners=1) as fleet:
        (runner,) = fleet.runners_of("llm")
        runner.behaviour.event_interval_s = 0.3
        task = asyncio.create_task(fleet.request("/chat/a", data=b"x"))
        await until(lambda: runner.running)
        fleet.unregister(runner)
        servers = fleet.hosts[0].context.servers
        await until(lambda: not servers.usable("llm", 0.0))
        reply = await task
        assert (reply.status, reply.complete) == (200, True)
        assert len(runner.requests) == 1


@attrs.frozen
class Garbage:
    """Invalid bytes sent to a listener of a host."""

    name: str
    data: bytes


GARBAGE = [
    Garbage("nothing", b""),
    Garbage("zeros", bytes(64)),
    Garbage("text", b"hello\r\n\r\n"),
    Garbage("half a request", b"POST /store HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"),
    Garbage("wrong length", b"POST /store HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
    Garbage(
        "store call of bytes", b"POST /store HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
    ),
    Garbage("high bytes", bytes(range(128, 256))),
]


def send_datagram(fleet, data):
    """Send a datagram to the first host."""
    address = split_address(fleet.settings(1).peer_listen)[0]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(data, (address, fleet.ports["datagram"]))


async def send_bytes(address, data):
    """Send bytes to a listener and wait briefly for its response."""
    reader, writer = await asyncio.open_connection(*split_address(address))
    writer.write(data)
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(0.05):
            await reader.read()
    writer.close()


@pytest.mark.parametrize("garbage", GARBAGE, ids=lambda garbage: garbage.name)
async def test_malformed_message_takes_nothing_down(garbage):
    """Guards the process against malformed input on any interface."""
    async with gateway_fleet() as fleet:
        host = fleet.hosts[0]
        settings = fleet.settings(1)
        send_datagram(fleet, garbage.data)
        for address in (
            settings.caller_listen,
            settings.ready_listen,
            settings.peer_listen,
        ):
            await send_bytes(address, garbage.data)
        for number in range(fleet.store.state.partitions):
            for topic in ("jobs", "quotas"):
                fleet.store.state.append(topic, number, [garbage.data])
        fleet.store.write_key("keyed.servers", "broken", garbage.data)
        fleet.store.write_key("keyed.op", "config", garbage.data)
        fleet.write_config()
        await until(lambda: host.context.configuration.version == fleet.version)
        assert (await fleet.request("/plain/a", data=b"x")).status == 200
        assert await submit(fleet, "job-1", items=2) == 202
        await wait_for_results(fleet, "job-1", 2)


async def test_unexpected_error_in_any_task_ends_neither_it_nor_the_process():
    """Guards the process against exceptions in background tasks."""
    async with gateway_fleet() as fleet:
        host = fleet.hosts[0]
        names = {task.get_name() for task in host.background.tasks}
        assert len(names) >= 11
        host.context.log.set_level("error")

        def fail(*args):
            raise RuntimeError("injected fault")

        faults = [
            (host.context.servers, "expire"),
            (host.recorder, "flush"),
            (host.context.quotas, "_is_reconciliation_due"),
            (host.runner, "_sync_items"),
            (host.discovery.peer_protocol, "_send_due_status"),
            (host.context.pool, "close_idle"),
        ]
        originals = [getattr(part, name) for part, name in faults]
        for part, name in faults:
            setattr(part, name, fail)
        await asyncio.sleep(0.5)
        for (part, name), original in zip(faults, originals, strict=True):
            setattr(part, name, original)
        assert {
            task.get_name() for task in host.background.tasks if not task.done()
        } == names
        assert (await fleet.request("/plain/a", data=b"x")).status == 200
        assert await submit(fleet, "job-1", items=2) == 202
        await wait_for_results(fleet, "job-1", 2)
