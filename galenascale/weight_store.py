"""Client of the platform's weight store.

Servers fetch the weights themselves. A host only asks how long a transfer
would wait now: the store answers a transfer of no bytes when its turn comes.
"""

import math
import urllib.parse

import aiohttp

from galenascale.errors import GalenascaleError


class WeightStoreUnavailable(GalenascaleError):
    """The weight store did not answer."""

    code = "weight_store_unavailable"
    http_status = 503


class WeightStore:
    """Asks the weight store for its backlog; owns no connection."""

    def __init__(self, session, base_url, clock):
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._clock = clock

    async def backlog_s(self, model, version, limit_s):
        """
        Return the time in seconds that a transfer would wait now.

        It is infinite when it exceeds `limit_s`. Raise WeightStoreUnavailable
        if the store cannot be reached.
        """
        names = [urllib.parse.quote(name or "-", safe="") for name in (model, version)]
        started = self._clock.monotonic()
        try:
            async with self._session.get(
                f"{self._base_url}/v1/weights/{'/'.join(names)}",
                params={"bytes": "0"},
                timeout=aiohttp.ClientTimeout(total=limit_s),
            ) as response:
                response.raise_for_status()
                await response.read()
        except TimeoutError:
            return math.inf
        except (aiohttp.ClientError, OSError) as error:
            raise WeightStoreUnavailable(
                f"weight store does not answer: {error!r}",
                step="weights",
                peer=self._base_url,
            ) from error
        return self._clock.monotonic() - started
