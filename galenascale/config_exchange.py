"""Exchange of the configuration between hosts."""

from galenascale.config_state import to_snapshot
from galenascale.generated.messages import ConfigFetchReply, ConfigFetchRequest
from galenascale.logs import get_logger

log = get_logger("config")

# Age in a reply that says nothing about the requester's version.
NO_AGE = -1.0


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
    have = -1 if follower.has_gap else follower.state.version
    try:
        reply = await follower.peers.fetch_from_peer(host_id, ConfigFetchRequest(have))
    except Exception as error:
        # Any fault of one peer must not keep the others from being asked.
        log.warning("Cannot fetch from %s: %r.", host_id, error)
        return False
    if reply.unchanged or reply.snapshot is None:
        return False
    return follower.learn(reply.snapshot, reply.age_s)
