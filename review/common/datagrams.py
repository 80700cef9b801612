"""Relays of the datagrams between gateways, which can cut one of them off.

A gateway sends datagrams to the address of another one, at a port that is the
same for all. To stand between them, each gateway is given a port of its own
and a relay listens at that port on the addresses of all others. It passes
datagrams on with the address of their sender, so that the gateways see no
difference.
"""

import asyncio


class _Relay(asyncio.DatagramProtocol):
    def __init__(self, links, sender, receiver):
        self._links = links
        self._pair = (sender, receiver)

    def datagram_received(self, data, addr):
        self._links.forward(self._pair, data)


class DatagramLinks:
    """The links between all pairs of gateways, given as (ip, port) each."""

    def __init__(self, addresses):
        self._addresses = addresses
        self._transports = []
        self._out_by_sender = {}
        # Addresses that are cut off from all others.
        self.cut = set()
        self.dropped = 0

    async def start(self):
        """Open the relays; call it before the gateways start."""
        loop = asyncio.get_running_loop()
        for sender in self._addresses:
            transport, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, local_addr=(sender[0], 0)
            )
            self._out_by_sender[sender] = transport
            self._transports.append(transport)
            for receiver in self._addresses:
                if receiver == sender:
                    continue
                transport, _ = await loop.create_datagram_endpoint(
                    lambda sender=sender, receiver=receiver: _Relay(
                        self, sender, receiver
                    ),
                    local_addr=(receiver[0], sender[1]),
                )
                self._transports.append(transport)

    def forward(self, pair, data):
        """Pass a datagram on, unless one of the two is cut off."""
        if self.cut.intersection(pair):
            self.dropped += 1
            return
        sender, receiver = pair
        self._out_by_sender[sender].sendto(data, receiver)

    def close(self):
        """Close the relays."""
        for transport in self._transports:
            transport.close()
