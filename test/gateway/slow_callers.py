"""Callers that read slowly on a usual link, and long jobs for them."""

import asyncio
import contextlib
import socket

from test.gateway.fleet import HOST_NAME
from test.gateway.test_jobs import TOKENS, make_job, wait_for_results

READ_BYTES = 8192
# Segments of Ethernet; those of the loopback device hide small windows.
SEGMENT_BYTES = 1460


def slow_socket(receive_bytes=0):
    """Return a socket like that of a slow caller on a usual link."""
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.setblocking(False)
    return sock


async def connect(fleet, sock):
    """Connect a socket to the first host."""
    address = ("127.0.0.1", fleet.ports["caller"])
    await asyncio.get_running_loop().sock_connect(sock, address)


async def send_request(sock, path, *lines, request_id="slow", method="POST"):
    """Send a request without a body on a connected socket."""
    head = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Galenascale-Attempt-Id: {request_id}",
        "X-Galenascale-Deadline-Ms: 4500",
        "Content-Length: 0",
        *lines,
    ]
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(sock, "\r\n".join([*head, "", ""]).encode())


async def read_slowly(sock, until_bytes, pause_s=0.0, size=READ_BYTES):
    """Return what comes until an end, an error or so many bytes."""
    loop = asyncio.get_running_loop()
    data = b""
    with contextlib.suppress(ConnectionError, TimeoutError):
        while len(data) < until_bytes and (piece := await loop.sock_recv(sock, size)):
            data += piece
            await asyncio.sleep(pause_s)
    return data


async def run_job(fleet, items, events):
    """Run a job whose results have a number of events each; return them."""
    for runner in fleet.runners_of("llm"):
        runner.behaviour.events = events
        runner.behaviour.event_interval_s = 0.0
    tokens = TOKENS | {"X-Galenascale-Token-Usage": "9,9000"}
    job = make_job(items, headers=tokens)
    reply = await fleet.request("/jobs/x", request_id="job-1", data=job)
    assert reply.status == 202
    return await wait_for_results(fleet, "job-1", items)
