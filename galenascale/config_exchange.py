"""Exchange of the configuration between hosts."""

import collections

from galenascale.config_state import to_snapshot
from galenascale.generated.messages import (
    ConfigFetchReply,
    ConfigFetchRequest,
    ConfigRawChange,
)
from galenascale.logs import get_logger

log = get_logger("config")

# Appends kept for peers that lag a little; the bytes hold a snapshot of 2,600
# tenants (0.7 MB), so that its parts are relayed too.
MAX_RECENT_APPENDS = 256
MAX_RECENT_BYTES = 2_000_000
# Age in a reply that says nothing about the requester's version.
NO_AGE = -1.0


class RecentAppends:
    """The newest appends without a gap, bounded in number and bytes."""

    def __init__(self):
        self._appends = collections.deque()
        self._bytes = 0

    def add(self, offset, body):
        """Keep an append; one that leaves a gap replaces the earlier ones."""
        if self._appends and self._appends[-1].offset + 1 != offset:
            self._appends.clear()
            self._bytes = 0
        self._appends.append(ConfigRawChange(offset, body))
        self._bytes += len(body)
        while len(self._appends) > MAX_RECENT_APPENDS or self._bytes > MAX_RECENT_BYTES:
            self._bytes -= len(self._appends.popleft().body)

    def between(self, after, through):
        """Return the appends after an offset through another, or None."""
        found = [item for item in self._appends if after < item.offset <= through]
        return found if found and len(found) == through - after else None


def answer_fetch(follower, request):
    """
    Return the ConfigFetchReply of a host.

    Only a ready host gives its configuration, so that whoever gets one is
    ready too.
    """
    state = follower.state
    if not follower.is_ready() or request.have_version > state.version:
        return ConfigFetchReply(unchanged=True, age_s=NO_AGE)
    age_s = follower.age_s()
    age_s = NO_AGE if age_s is None else age_s
    if request.have_version == state.version:
        return ConfigFetchReply(unchanged=True, age_s=age_s)
    if request.have_through >= 0:
        appends = follower.recent.between(request.have_through, state.through_offset)
        if appends:
            return ConfigFetchReply(appends=appends, age_s=age_s)
    return ConfigFetchReply(snapshot=to_snapshot(state), age_s=age_s)


async def fetch_newest(follower, versions_by_peer):
    """
    Fetch from the peer that tells the newest version, or else from the next.

    Return False if a newer version is known and no peer gave it.
    """
    if follower.peers.fetch_from_peer is None:
        return False
    for host_id in sorted(versions_by_peer, key=versions_by_peer.get, reverse=True):
        version = versions_by_peer[host_id]
        if version <= follower.state.version and not follower.has_gap:
            return True
        if await _fetch(follower, host_id):
            return True
    return False


async def _fetch(follower, host_id):
    state = follower.state
    request = ConfigFetchRequest(state.version, state.through_offset)
    if follower.has_gap:
        request = ConfigFetchRequest()
    try:
        reply = await follower.peers.fetch_from_peer(host_id, request)
    except Exception as error:
        # Any fault of one peer must not keep the others from being asked.
        log.warning("Cannot fetch from %s: %r.", host_id, error)
        return False
    if reply.unchanged:
        return False
    if reply.appends:
        return follower.learn_appends(reply.appends, reply.age_s)
    if reply.snapshot is None:
        return False
    return follower.learn(reply.snapshot, reply.age_s)
