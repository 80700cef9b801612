"""Bytes that were written to a connection and not acknowledged by its peer."""

import fcntl
import struct
import termios

import attrs

_QUEUE_SIZE = struct.Struct("i")


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
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, _QUEUE_SIZE.pack(0))
    except (OSError, ValueError):
        return None
    return _QUEUE_SIZE.unpack(queued)[0]


def read_untaken(transport):
    """Return the UntakenBytes of an open transport."""
    sock = transport.get_extra_info("socket")
    kernel = None if sock is None else unacknowledged_bytes(sock)
    return UntakenBytes(transport.get_write_buffer_size(), kernel)


def untaken_bytes(transport):
    """Return the bytes known to be untaken by the peer of a transport."""
    return read_untaken(transport).total
