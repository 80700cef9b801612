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
# Share of the operator's bound for keys that are taken away at which a proof
# is renewed through a peer.
MAX_PROOF_AGE_SHARE = 0.5
# Seconds without a response from the store after which a peer is asked for
# its state.
STORE_TIMEOUT_S = 1.5


async def handle_state_request(followers, request):
    """Return this host's store state to another host."""
    if request.path != STATE_PATH:
        return web.Response(status=404)
    try:
        known_version = int(request.query.get("config", "0"))
        known_position = int(request.query.get("servers", "-1"))
    except ValueError:
        return web.Response(status=400)
    state = followers.export_state(known_version, known_position)
    return web.Response(body=encode(state))


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
            if self._is_store_unavailable(now) or self._is_proof_old(now):
                peer = self._choose_peer(now)
                if peer is not None:
                    await self._fetch_state(peer)

    def _is_store_unavailable(self, now):
        if not self._store_status.is_up:
            return True
        return now - self._store_status.last_answer_at > STORE_TIMEOUT_S

    def _is_proof_old(self, now):
        revoke_ms = self._context.settings.bounds.revoke_ms
        age_ms = self._context.configuration_proof.age_s(now) * 1000
        return revoke_ms > 0 and age_ms > revoke_ms * MAX_PROOF_AGE_SHARE

    def _choose_peer(self, now):
        """Return one of the most current peers, of this domain if possible."""
        peers = self._context.peers.most_current(now)
        own_domain = self._context.settings.failure_domain
        local = [peer for peer in peers if peer.failure_domain == own_domain]
        candidates = local or peers
        return self._context.rng.choice(candidates) if candidates else None

    async def _fetch_state(self, peer):
        context = self._context
        path = (
            f"{STATE_PATH}?config={context.configuration.version}"
            f"&servers={context.servers.position}"
        )
        url = peer_url(peer.address, context.settings.peer_listen, path)
        asked_at = context.clock.monotonic()
        timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                body = await read_limited_body(response, MAX_STATE_BYTES)
                state = decode(RelayedState, body)
        except (TimeoutError, aiohttp.ClientError, OSError, DecodeError) as error:
            context.log.write(
                "peer_state_failed", "warning", peer=peer.host_id, reason=repr(error)
            )
            return
        self._followers.apply_peer_state(state, peer.host_id, asked_at)
