"""Calls between entry hosts: thrift bodies over authenticated HTTP."""

from galenascale.peers.client import Peers
from galenascale.peers.gossip import Gossip
from galenascale.peers.server import PeerServer

__all__ = ["Gossip", "PeerServer", "Peers"]
