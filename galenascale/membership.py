"""View of entry hosts and backend servers, without I/O.

Every call gets `now` in monotonic seconds. Sources are the lagging host list,
direct signs and the words of peers. Views of hosts differ for a time, and
nothing relies on their agreement for safety.

Detail is kept for all hosts of the own failure domain. Of another domain
only its representatives are passed on: the few hosts that rank first for the
domain's name. Owners of shards are chosen among representatives, so a small
deployment chooses among all hosts and 25 domains of 38 hosts among 100.
"""

import attrs

from galenascale.hashing import rendezvous_owner, rendezvous_rank
from galenascale.host_entries import HostEntry, fingerprint, order
from galenascale.live_view import make_view
from galenascale.server_view import ServerView

# A dead host is remembered for this many times `dead_after_s`, so that late
# words about it are recognised as old.
FORGET_FACTOR = 30


@attrs.frozen
class ListedHost:
    """One entry of the host list."""

    host_id: str
    failure_domain: str
    url: str
    peer_url: str
    state: str
    incarnation: str = ""


class Membership:
    """Hosts and servers as one entry host sees them."""

    def __init__(self, own, dead_after_s=2.0, seed_peers=None):
        """Take the HostInfo of this host and peer URLs by host id."""
        self.own = own
        self.dead_after_s = dead_after_s
        self.servers = ServerView(dead_after_s)
        self._seed_peers = dict(seed_peers or {})
        self._entries_by_id = {}
        self._ids_by_key = {}
        self._listed_by_id = {}
        self._listed_by_domain = {}
        self._view = None

    # --- Observations ------------------------------------------------------

    def update_own(self, **changes):
        """Change fields of this host's info, such as state or ready."""
        if self.own.state == "leaving":
            changes.pop("state", None)
        self.own = attrs.evolve(self.own, **changes)
        self._view = None

    def beat(self, now):
        """Advance the own heartbeat and forget hosts that died long ago."""
        self.own.heartbeat += 1
        local = self.view(now).by_domain[self.own.failure_domain]
        self.own.domain_reads_version = min(info.reads_version for info in local)
        horizon = now - FORGET_FACTOR * self.dead_after_s
        for host_id, entry in list(self._entries_by_id.items()):
            if entry.heard_at < horizon:
                del self._entries_by_id[host_id]
                self._ids_by_key.pop(entry.key, None)

    def see_host(self, now, info):
        """Merge a HostInfo, from the host itself or from a peer."""
        if info.host_id == self.own.host_id:
            self._outbid(info)
            return
        entry = self._entries_by_id.get(info.host_id)
        if entry is None or (
            info.incarnation != entry.info.incarnation
            and order(info) > order(entry.info)
        ):
            self._replace(info.host_id, HostEntry.first(now, info))
        elif info.incarnation == entry.info.incarnation:
            if entry.merge(now, info):
                self._replace(info.host_id, entry)
            else:
                self._extend(now, info.host_id)

    def _outbid(self, info):
        """Raise the own generation above that of an earlier incarnation."""
        if info.incarnation != self.own.incarnation and order(info) > order(self.own):
            self.own.generation = info.generation + 1

    def _replace(self, host_id, entry):
        old = self._entries_by_id.get(host_id)
        if old is not None:
            self._ids_by_key.pop(old.key, None)
        entry.key = fingerprint(entry.info)
        self._entries_by_id[host_id] = entry
        self._ids_by_key[entry.key] = host_id
        self._view = None

    def see_heartbeats(self, now, keys, heartbeats):
        """Merge a peer's fingerprints; return those that are unknown here."""
        unknown = []
        own_key = fingerprint(self.own)
        for key, heartbeat in zip(keys, heartbeats, strict=False):
            host_id = self._ids_by_key.get(key)
            if host_id is None:
                if key != own_key:
                    unknown.append(key)
            elif self._entries_by_id[host_id].advance(now, heartbeat):
                self._extend(now, host_id)
        return unknown

    def _extend(self, now, host_id):
        """Drop the view if a host came back to life by a heartbeat."""
        view = self._view
        if view is not None and (now >= view.until or host_id not in view.by_id):
            self._view = None

    def host_failed(self, now, host_id):
        """Record a refused connection: dead until a later heartbeat."""
        entry = self._entries_by_id.get(host_id)
        if entry is not None:
            entry.failed = True
            self._view = None

    def host_leaving(self, now, host_id):
        """Record that a host itself said that it is leaving."""
        entry = self._entries_by_id.get(host_id)
        if entry is not None and entry.mark_leaving():
            self._replace(host_id, entry)

    def see_host_list(self, now, listed):
        """
        Take the entries of the host list; they give contacts, not live hosts.

        "Leaving" without an incarnation counts only if the list has shown the
        present incarnation as live before: the list lags, and may still show
        how the previous one left.
        """
        self._listed_by_id = {item.host_id: item for item in listed}
        self._listed_by_domain = {}
        for item in listed:
            if item.state == "live":
                ids = self._listed_by_domain.setdefault(item.failure_domain, [])
                ids.append(item.host_id)
            entry = self._entries_by_id.get(item.host_id)
            if entry is None:
                continue
            if item.incarnation:
                applies = item.incarnation == entry.info.incarnation
            else:
                applies = entry.listed_live
                entry.listed_live |= item.state == "live"
            if item.state == "leaving" and applies:
                self.host_leaving(now, item.host_id)

    # --- Queries -----------------------------------------------------------

    def view(self, now):
        """Return the LiveView at `now`."""
        if self._view is None or now >= self._view.until:
            self._view = make_view(
                now, self.own, self._entries_by_id, self.dead_after_s
            )
        return self._view

    def live_hosts(self, now, domain=None):
        """
        Return HostInfos of live hosts, leaving ones too, ordered by id.

        Of other domains only those that are passed on are known.
        """
        view = self.view(now)
        if domain is not None:
            return list(view.by_domain.get(domain, []))
        return [view.by_id[host_id] for host_id in sorted(view.by_id)]

    def owner_of_shard(self, now, shard):
        """Return the id of the host that writes a shard, or None."""
        ranked = self._ranked_owners(now, shard)
        return ranked[0] if ranked else None

    def next_owner_of_shard(self, now, shard):
        """Return the host that owns a shard after its owner, or None."""
        ranked = self._ranked_owners(now, shard)
        return ranked[1] if len(ranked) > 1 else None

    def _ranked_owners(self, now, shard):
        view = self.view(now)
        key = f"shard\0{shard}"
        if key not in view.owners:
            candidates = [
                host_id
                for ids in view.representatives_by_domain.values()
                for host_id in ids
            ]
            view.owners[key] = rendezvous_rank(key, candidates)[:2]
        return view.owners[key]

    def slot_owner(self, now, server_id, domain):
        """
        Return the id of the host of a domain that owns a server's batch slots.

        For another domain with more hosts than are passed on the result is
        one of its representatives, which knows the owner.
        """
        view = self.view(now)
        key = f"server\0{server_id}\0{domain}"
        if key not in view.owners:
            if domain == self.own.failure_domain:
                infos = view.by_domain.get(domain, [])
                candidates = [info.host_id for info in infos if info.state == "live"]
            else:
                candidates = view.representatives_by_domain.get(domain, [])
            view.owners[key] = rendezvous_owner(key, candidates)
        return view.owners[key]

    def usable_servers(self, now, service_name, servers_by_id):
        """Return the declared servers of a service that may get new work."""
        return [
            server
            for server_id, server in sorted(servers_by_id.items())
            if server.service_name == service_name
            and self.servers.is_usable(now, server_id)
        ]

    def min_reads_version(self, now):
        """
        Return the lowest schema version that some live host reads.

        Representatives speak for the hosts of their domain that are not
        passed on.
        """
        infos = self.view(now).by_id.values()
        versions = [info.reads_version for info in infos]
        versions += [info.domain_reads_version for info in infos]
        return min(version for version in versions if version > 0)

    def contact_candidates(self, now, domain):
        """
        Return ids of hosts of a domain that may be live but are silent.

        These are listed hosts, hosts that fell silent and seeds, whose domain
        is not known until they are heard of.
        """
        ids = set(self._listed_by_domain.get(domain, ()))
        ids.update(
            host_id
            for host_id, entry in self._entries_by_id.items()
            if entry.info.failure_domain == domain and entry.info.state == "live"
        )
        ids.update(
            host_id
            for host_id in self._seed_peers
            if self.domain_of(host_id) in ("", domain)
        )
        return sorted(ids.difference(self.view(now).by_id))

    def silent_domains(self, now):
        """Return the known domains without a live host."""
        domains = set(self._listed_by_domain)
        domains.update(
            item.info.failure_domain for item in self._entries_by_id.values()
        )
        return sorted(domains.difference(self.view(now).by_domain))

    def domain_of(self, host_id):
        """Return the failure domain of a host, empty if it is not known."""
        source = self._entries_by_id.get(host_id)
        source = source.info if source else self._listed_by_id.get(host_id)
        return source.failure_domain if source else ""

    def peer_url(self, host_id):
        """Return the peer URL of a host or None."""
        entry = self._entries_by_id.get(host_id)
        if entry is not None and entry.info.peer_url:
            return entry.info.peer_url
        listed = self._listed_by_id.get(host_id)
        if listed is not None and listed.peer_url:
            return listed.peer_url
        return self._seed_peers.get(host_id)

    def key_of(self, host_id):
        """Return the fingerprint of a known host or of this one."""
        entry = self._entries_by_id.get(host_id)
        return entry.key if entry is not None else fingerprint(self.own)

    def info_by_key(self, key):
        """Return the HostInfo with a fingerprint or None."""
        host_id = self._ids_by_key.get(key)
        return self._entries_by_id[host_id].info if host_id is not None else None

    def known_info(self, host_id):
        """Return the HostInfo of a host, dead or live, or None."""
        entry = self._entries_by_id.get(host_id)
        return entry.info if entry is not None else None
