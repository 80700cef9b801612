"""Content of gossip: what is told, asked for and answered, without I/O.

A message names the hosts that its sender holds as live by fingerprint and
heartbeat. The HostInfo of an unknown fingerprint is asked for once, in the
answer or in a second exchange. Within a failure domain all its hosts are
named, across domains only its representatives.
"""

import attrs

from galenascale.generated.messages import GossipMessage
from galenascale.live_view import FOREIGN_SLICE

MAX_WANTED = 64
MAX_HOSTS = 64

# Loads in one message, in turns. 16 of them made up half of a message between
# hosts of a domain of 38, and left too few exchanges in the byte budget.
MAX_LOADS = 8


@attrs.define
class Exchange:
    """One host's side of gossip over its Membership."""

    membership: object
    # Return the configuration's version, its age in s and the own loads.
    config_version: object = attrs.field(default=lambda: -1)
    config_age_s: object = attrs.field(default=lambda: 0.0)
    loads: object = attrs.field(default=list)
    on_message: object = attrs.field(default=lambda now, message: None)
    _foreign_turn: int = 0
    _load_turn: int = 0

    def request(self, now, peer_domain):
        """Return the message that opens an exchange with a peer."""
        return self._message(now, peer_domain)

    def answer(self, now, message):
        """Merge a peer's message and return the answer to it."""
        unknown = self._merge(now, message)
        follow_up = bool(message.wanted or message.hosts)
        if follow_up:
            answer = self._bare()
        else:
            answer = self._message(now, message.sender.failure_domain)
        answer.hosts = self._infos(message.wanted)
        earlier = self.membership.known_info(message.sender.host_id)
        if earlier is not None and earlier.incarnation != message.sender.incarnation:
            # Tells a restarted host to outbid its earlier incarnation.
            answer.hosts.append(earlier)
        answer.wanted = unknown[:MAX_WANTED]
        return answer

    def follow_up(self, now, answer):
        """
        Merge an answer; return the message that completes the exchange.

        Return None if neither side lacks anything.
        """
        unknown = self._merge(now, answer)
        if not unknown and not answer.wanted:
            return None
        message = self._bare()
        message.hosts = self._infos(answer.wanted)
        message.wanted = unknown[:MAX_WANTED]
        return message if message.hosts or message.wanted else None

    def finish(self, now, answer):
        """Merge the answer to a follow-up."""
        self._merge(now, answer)

    def _bare(self):
        return GossipMessage(
            sender=self.membership.own,
            config_version=self.config_version(),
            config_age_s=self.config_age_s(),
        )

    def _message(self, now, peer_domain):
        message = self._bare()
        local = peer_domain == self.membership.own.failure_domain
        for info in self._told_hosts(now, local):
            message.known_keys.append(self.membership.key_of(info.host_id))
            message.known_heartbeats.append(info.heartbeat)
        for server_id, age_s in self.membership.servers.recent_leaving(now):
            message.leaving_servers.append(server_id)
            message.leaving_ages_ms.append(int(age_s * 1000))
        if local:
            message.loads = self._some_loads()
        return message

    def _told_hosts(self, now, local):
        membership = self.membership
        view = membership.view(now)
        own_domain = membership.own.failure_domain
        if local:
            told = list(view.by_domain[own_domain])
        else:
            ids = view.representatives_by_domain[own_domain]
            told = [view.by_id[host_id] for host_id in ids]
        foreign = [
            view.by_id[host_id]
            for domain, ids in view.representatives_by_domain.items()
            if domain != own_domain
            for host_id in ids
        ]
        # Leaving hosts represent nothing, but that they leave must be told.
        foreign += [
            info
            for info in view.by_id.values()
            if info.state == "leaving" and info.failure_domain != own_domain
        ]
        taken, self._foreign_turn = _turn(foreign, self._foreign_turn, FOREIGN_SLICE)
        return [info for info in told + taken if info.host_id != membership.own.host_id]

    def _some_loads(self):
        taken, self._load_turn = _turn(self.loads(), self._load_turn, MAX_LOADS)
        return taken

    def _infos(self, keys):
        infos = (self.membership.info_by_key(key) for key in keys[:MAX_HOSTS])
        return [info for info in infos if info is not None]

    def _merge(self, now, message):
        membership = self.membership
        membership.see_host(now, message.sender)
        for info in message.hosts[:MAX_HOSTS]:
            membership.see_host(now, info)
        ages = message.leaving_ages_ms
        for index, server_id in enumerate(message.leaving_servers):
            age_s = ages[index] / 1000 if index < len(ages) else None
            membership.servers.told_leaving(now, server_id, age_s)
        for load in message.loads:
            membership.servers.told_load(now, message.sender.host_id, load)
        self.on_message(now, message)
        return membership.see_heartbeats(
            now, message.known_keys, message.known_heartbeats
        )


def _turn(items, start, count):
    """Return up to `count` items from a turning start, and the next start."""
    if len(items) <= count:
        return items, 0
    start %= len(items)
    doubled = items[start : start + count]
    doubled += items[: count - len(doubled)]
    return doubled, start + count


def choose_targets(membership, now, rng, fanout):
    """
    Return the hosts to contact in one round.

    These are up to `fanout` hosts of the own domain, one host of another
    domain if this host represents its own, and one host that is not known as
    live, which heals partitions and starts a fleet.
    """
    view = membership.view(now)
    own = membership.own
    local = [
        info.host_id
        for info in view.by_domain[own.failure_domain]
        if info.host_id != own.host_id
    ]
    targets = rng.sample(local, min(fanout, len(local)))
    silent = membership.contact_candidates(now, own.failure_domain)
    if own.host_id in view.representatives_by_domain[own.failure_domain] or not local:
        domains = sorted(view.by_domain.keys() - {own.failure_domain})
        if domains:
            targets.append(rng.choice(view.by_domain[rng.choice(domains)]).host_id)
        for domain in membership.silent_domains(now):
            silent += membership.contact_candidates(now, domain)
    if silent:
        targets.append(rng.choice(silent))
    return list(dict.fromkeys(targets))


@attrs.define
class Pace:
    """Token bucket that keeps the bytes of exchanges within a rate."""

    bytes_per_s: float
    # Weighted mean of the size of an exchange, both directions.
    exchange_bytes: float = 1000.0
    _tokens: float = 0.0
    _at: float | None = None

    def allowed(self, now, fanout):
        """Return how many of `fanout` exchanges may be made at `now`."""
        elapsed = 1.0 if self._at is None else now - self._at
        self._at = now
        self._tokens = min(
            self._tokens + elapsed * self.bytes_per_s, max(self.bytes_per_s, 1.0)
        )
        return max(0, min(fanout, int(self._tokens / self.exchange_bytes)))

    def spent(self, size):
        """Account for an exchange that this host made or served."""
        self._tokens -= size
        self.exchange_bytes += 0.1 * (size - self.exchange_bytes)
