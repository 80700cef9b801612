"""Bytes that were written to a connection and not acknowledged by its peer."""

import contextlib
import fcntl
import socket
import struct
import termios

import attrs

_QUEUE_SIZE = struct.Struct("i")
# Request for the bytes in the send queue that were never sent
# (linux/sockios.h).
_SIOCOUTQNSD = 0x894B
# Largest send buffer in bytes that Linux grants by default, and what it makes
# of it.
MAX_SEND_BUFFER_BYTES = 212_992
_GRANTED_BYTES = 2 * MAX_SEND_BUFFER_BYTES


@attrs.frozen
class UntakenBytes:
    """Written bytes that a peer has not acknowledged."""

    # In the buffers of the process.
    process: int
    # In the send queue of the kernel; None if it does not tell.
    kernel: int | None

    @property
    def total(self):
        """Return all that are known of."""
        return self.process + (self.kernel or 0)


def unacknowledged_bytes(sock):
    """Return the bytes in the send queue of the kernel, None if unknown."""
    return _ask_kernel(sock, termios.TIOCOUTQ)


def bytes_in_flight(sock):
    """Return the bytes sent and not acknowledged, None if unknown."""
    queued = unacknowledged_bytes(sock)
    unsent = _ask_kernel(sock, _SIOCOUTQNSD)
    if queued is None or unsent is None:
        return None
    return max(0, queued - unsent)


def _ask_kernel(sock, request):
    try:
        size = fcntl.ioctl(sock.fileno(), request, _QUEUE_SIZE.pack(0))
    except (OSError, ValueError):
        return None
    return _QUEUE_SIZE.unpack(size)[0]


def read_untaken(transport):
    """Return the UntakenBytes of an open transport."""
    sock = transport.get_extra_info("socket")
    kernel = None if sock is None else unacknowledged_bytes(sock)
    return UntakenBytes(transport.get_write_buffer_size(), kernel)


def untaken_bytes(transport):
    """Return the bytes known to be untaken by the peer of a transport."""
    return read_untaken(transport).total


def grow_send_buffer(transport):
    """Let the kernel take more of what the process holds."""
    sock = transport.get_extra_info("socket")
    # The peer may have closed the connection.
    with contextlib.suppress(OSError):
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) < _GRANTED_BYTES:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, MAX_SEND_BUFFER_BYTES)
