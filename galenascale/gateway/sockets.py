"""TCP options that detect unresponsive peers, and addresses."""

import contextlib
import functools
import ipaddress
import socket

# Milliseconds for which sent bytes may stay unacknowledged before the kernel
# closes the connection. Links have a delay of a few milliseconds, so this
# leaves time for many retransmissions.
USER_TIMEOUT_MS = 1500
# Idle seconds before the first keepalive probe, seconds between probes, and
# the number of unanswered probes after which the kernel closes the connection.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Most bytes of one receive call. The event loop asks for 256 KB each time and
# allocates them, however few have arrived.
RECEIVE_BYTES = 1 << 16
IPV4 = 4
# Addresses whose check is cached.
MAX_CACHED_ADDRESSES = 1 << 13


class BoundedSocket(socket.socket):
    """Socket that receives at most RECEIVE_BYTES at once."""

    def recv(self, size, flags=0):
        """Return the bytes that have arrived, as far as they fit."""
        return super().recv(min(size, RECEIVE_BYTES), flags)


def enable_dead_peer_detection(transport):
    """Let the kernel close a connection whose peer no longer responds."""
    sock = transport.get_extra_info("socket")
    # The peer may have closed the connection before the options are set.
    with contextlib.suppress(OSError):
        if sock is not None:
            set_dead_peer_options(sock)


def set_dead_peer_options(sock):
    """Set TCP_NODELAY, keepalive and the user timeout of a TCP socket."""
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(level, option, value)


@functools.lru_cache(MAX_CACHED_ADDRESSES)
def is_ip_address(text):
    """Return True for an IP address; a name would have to be looked up."""
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        return False
    # The zone of an IPv6 address may be text that no socket takes.
    return address.version == IPV4 or not address.scope_id


def split_address(address):
    """Return (host, port) of "host:port"."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def peer_url(address, own_listen, path):
    """
    Return the URL of a path on the peer at an IP address.

    All hosts use the same ports, so the port is taken from `own_listen`.
    """
    return f"http://{address}:{split_address(own_listen)[1]}{path}"
