"""
Tells a peer that reads slowly from one that is gone.

The kernel's user timeout ends a connection whose sent bytes stay
unacknowledged, but also one whose peer has no room in its buffer for as long.
The latter acknowledges the kernel's window probes. So while bytes wait for
long, the timeout is lifted and the acknowledgements are looked at.
"""

import contextlib
import socket
import struct

import attrs

from galenascale.gateway.send_queue import unacknowledged_bytes, untaken_bytes
from galenascale.gateway.sockets import USER_TIMEOUT_MS

# Seconds after a write at which bytes that wait are noticed; well before the
# user timeout.
FIRST_CHECK_S = 0.5
# Seconds between two looks at a peer that has not taken all.
CHECK_INTERVAL_S = 0.25
# Seconds without an acknowledgement, and seconds for which a retransmission or
# probe stays unanswered, after which a peer is gone.
SILENCE_S = USER_TIMEOUT_MS / 1000
UNANSWERED_S = 1.0
# User timeout in milliseconds of a closed connection with waiting bytes.
CLOSED_USER_TIMEOUT_MS = 10_000
# Retransmits and probes in struct tcp_info (linux/tcp.h), and milliseconds
# since the last acknowledgement.
_TCP_INFO = struct.Struct("=2xBB52xI")


@attrs.frozen
class AckState:
    """What the kernel knows of the acknowledgements of a peer."""

    # Whether a retransmission or a window probe is unanswered.
    is_unanswered: bool
    # Seconds since the last acknowledgement.
    silent_s: float


def read_ack_state(sock):
    """Return the AckState of a socket, or None if the kernel tells none."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
        retransmits, probes, silent_ms = _TCP_INFO.unpack(info)
    except (OSError, struct.error):
        return None
    return AckState(retransmits > 0 or probes > 0, silent_ms / 1000)


def set_user_timeout(sock, timeout_ms):
    """Set the user timeout of a socket; 0 lifts it."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


@attrs.define
class SilenceDetector:
    """Decides by the AckStates of a peer whether it is gone."""

    # Time in seconds since which nothing was answered, or None.
    unanswered_since: float | None = None

    def is_gone(self, state, now):
        """Return True if the peer answers nothing; `now` is in seconds."""
        if not state.is_unanswered:
            self.unanswered_since = None
            return False
        acknowledged_at = now - state.silent_s
        since = self.unanswered_since
        if since is None or acknowledged_at > since:
            self.unanswered_since = now
            return False
        return now - since >= UNANSWERED_S and state.silent_s >= SILENCE_S


class PeerWatch:
    """
    Watches the peer of a transport while it has not taken all bytes.

    `on_gone` is called once a peer acknowledges nothing any more. Where the
    kernel tells nothing, its user timeout decides as before.
    """

    def __init__(self, loop, on_gone):
        self._loop = loop
        self._on_gone = on_gone
        self._transport = None
        self._timer = None
        self._detector = None

    def begin(self, transport):
        """Begin to watch a transport to which bytes are written."""
        if self._timer is None:
            self._transport = transport
            self._timer = self._loop.call_later(FIRST_CHECK_S, self._check)

    def _check(self):
        self._timer = None
        if self._transport.is_closing() or not untaken_bytes(self._transport):
            self._restore()
            return
        sock = self._transport.get_extra_info("socket")
        state = read_ack_state(sock)
        if state is None:
            return
        if self._detector is None:
            self._detector = SilenceDetector()
            set_user_timeout(sock, 0)
        if self._detector.is_gone(state, self._loop.time()):
            self._on_gone()
            return
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _restore(self):
        """Let the kernel decide again."""
        if self._detector is not None and not self._transport.is_closing():
            set_user_timeout(self._transport.get_extra_info("socket"), USER_TIMEOUT_MS)
        self._detector = None

    def end(self):
        """Stop to watch, as the connection is lost."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def let_drain(transport):
    """Give the peer of a closing transport time to take what waits."""
    sock = transport.get_extra_info("socket")
    if sock is not None and unacknowledged_bytes(sock):
        set_user_timeout(sock, CLOSED_USER_TIMEOUT_MS)
