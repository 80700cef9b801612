"""To whom a host sends its state and those of others.

In a small fleet each host sends to all others. With many hosts that would cost
the square of their number, so each failure domain has two relays, chosen by
rendezvous hashing over the hosts that are alive. A host sends to the relays of
its domain; a relay sends what changed to the hosts of its domain and to the
relays of the other domains, and passes on what those send. The number of
messages grows with the number of hosts.
"""

import attrs

from galenascale.hashing import rendezvous_rank

# Other hosts up to which each host sends to all.
MAX_DIRECT_PEERS = 16
# The second relay stands in for the first. It sends more seldom, so that the
# loss of the first one slows messages down until it counts as gone.
RELAYS_PER_DOMAIN = 2
SECOND_RELAY_INTERVAL_ROUNDS = 3


@attrs.frozen
class StatusMessage:
    """States for one host."""

    address: str
    statuses: tuple


class StatusRouter:
    """Keeps the states that are to be sent, and decides where."""

    def __init__(self, host_id, failure_domain):
        self._host_id = host_id
        self._failure_domain = failure_domain
        # Newest state by host that was not sent yet: of hosts of the own
        # domain, and of others.
        self._domain_pending = {}
        self._remote_pending = {}
        self._round = 0

    def add_received(self, status):
        """Keep the state of another host, in case this host relays it."""
        if status.failure_domain == self._failure_domain:
            self._domain_pending[status.host_id] = status
        else:
            self._remote_pending[status.host_id] = status

    def take_messages(self, own_status, peers, addresses):
        """
        Return the Messages to send now.

        `own_status` is None if it did not change; `peers` are the hosts that
        are alive, `addresses` all that may be.
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
                return []
            return self._relay_messages(peers, relays_by_domain)
        self._domain_pending.clear()
        self._remote_pending.clear()
        if own_status is None:
            return []
        return [
            StatusMessage(peer.address, (own_status,))
            for peer in peers
            if peer.host_id in own_relays
        ]

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
