"""
Whether a backend server has taken all of a request.

A server may answer a long request before it has read it. If the answer has no
length, the end of the connection marks the end of the answer, but only if the
server takes the rest of the request: one that resets the connection has broken
off.
"""

import asyncio
import enum
import socket

from galenascale.gateway.send_queue import untaken_bytes

# Seconds between two looks at a request that is still being taken.
CHECK_INTERVAL_S = 0.02


class SendState(enum.Enum):
    """How far a request has come."""

    TAKEN = "taken"
    UNDER_WAY = "under_way"
    BROKEN = "broken"


def send_state(transport):
    """Return the SendState of the bytes written to a transport."""
    sock = transport.get_extra_info("socket")
    try:
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return SendState.BROKEN
    except OSError:
        return SendState.BROKEN
    if untaken_bytes(transport):
        return SendState.UNDER_WAY
    return SendState.TAKEN


class SendingWait:
    """
    Calls `on_end` with the last SendState once a request is not under way.

    Nothing limits the wait, as the request itself has a deadline.
    """

    def __init__(self, transport, on_end):
        self._transport = transport
        self._on_end = on_end
        self._timer = None
        self._check()

    def _check(self):
        state = send_state(self._transport)
        if state is not SendState.UNDER_WAY:
            self._on_end(state)
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def cancel(self):
        """End the wait without a call."""
        if self._timer is not None:
            self._timer.cancel()
