"""Rounds of statuses over a slow link, without a network."""

import asyncio

import pytest

from galenascale.gateway.gossip import StatusMessage
from galenascale.gateway.paced_sender import (
    MAX_DELAY_S,
    MIN_SLICE_BYTES,
    PAUSE_S,
    PacedSender,
)
from galenascale.gateway.peers import _encode_messages
from galenascale.generated.gateway_messages import HostStatus

# A link of 15 Mbit/s that drops what its buffer does not hold.
LINK_BYTES_PER_S = 15e6 / 8
LINK_BUFFER_BYTES = 64 * 1024
# Hosts of the fleet, and those that a relay sends all statuses.
HOSTS = 84
RECEIVERS = 32


class SlowLink:
    """Delivers datagrams at the speed of the link, by address."""

    def __init__(self):
        self.count_by_address = {}
        self._buffered = 0.0
        self._at = asyncio.get_running_loop().time()

    def send(self, address, data):
        """Deliver a datagram, or drop it if the buffer is full."""
        now = asyncio.get_running_loop().time()
        drained = (now - self._at) * LINK_BYTES_PER_S
        self._buffered = max(0.0, self._buffered - drained)
        self._at = now
        if self._buffered + len(data) > LINK_BUFFER_BYTES:
            return
        self._buffered += len(data)
        count = self.count_by_address.get(address, 0)
        self.count_by_address[address] = count + 1


def make_round(active_jobs=0):
    """Return the StatusMessages of a relay that has news of all hosts."""
    statuses = tuple(
        HostStatus(
            host_id=f"edge-kigali-a-{number}",
            started_ms=1_796_422_104_402,
            sequence=40,
            config_version=7,
            store_up=True,
            failure_domain="kigali-a",
            address=f"10.1.0.{number}",
            active_jobs=list(range(2**30, 2**30 + active_jobs)),
        )
        for number in range(HOSTS)
    )
    return [StatusMessage(f"10.1.1.{number}", statuses) for number in range(RECEIVERS)]


@pytest.mark.parametrize("rounds", [1, 2])
async def test_each_host_gets_the_whole_round_of_a_relay(rounds):
    """
    Guards large fleets: a burst of statuses overflowed the link of a relay.

    The last hosts of each round missed most statuses and held all others to be
    lost, as the order of the hosts is the same in each round.
    """
    link = SlowLink()
    sender = PacedSender(link.send)
    expected = {}
    for _ in range(rounds):
        datagrams = list(_encode_messages(make_round()))
        assert sum(len(data) for _, data in datagrams) > LINK_BUFFER_BYTES * 2
        for address, _ in datagrams:
            expected[address] = expected.get(address, 0) + 1
        sender.send(datagrams)
        await asyncio.sleep(MAX_DELAY_S + 0.1)
    assert link.count_by_address == expected


async def test_large_rounds_do_not_pile_up():
    """Guards against statuses that arrive when the next ones are under way."""
    sent = []
    sender = PacedSender(lambda address, data: sent.append(data))
    datagrams = list(_encode_messages(make_round(active_jobs=60)))
    size = sum(len(data) for _, data in datagrams)
    assert size > MIN_SLICE_BYTES * MAX_DELAY_S / PAUSE_S
    sender.send(datagrams)
    await asyncio.sleep(2 * MAX_DELAY_S)
    assert len(sent) == len(datagrams)


async def test_few_datagrams_leave_at_once_and_in_order():
    """Guards small fleets, and what hosts must hear at once."""
    sent = []
    sender = PacedSender(lambda address, data: sent.append((address, data)))
    datagrams = [(f"10.0.0.{number}", b"x" * 1000) for number in range(12)]
    sender.send(datagrams)
    assert sent == datagrams
    sender.send(datagrams[:2])
    await asyncio.sleep(5 * PAUSE_S)
    assert sent == datagrams + datagrams[:2]


async def test_closed_sender_sends_nothing_more():
    """Guards stopping hosts against sends on a closed socket."""
    sent = []
    sender = PacedSender(lambda address, data: sent.append(address))
    sender.send(list(_encode_messages(make_round())))
    sender.close()
    count = len(sent)
    await asyncio.sleep(5 * PAUSE_S)
    assert len(sent) == count
