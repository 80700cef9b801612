"""Which host owns a shared object, by rendezvous hashing over live hosts."""

import attrs

from galenascale.hashing import rendezvous_rank

# Seconds for which a host that gave no answer is not used as owner. The time
# is short, because the host and its substitute both decide once the host is
# back.
SUSPICION_S = 1.0


@attrs.frozen
class OwnerCandidate:
    """A host that may own objects."""

    host_id: str
    failure_domain: str
    # IP address.
    address: str
    # Whether messages from the host arrived recently.
    is_responsive: bool = True


@attrs.frozen
class Standing:
    """How sure a host can be that it alone owns an object."""

    # Hosts that rank before it and are heard.
    responsive_ahead: int
    # Hosts that this host speaks for, of those known.
    reached: int
    known: int


class Ownership:
    """Owners of named objects, each among the hosts of a failure domain."""

    def __init__(self, own_host):
        self._own_host = own_host
        self._hosts = (own_host,)
        self._may_own = True
        self._ranked_addresses_by_object = {}
        # Addresses from which no messages arrived recently.
        self._unresponsive = frozenset()
        # Hosts heard of within a longer time, this one included.
        self._known_count = 1
        # Ends of suspicion in monotonic seconds, by address.
        self._suspected_until = {}

    @property
    def own_address(self):
        """Return the IP address of this host."""
        return self._own_host.address

    @property
    def own_domain(self):
        """Return the failure domain of this host."""
        return self._own_host.failure_domain

    @property
    def host_count(self):
        """Return the number of hosts, this one included."""
        return len(self._hosts)

    def set_hosts(self, others, known_count=0):
        """
        Set the other OwnerCandidates; return True if they changed.

        `known_count` counts the hosts heard of within a longer time, too.
        """
        self._known_count = max(known_count, len(others) + 1)
        self._unresponsive = {host.address for host in others if not host.is_responsive}
        hosts = (
            *(attrs.evolve(host, is_responsive=True) for host in others),
            self._own_host,
        )
        hosts = tuple(sorted(hosts, key=lambda host: host.host_id))
        if hosts == self._hosts:
            return False
        self._hosts = hosts
        self._ranked_addresses_by_object.clear()
        return True

    def stop_owning(self):
        """Exclude this host from the owners, as it stops."""
        self._may_own = False
        self._ranked_addresses_by_object.clear()

    def has_hosts_in(self, failure_domain):
        """Return True if a host of a failure domain may own objects."""
        return any(
            host.failure_domain == failure_domain
            for host in self._hosts
            if self._may_own or host != self._own_host
        )

    def owner(self, name, failure_domain, now):
        """
        Return the address of an object's owner, skipping suspected hosts.

        Any host may be the owner if the failure domain has none.
        """
        addresses = self._ranked_addresses(name, failure_domain)
        for address in addresses:
            if not self._is_suspected(address, now):
                return address
        return addresses[0]

    def _is_suspected(self, address, now):
        """
        Return True for a host that did not answer a short time ago.

        It stays suspected while no messages from it arrive at all.
        """
        until = self._suspected_until.get(address)
        return until is not None and (now < until or address in self._unresponsive)

    def is_own(self, name, failure_domain, now):
        """Return True if this host owns an object."""
        return self.owner(name, failure_domain, now) == self._own_host.address

    def is_substitute(self, name, failure_domain, address, now):
        """Return True if a host owns an object in place of a suspected one."""
        first = self._ranked_addresses(name, failure_domain)[0]
        return address != first and address == self.owner(name, failure_domain, now)

    def standing(self, name, failure_domain, asking_hosts):
        """
        Return this host's Standing as owner of an object.

        An owner speaks for all hosts that it hears. One in place of hosts that
        are silent speaks for the `asking_hosts` of the failure domain, as the
        others may ask a host that only this one does not hear.
        """
        addresses = self._ranked_addresses(name, failure_domain)
        rank = len(addresses)
        if self.own_address in addresses:
            rank = addresses.index(self.own_address)
        ahead = [host for host in addresses[:rank] if host not in self._unresponsive]
        if rank:
            reached = min(asking_hosts, len(addresses))
            return Standing(len(ahead), reached, len(addresses))
        reached = len(self._hosts) - len(self._unresponsive)
        return Standing(0, reached, self._known_count)

    def suspect(self, address, now):
        """Replace a host as owner for SUSPICION_S, as it gave no answer."""
        if address != self._own_host.address:
            self._suspected_until[address] = now + SUSPICION_S

    def clear_suspicion(self, address):
        """End the suspicion of a host, as it answered."""
        self._suspected_until.pop(address, None)

    def _ranked_addresses(self, name, failure_domain):
        key = (name, failure_domain)
        if key not in self._ranked_addresses_by_object:
            hosts = [
                host for host in self._hosts if self._may_own or host != self._own_host
            ]
            local = [host for host in hosts if host.failure_domain == failure_domain]
            by_id = {host.host_id: host for host in local or hosts or self._hosts}
            self._ranked_addresses_by_object[key] = [
                by_id[host_id].address for host_id in rendezvous_rank(name, by_id)
            ]
        return self._ranked_addresses_by_object[key]
