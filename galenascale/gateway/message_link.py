"""Delivery of messages between a host's owner and client parts and others."""

import asyncio


class MessageLink:
    """Passes messages to the parts of this host, or on to other hosts."""

    def __init__(self, context, send_to_peer):
        self._clock = context.clock
        self._own_address = context.ownership.own_address
        # Called with an address and a message.
        self._send_to_peer = send_to_peer
        self._parts = ()

    def connect(self, *parts):
        """Set the parts, whose `receive(message, address, now)` is called."""
        self._parts = parts

    def send(self, address, message):
        """Send a message to the host with an address, this one too."""
        if address != self._own_address:
            self._send_to_peer(address, message)
            return
        # Messages to this host are handled after the caller's step, as those
        # from other hosts are.
        asyncio.get_running_loop().call_soon(self._handle, message, address)

    def receive(self, messages, address):
        """Handle messages from another host."""
        for message in messages:
            self._handle(message, address)

    def _handle(self, message, address):
        now = self._clock.monotonic()
        for part in self._parts:
            part.receive(message, address, now)
