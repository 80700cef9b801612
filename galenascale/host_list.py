"""Adapter of the platform's host list.

The list lags and can be away for long; it only gives contacts and "leaving"
signs to Membership. The last known list is kept through an outage.
"""

import asyncio
import urllib.parse

import aiohttp
import orjson

from galenascale.errors import GalenascaleError
from galenascale.logs import get_logger
from galenascale.membership import ListedHost

log = get_logger("host list")

REQUEST_TIMEOUT_S = 2.0

# Rate of reading the list: one of 950 hosts has about 140 kB, and a read each
# second would take seven times what a host may spend on control.
LIST_BYTES_PER_S = 2000
MAX_LIST_BYTES = 4 << 20


class HostListUnavailable(GalenascaleError):
    """The host list gave no usable answer."""

    code = "host_list_unavailable"
    http_status = 503


class HostList:
    """Announces this host and feeds the list to its Membership."""

    def __init__(self, session, base_url, membership, clock, poll_s=1.0):
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._membership = membership
        self._clock = clock
        self._poll_s = poll_s
        self._timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        self._available = True
        self._next_read_at = 0.0
        # Monotonic time of the last list, None before the first.
        self.read_at = None

    async def run(self):
        """Announce and poll for ever; an error ends only its turn."""
        while True:
            await self.turn()
            await self._clock.sleep(self._poll_s)

    async def turn(self):
        """Announce this host and read the list if that is due."""
        steps = [self.announce()]
        if self._clock.monotonic() >= self._next_read_at:
            steps.append(self.refresh())
        outcomes = await asyncio.gather(*steps, return_exceptions=True)
        errors = [item for item in outcomes if isinstance(item, Exception)]
        if errors and self._available:
            log.warning("Host list is not available: %r.", errors[0])
        elif not errors and not self._available:
            log.info("Host list is available again.")
        self._available = not errors

    async def announce(self):
        """Renew this host's entry with its present state."""
        own = self._membership.own
        entry = {
            "host_id": own.host_id,
            "failure_domain": own.failure_domain,
            "url": own.url,
            "peer_url": own.peer_url,
            "state": own.state,
            "incarnation": own.incarnation,
        }
        name = urllib.parse.quote(own.host_id, safe="")
        await self._request("PUT", f"/v1/hosts/{name}", orjson.dumps(entry))

    async def refresh(self):
        """Read the list; entries that cannot be understood are skipped."""
        body = await self._request("GET", "/v1/hosts")
        try:
            items = orjson.loads(body)["hosts"]
            listed = [host for host in map(_parse, items) if host is not None]
        except (ValueError, KeyError, TypeError) as error:
            raise HostListUnavailable(
                f"answer is not a host list: {error!r}", step="host list"
            ) from error
        now = self._clock.monotonic()
        self._membership.see_host_list(now, listed)
        self.read_at = now
        self._next_read_at = now + max(self._poll_s / 2, len(body) / LIST_BYTES_PER_S)

    async def _request(self, method, path, body=None):
        headers = {"X-Failure-Domain": self._membership.own.failure_domain}
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                data=body,
                headers=headers,
                timeout=self._timeout,
            ) as response:
                response.raise_for_status()
                if (response.content_length or 0) > MAX_LIST_BYTES:
                    raise HostListUnavailable("host list is too large")
                return await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise HostListUnavailable(
                f"{method} failed: {error!r}", step="host list", peer=self._base_url
            ) from error


def _parse(item):
    """Return the ListedHost of a JSON entry, None for anything else."""
    if not isinstance(item, dict):
        return None
    values = [item.get(name) for name in ("host_id", "failure_domain", "url")]
    values += [item.get("peer_url"), item.get("state", "live")]
    values.append(item.get("incarnation") or "")
    if not all(isinstance(value, str) for value in values) or not values[0]:
        return None
    return ListedHost(*values)
