"""Transfer of store state to hosts that cannot reach the store."""

import aiohttp
from aiohttp import web

from galenascale.codec import decode, encode
from galenascale.errors import DecodeError
from galenascale.gateway.http_bodies import read_limited_body
from galenascale.gateway.sockets import peer_url
from galenascale.generated.gateway_messages import RelayedState

STATE_PATH = "/state"
# Seconds between two fetches from a peer while the store is unreachable.
FETCH_INTERVAL_S = 0.6
FETCH_TIMEOUT_S = 1.0
# Enough for a configuration and the entries of some thousand servers.
MAX_STATE_BYTES = 8 << 20
# Seconds without a response from the store after which a peer is asked for
# its state.
STORE_TIMEOUT_S = 1.5


async def handle_state_request(followers, request):
    """Return this host's store state to another host."""
    if request.path != STATE_PATH:
        return web.Response(status=404)
    return web.Response(body=encode(followers.export_state()))


class PeerStateFetcher:
    """Fetches store state from a peer while the store is unreachable."""

    def __init__(self, context, store_status, followers, session):
        self._context = context
        self._store_status = store_status
        self._followers = followers
        self._session = session

    async def run(self):
        """Fetch state from a peer whenever needed, until cancelled."""
        while True:
            await self._context.clock.sleep(FETCH_INTERVAL_S)
            now = self._context.clock.monotonic()
            if self._is_store_unavailable(now):
                peer = self._context.peers.most_current(now)
                if peer is not None:
                    await self._fetch_state(peer)

    def _is_store_unavailable(self, now):
        if not self._store_status.is_up:
            return True
        return now - self._store_status.last_answer_at > STORE_TIMEOUT_S

    async def _fetch_state(self, peer):
        url = peer_url(peer.address, self._context.settings.peer_listen, STATE_PATH)
        timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                body = await read_limited_body(response, MAX_STATE_BYTES)
                state = decode(RelayedState, body)
        except (TimeoutError, aiohttp.ClientError, OSError, DecodeError) as error:
            self._context.log.write(
                "peer_state_failed", "warning", peer=peer.host_id, reason=repr(error)
            )
            return
        self._followers.apply_peer_state(state, peer.host_id)
