"""
Callers that read slowly while the listener of a `serve` process closes.

Guards callers against a process that ends while the kernel still holds a part
of an answer (review case 9, whose gateways have the same connections).
"""

import asyncio

import pytest
from aiohttp import web

from galenascale.clock import FakeClock
from galenascale.generated.messages import LimitSettings, TlsSettings
from galenascale.http_api import start_listener
from galenascale.tls import ServerTls, make_client_context
from test.gateway.slow_callers import slow_socket
from test.test_tls import make_pair

# Bytes of answers that the kernel takes at once, or not.
SHORT_BYTES = 30_000
LONG_BYTES = 1_000_000
RECEIVE_BYTES = 4096


async def answer(request):
    """Answer with a body of the size in the path."""
    return web.Response(body=b"x" * int(request.match_info["size"]))


def make_contexts():
    """Return the TLS contexts of a listener and of its callers."""
    certificate, key = make_pair("listener")
    tls = ServerTls(TlsSettings(certificate, key), FakeClock())
    return tls.context, make_client_context(TlsSettings(ca=certificate))


async def connect(port, context):
    """Return the (reader, writer) of a caller with little room."""
    sock = slow_socket(RECEIVE_BYTES)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    name = "127.0.0.1" if context else None
    return await asyncio.open_connection(
        sock=sock, ssl=context, server_hostname=name, limit=RECEIVE_BYTES
    )


# The TLS library of the caller reads a short answer before it is asked for.
@pytest.mark.parametrize(
    ("size", "is_tls"),
    [(SHORT_BYTES, False), (LONG_BYTES, False), (LONG_BYTES, True)],
)
@pytest.mark.parametrize("lines", ["", "Connection: close\r\n"])
async def test_listener_closes_after_its_answers_are_taken(size, is_tls, lines):
    """It closed as soon as the kernel had them."""
    app = web.Application()
    app.router.add_get("/{size}", answer)
    contexts = make_contexts() if is_tls else (None, None)
    listener = start_listener(app, "127.0.0.1", 0, LimitSettings(), contexts[0])
    port = await listener.__aenter__()
    reader, writer = await connect(port, contexts[1])
    writer.write(f"GET /{size} HTTP/1.1\r\nHost: a\r\n{lines}\r\n".encode())
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ")
    closing = asyncio.create_task(listener.__aexit__(None, None, None))
    await asyncio.sleep(0.5)
    assert not closing.done()
    body = await asyncio.wait_for(reader.readexactly(size), 5)
    assert body == b"x" * size
    writer.close()
    await asyncio.wait_for(closing, 1)
