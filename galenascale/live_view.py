"""Which entry hosts are live at one time, and which represent a domain."""

import math

import attrs

from galenascale.hashing import rendezvous_rank

# Today's failure domains have 3 or 4 hosts, so all of them are passed on.
REPRESENTATIVES = 4

# Foreign hosts named in one message; larger fleets take turns over messages,
# and silence of a foreign host counts as death only after as many times
# `dead_after_s` as there are turns.
FOREIGN_SLICE = 24

# Local hosts whose heartbeats all arrive within `dead_after_s`; news spreads
# in a time proportional to the logarithm of the number of hosts.
LOCAL_HOSTS_IN_TIME = 9


@attrs.frozen
class LiveView:
    """Live hosts at one time; valid until a host could have fallen silent."""

    until: float
    by_id: dict
    by_domain: dict
    representatives_by_domain: dict
    owners: dict = attrs.field(factory=dict)


def make_view(now, own, entries_by_id, dead_after_s):
    """Return the LiveView of a host with entries of other hosts by id."""
    own_domain = own.failure_domain
    foreign = sum(
        entry.info.failure_domain != own_domain for entry in entries_by_id.values()
    )
    local = max(len(entries_by_id) - foreign, 1)
    local_after = dead_after_s * max(
        1.0, math.log(local) / math.log(LOCAL_HOSTS_IN_TIME)
    )
    foreign_after = local_after * (1 + max(foreign - 1, 0) // FOREIGN_SLICE)
    by_id = {own.host_id: own}
    until = math.inf
    for host_id, entry in entries_by_id.items():
        near = entry.info.failure_domain == own_domain
        silent_at = entry.heard_at + (local_after if near else foreign_after)
        if now < silent_at and not entry.failed:
            by_id[host_id] = entry.info
            until = min(until, silent_at)
    by_domain = {}
    for host_id in sorted(by_id):
        info = by_id[host_id]
        by_domain.setdefault(info.failure_domain, []).append(info)
    representatives = {
        domain: _representatives(domain, infos) for domain, infos in by_domain.items()
    }
    return LiveView(until, by_id, by_domain, representatives)


def _representatives(domain, infos):
    ids = [info.host_id for info in infos if info.state == "live"]
    return rendezvous_rank(domain, ids)[:REPRESENTATIVES]
