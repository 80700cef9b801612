"""Closes a connection once its peer has acknowledged what was written."""

import contextlib

from galenascale.gateway.answer_delivery import Delivery, DeliveryTracker
from galenascale.gateway.send_queue import read_untaken

# Seconds until the first look at a connection, and between two looks; the time
# between them doubles.
FIRST_CHECK_S = 0.01
MAX_CHECK_INTERVAL_S = 0.1


class LingeringClose:
    """
    Ends the sending side of a transport, and closes it once all is taken.

    Input is still read meanwhile, as the kernel resets a connection that is
    closed with unread input. `on_abandoned` is called if the peer takes too
    little.
    """

    def __init__(self, loop, on_abandoned):
        self._loop = loop
        self._on_abandoned = on_abandoned
        self._transport = None
        self._tracker = None
        self._interval_s = FIRST_CHECK_S
        self._timer = None

    def begin(self, transport, limit_s=None):
        """Begin to close; `limit_s` bounds the time for slow peers too."""
        self._transport = transport
        self._tracker = DeliveryTracker.begin(self._loop.time(), limit_s)
        transport.resume_reading()
        self._check()

    def _check(self):
        self._timer = None
        if self._transport.is_closing():
            return
        untaken = read_untaken(self._transport)
        if not untaken.process:
            self._end_sending()
        delivery = self._tracker.update(untaken, self._loop.time())
        if delivery is Delivery.UNDER_WAY:
            self._timer = self._loop.call_later(self._interval_s, self._check)
            self._interval_s = min(2 * self._interval_s, MAX_CHECK_INTERVAL_S)
        elif delivery is Delivery.ABANDONED:
            self._on_abandoned()
        else:
            self._transport.close()

    def _end_sending(self):
        # The peer may have reset the connection.
        with contextlib.suppress(OSError):
            if self._transport.can_write_eof():
                self._transport.write_eof()

    def end(self):
        """Stop to look, as the connection is lost."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
