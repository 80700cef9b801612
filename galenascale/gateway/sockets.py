"""Socket options against peers that fall silent."""

import contextlib
import socket

# Time in milliseconds after which unacknowledged bytes end a connection. Links
# have a delay of a few milliseconds, so that many retransmissions fit.
USER_TIMEOUT_MS = 1500
# Idle seconds before the first probe, seconds between probes, and probes
# without an answer after which a connection ends.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def enable_dead_peer_detection(transport):
    """Let the kernel end a connection whose peer no longer answers."""
    sock = transport.get_extra_info("socket")
    # The peer may have gone before the options are set.
    with contextlib.suppress(OSError):
        if sock is not None:
            set_dead_peer_options(sock)


def set_dead_peer_options(sock):
    """Set the options of a TCP socket against a peer that falls silent."""
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(level, option, value)


def split_address(address):
    """Return (host, port) of "host:port"."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def peer_url(address, own_listen, path):
    """Return the URL of a path at another host, which has the same ports."""
    return f"http://{address}:{split_address(own_listen)[1]}{path}"
