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

from galenascale.gateway.send_queue import (
    bytes_in_flight,
    read_untaken,
    unacknowledged_bytes,
    untaken_bytes,
)
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
# User timeout in milliseconds of a closed connection with waiting bytes, and
# of an open one where the kernel tells nothing of the peer.
CLOSED_USER_TIMEOUT_MS = 10_000
# State, retransmits and probes in struct tcp_info (linux/tcp.h), and
# milliseconds since the last acknowledgement.
_TCP_INFO = struct.Struct("=BxBB52xI")


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
        tcp_state, retransmits, probes, silent_ms = _TCP_INFO.unpack(info)
    except (OSError, struct.error):
        return None
    if not tcp_state:
        # Some network stacks answer with zeros; no state has this number.
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


@attrs.define
class QueueDetector:
    """Decides the same by the bytes in flight, and those not taken."""

    # Time in seconds since which neither changed, and the two.
    _unchanged_since: float | None = None
    _in_flight: int = 0
    _untaken: int = 0

    def is_gone(self, in_flight, untaken, now):
        """
        Return True if what was sent stays unacknowledged.

        Nothing is in flight while the peer has no room in its buffer.
        """
        is_moving = in_flight != self._in_flight or untaken < self._untaken
        self._in_flight = in_flight
        self._untaken = untaken
        if not in_flight or is_moving or self._unchanged_since is None:
            self._unchanged_since = now
        return now - self._unchanged_since >= SILENCE_S


def watch_acknowledgements(transport):
    """Return a function that tells by TCP_INFO whether a peer is gone."""
    sock = transport.get_extra_info("socket")
    detector = SilenceDetector()

    def is_gone(now):
        state = read_ack_state(sock)
        return state is not None and detector.is_gone(state, now)

    return is_gone


def watch_send_queue(transport):
    """Return a function that tells the same by the send queue."""
    sock = transport.get_extra_info("socket")
    detector = QueueDetector()

    def is_gone(now):
        in_flight = bytes_in_flight(sock)
        if in_flight is None:
            return False
        return detector.is_gone(in_flight, untaken_bytes(transport), now)

    return is_gone


class PeerWatch:
    """
    Watches the peer of a transport while it has not taken all bytes.

    `on_gone` is called once a peer acknowledges nothing any more. Where the
    kernel tells nothing, its user timeout decides, with more time.
    """

    def __init__(self, loop, on_gone):
        self._loop = loop
        self._on_gone = on_gone
        self._transport = None
        self._timer = None
        # Function of a time in seconds that returns whether the peer is gone.
        self._is_gone = None

    def begin(self, transport):
        """Begin to watch a transport to which bytes are written."""
        if self._timer is None:
            self._transport = transport
            self._timer = self._loop.call_later(FIRST_CHECK_S, self._check)

    def _check(self):
        self._timer = None
        if self._transport.is_closing():
            return
        untaken = read_untaken(self._transport)
        if untaken.kernel is None:
            # The kernel will not tell when its bytes are taken.
            sock = self._transport.get_extra_info("socket")
            set_user_timeout(sock, CLOSED_USER_TIMEOUT_MS)
        elif not untaken.total:
            self._restore()
        else:
            self._look()

    def _look(self):
        """Look whether the peer is gone, now and later."""
        if self._is_gone is None:
            self._is_gone = self._choose_watch()
        if self._is_gone(self._loop.time()):
            self._on_gone()
            return
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _choose_watch(self):
        """Lift the user timeout, as far as the kernel tells of the peer."""
        sock = self._transport.get_extra_info("socket")
        if read_ack_state(sock) is not None:
            set_user_timeout(sock, 0)
            return watch_acknowledgements(self._transport)
        if bytes_in_flight(sock) is not None:
            set_user_timeout(sock, 0)
            return watch_send_queue(self._transport)
        set_user_timeout(sock, CLOSED_USER_TIMEOUT_MS)
        return lambda now: False

    def _restore(self):
        """Let the kernel decide again."""
        if self._is_gone is not None:
            set_user_timeout(self._transport.get_extra_info("socket"), USER_TIMEOUT_MS)
        self._is_gone = None

    def end(self):
        """Stop to watch, as the connection is lost."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def let_drain(transport):
    """Give the peer of a closing transport time to take what waits."""
    sock = transport.get_extra_info("socket")
    if sock is not None and unacknowledged_bytes(sock) != 0:
        set_user_timeout(sock, CLOSED_USER_TIMEOUT_MS)
