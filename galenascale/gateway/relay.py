"""Passing on of the store's state to hosts that the store does not answer."""

import aiohttp
from aiohttp import web

from galenascale.codec import decode, encode
from galenascale.errors import DecodeError
from galenascale.gateway.http_bodies import read_limited_body
from galenascale.gateway.sockets import peer_url
from galenascale.generated.gateway_messages import RelayedState

STATE_PATH = "/state"
# Seconds between two questions to other hosts while the store does not answer.
ASK_INTERVAL_S = 0.6
ASK_TIMEOUT_S = 1.0
# A configuration and the entries of some thousand servers.
MAX_STATE_BYTES = 8 << 20
# Seconds without an answer of the store after which other hosts are asked.
STORE_SILENCE_S = 1.5


async def answer_state(following, request):
    """Answer the question of another host."""
    if request.path != STATE_PATH:
        return web.Response(status=404)
    return web.Response(body=encode(following.relayed_state()))


class StateRelay:
    """Asks other hosts while the store does not answer this one."""

    def __init__(self, parts, link, following, session):
        self._parts = parts
        self._link = link
        self._following = following
        self._session = session

    async def run(self):
        """Ask when it is needed, until cancelled."""
        while True:
            await self._parts.clock.sleep(ASK_INTERVAL_S)
            now = self._parts.clock.monotonic()
            if self._is_cut_off(now):
                peer = self._parts.peers.best_informed(now)
                if peer is not None:
                    await self._ask(peer)

    def _is_cut_off(self, now):
        if not self._link.up:
            return True
        return now - self._link.answered_at > STORE_SILENCE_S

    async def _ask(self, peer):
        url = peer_url(peer.address, self._parts.settings.peer_listen, STATE_PATH)
        timeout = aiohttp.ClientTimeout(total=ASK_TIMEOUT_S)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                body = await read_limited_body(response, MAX_STATE_BYTES)
                state = decode(RelayedState, body)
        except (TimeoutError, aiohttp.ClientError, OSError, DecodeError) as error:
            self._parts.log.write(
                "peer_state_failed", "warning", peer=peer.host_id, reason=repr(error)
            )
            return
        self._following.apply_relayed(state, peer.host_id)
