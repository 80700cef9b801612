"""Table of the other hosts: which one has an address."""

import attrs

from galenascale.gateway.peer_table import PeerTable
from galenascale.generated.gateway_messages import HostStatus


def make_status(host_id, address="10.0.0.2", **fields):
    """Return the status of a host."""
    return HostStatus(host_id=host_id, address=address, sequence=1, **fields)


def test_former_host_of_an_address_is_forgotten():
    """
    Guards owners and takeovers against a host that is gone.

    A new host came at the address of a lost one. Messages for the lost one
    would reach the new one.
    """
    table = PeerTable("10.0.0.1")
    table.update(make_status("old"), 0.0)
    table.update(make_status("new"), 0.5)
    assert [peer.host_id for peer in table.alive(0.6)] == ["new"]
    assert [peer.host_id for peer in table.not_leaving(0.6)] == ["new"]
    assert not table.is_alive("old", 0.6)
    assert table.addresses(0.6) == ["10.0.0.2"]


def test_most_current_peers_reach_the_store_and_are_newest():
    """Guards hosts without the store against an outdated helper."""
    table = PeerTable("10.0.0.1")
    for number, (store_up, version) in enumerate(
        [(True, 2), (False, 9), (True, 3), (True, 3)]
    ):
        status = make_status(f"h{number}", f"10.0.1.{number}")
        table.update(
            attrs.evolve(status, store_up=store_up, config_version=version), 0.0
        )
    assert {peer.host_id for peer in table.most_current(0.1)} == {"h2", "h3"}
    assert table.most_current(99.0) == []
