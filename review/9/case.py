"""A gateway that is stopped ends while clients still read their answers."""

import asyncio
import random
import signal
import socket
from pathlib import Path

from fleet import HOST_NAME, _ReplyParser, is_trouble, item, run

ITEMS = 100
# Events of an item and bytes of each event's data, before they become hex
# digits: about the mean of the site.
EVENTS = 170
DATA_BYTES = 37
CLIENTS = 3
# Seconds from the SIGTERM to the requests, on connections opened before it.
SENT_AFTER_S = 2.3
# Seconds for which a client does something else after the first bytes.
BUSY_S = 1.2
# Each client is on a link with the usual segments of Ethernet.
SEGMENT_BYTES = 1460
RECEIVE_BYTES = 16384
GRACE_S = 8.0
LOSS_SLACK_S = 0.2


def event_data(request, number):
    """Return the data of an event; the same for each run of an item."""
    return random.Random(f"{request.attempt_id}/{number}").randbytes(DATA_BYTES).hex()


async def prepare_job(fleet):
    """Submit a job and return once all its results are listed."""
    for runner in fleet.of_service("llm"):
        runner.record_runs = False
        runner.events_of = lambda request: EVENTS
        runner.event_interval_s = 0.002
        runner.event_data = event_data
    items = [item(f"item{number:03}", tokens_out=EVENTS) for number in range(ITEMS)]
    reply = await fleet.submit(3, "job1", items)
    if reply is None or reply.status != 202:
        raise RuntimeError("the job was not accepted")
    for _ in range(60):
        await asyncio.sleep(0.5)
        results = await fleet.results(4, "job1")
        if results is not None and len(results) == ITEMS:
            return
    raise RuntimeError("the job was not finished")


async def connect(fleet):
    """Open the connection of one client to the gateway to be stopped."""
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    sock.setblocking(False)
    address = (fleet.gateways[0].address, fleet.ports["front"])
    await asyncio.get_running_loop().sock_connect(sock, address)
    return sock


async def read_results(fleet, record, sock, name, began_at):
    """Read the first page of the results; return False if it is cut off."""
    loop = asyncio.get_running_loop()
    lines = (
        "GET /lots/job1?After=0 HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Galenascale-Attempt-Id: {name}",
        "X-Galenascale-Deadline-Ms: 8000",
    )
    await loop.sock_sendall(sock, "\r\n".join([*lines, "", ""]).encode())
    sent_at = loop.time()
    record.write(name, "sent", round(sent_at - began_at, 3), "s after the SIGTERM")
    reply = _ReplyParser()
    while not reply.done:
        try:
            data = await loop.sock_recv(sock, RECEIVE_BYTES)
        except OSError as error:
            record.write(name, repr(error))
            break
        if not data:
            break
        if not reply.status:
            await asyncio.sleep(BUSY_S)
        reply.parser.feed_data(data)
    sock.close()
    ended_at = loop.time()
    record.write(
        name,
        "status",
        reply.status,
        "complete",
        reply.done,
        "read",
        len(reply.body),
        "of",
        reply.headers.get("content-length"),
        "bytes;",
        round(ended_at - sent_at, 3),
        "s after its request,",
        round(ended_at - began_at, 3),
        "s after the SIGTERM",
    )
    in_time = ended_at - began_at <= GRACE_S + 1.0
    return reply.done or not in_time or ended_at - sent_at <= LOSS_SLACK_S


async def watch_end(gateway, record, began_at):
    """Record when the process of a gateway ends."""
    while gateway.running:  # noqa: ASYNC110
        await asyncio.sleep(0.02)
    elapsed_s = asyncio.get_running_loop().time() - began_at
    record.write("process ended", round(elapsed_s, 3), "s after the SIGTERM")


async def case(fleet, record):
    """Stop a gateway, and let clients read their answers in two steps."""
    await fleet.start(llm=6)
    await prepare_job(fleet)
    socks = [await connect(fleet) for _ in range(CLIENTS)]
    began_at = asyncio.get_running_loop().time()
    if is_trouble():
        fleet.gateways[0].send_signal(signal.SIGTERM)
    watch = asyncio.create_task(watch_end(fleet.gateways[0], record, began_at))
    await asyncio.sleep(SENT_AFTER_S)
    held = await asyncio.gather(
        *(
            read_results(fleet, record, sock, f"reader{number}", began_at)
            for number, sock in enumerate(socks)
        )
    )
    watch.cancel()
    return all(held)


if __name__ == "__main__":
    run(case, Path(__file__).parent)
