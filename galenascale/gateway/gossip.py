"""Routing of host statuses between the gateway hosts of a fleet.

In a small fleet each host sends its status to all others. In a large fleet the
number of messages would grow with the square of the number of hosts. Each
failure domain therefore has two relays, chosen by rendezvous hashing over the
live hosts. A host sends its status to the relays of its domain. A relay sends
changed statuses to the hosts of its domain and to the relays of the other
domains, and forwards the statuses received from those relays to its domain.
The number of messages then grows linearly with the number of hosts.
"""

import attrs

from galenascale.hashing import rendezvous_rank

# Number of other hosts up to which each host sends directly to all of them.
MAX_DIRECT_PEERS = 16
# The second relay is a backup. It sends only once in this many rounds, so if
# the first relay fails, statuses spread more slowly until it is considered
# dead.
RELAYS_PER_DOMAIN = 2
SECOND_RELAY_INTERVAL_ROUNDS = 3


@attrs.frozen
class StatusMessage:
    """Statuses to send to one host."""

    address: str
    statuses: tuple


class StatusRouter:
    """Buffers statuses to send and selects their recipients."""

    def __init__(self, host_id, failure_domain):
        self._host_id = host_id
        self._failure_domain = failure_domain
        # Newest unsent status by host id: of hosts in the same failure domain
        # and of hosts in other domains.
        self._domain_pending = {}
        self._remote_pending = {}
        self._round = 0

    def add_received(self, status):
        """Buffer a received status, in case this host is a relay."""
        if status.failure_domain == self._failure_domain:
            self._domain_pending[status.host_id] = status
        else:
            self._remote_pending[status.host_id] = status

    def take_messages(self, own_status, peers, addresses):
        """
        Return the StatusMessages to send now and clear the buffered statuses.

        `own_status` is None if it did not change. `peers` are the live hosts,
        `addresses` the addresses of all hosts that may be alive. The second
        relay keeps its buffer in the rounds in which it does not send.
        """
        if len(addresses) <= MAX_DIRECT_PEERS:
            self._domain_pending.clear()
            self._remote_pending.clear()
            own = (own_status,) if own_status else ()
            return [StatusMessage(address, own) for address in addresses if own]
        relays_by_domain = self._relays_by_domain(peers)
        own_relays = relays_by_domain[self._failure_domain]
        if self._host_id in own_relays:
            if own_status is not None:
                self._domain_pending[self._host_id] = own_status
            self._round += 1
            first = self._host_id == own_relays[0]
            if not first and self._round % SECOND_RELAY_INTERVAL_ROUNDS:
                # Its own status does not wait until it sends all others.
                return _own_messages(own_status, peers, own_relays)
            return self._relay_messages(peers, relays_by_domain)
        self._domain_pending.clear()
        self._remote_pending.clear()
        return _own_messages(own_status, peers, own_relays)

    def _relays_by_domain(self, peers):
        hosts_by_domain = {self._failure_domain: [self._host_id]}
        for peer in peers:
            hosts = hosts_by_domain.setdefault(peer.failure_domain, [])
            hosts.append(peer.host_id)
        return {
            domain: rendezvous_rank(f"relay/{domain}", hosts)[:RELAYS_PER_DOMAIN]
            for domain, hosts in hosts_by_domain.items()
        }

    def _relay_messages(self, peers, relays_by_domain):
        domain_statuses = tuple(self._domain_pending.values())
        all_statuses = domain_statuses + tuple(self._remote_pending.values())
        self._domain_pending.clear()
        self._remote_pending.clear()
        messages = []
        for peer in peers:
            if peer.failure_domain == self._failure_domain:
                statuses = all_statuses
            elif peer.host_id in relays_by_domain[peer.failure_domain]:
                statuses = domain_statuses
            else:
                continue
            if statuses:
                messages.append(StatusMessage(peer.address, statuses))
        return messages


def _own_messages(own_status, peers, relays):
    """Return the StatusMessages with a host's own status to its relays."""
    if own_status is None:
        return []
    return [
        StatusMessage(peer.address, (own_status,))
        for peer in peers
        if peer.host_id in relays
    ]
